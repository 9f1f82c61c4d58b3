package server

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/peer"
)

// Settings is the settings file of a balancer.
type Settings struct {
	// Name is the balancer's name, unique in its group.
	Name string `json:"name" validate:"required"`
	// AvailabilityZone is where the balancer's VM runs.
	AvailabilityZone string `json:"availability-zone" validate:"required"`
	// DataAddress is where Geneve packets arrive.
	DataAddress netip.AddrPort `json:"data-address" validate:"required"`
	// PeerAddress is where other balancers connect.
	PeerAddress netip.AddrPort `json:"peer-address" validate:"required"`
	// AdminAddress serves readiness, counters and status; keep it on loopback.
	AdminAddress netip.AddrPort `json:"admin-address" validate:"required"`
	// FabricAddresses are the addresses that the fabric sends from.
	FabricAddresses []netip.AddrPort `json:"fabric-addresses" validate:"min=1"`
	// Platform is the URL of the platform's key-value service.
	Platform string `json:"platform" validate:"required,url"`
	// ServedZones are the availability zones whose targets this balancer's group
	// serves; none stands for all.
	ServedZones []string `json:"served-zones,omitempty" validate:"dive,required"`
	// Peers are the other balancers of the group that are known from the start.
	Peers []peer.Contact `json:"peers" validate:"dive"`
	// TLS names the files of this balancer's certificate.
	TLS peer.IdentityFiles `json:"tls" validate:"required"`
	// Drain is how long a stopping balancer goes on forwarding.
	Drain operator.Duration `json:"drain" validate:"min=0,max=600000000000"`
	// Readers is the number of goroutines that read packets; 0 stands for 2.
	Readers int `json:"readers,omitempty" validate:"min=0,max=64"`
}

// DefaultReaders applies where the settings name no number of readers.
const DefaultReaders = 2

// LoadSettings reads and checks a settings file. Its errors are a
// loader.SyntaxError, a loader.ValueError or a SettingsError.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := loader.Load(path, &s); err != nil {
		return s, err
	}
	return s, s.Check(path)
}

func (s *Settings) contact() peer.Contact {
	return peer.Contact{
		Name:             s.Name,
		AvailabilityZone: s.AvailabilityZone,
		DataAddress:      s.DataAddress,
		PeerAddress:      s.PeerAddress,
	}
}

func (s *Settings) readers() int {
	if s.Readers == 0 {
		return DefaultReaders
	}
	return s.Readers
}
