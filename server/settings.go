package server

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/peer"
)

// Settings holds the values of a balancer's settings file.
type Settings struct {
	// Name is the balancer's name, unique in its group.
	Name string `json:"name" validate:"required"`
	// AvailabilityZone is the name of the zone in which the balancer's VM runs.
	AvailabilityZone string `json:"availability-zone" validate:"required"`
	// DataAddress is the UDP address that receives Geneve packets.
	DataAddress netip.AddrPort `json:"data-address" validate:"required"`
	// PeerAddress is the UDP address that other balancers connect to by QUIC.
	PeerAddress netip.AddrPort `json:"peer-address" validate:"required"`
	// AdminAddress is the TCP address of the admin HTTP interface: readiness, counters,
	// status and explanations. It must be on loopback, since it has no access control.
	AdminAddress netip.AddrPort `json:"admin-address" validate:"required"`
	// FabricAddresses are the source addresses of the fabric's packets. The first one
	// also receives the refusals of packets that another balancer handed on.
	FabricAddresses []netip.AddrPort `json:"fabric-addresses" validate:"min=1"`
	// Platform is the URL of the platform's key-value service.
	Platform string `json:"platform" validate:"required,url"`
	// ServedZones are the availability zones whose targets this balancer's group
	// serves; an empty list stands for all zones.
	ServedZones []string `json:"served-zones,omitempty" validate:"dive,required"`
	// Peers are the other balancers of the group that are known at the start. Further ones
	// are learned from these.
	Peers []peer.Contact `json:"peers" validate:"dive"`
	// TLS holds the paths of this balancer's certificate, its key and the authority.
	TLS peer.IdentityFiles `json:"tls" validate:"required"`
	// Drain is how long a stopping balancer goes on forwarding, from 0 to 10 min.
	Drain operator.Duration `json:"drain" validate:"min=0,max=600000000000"`
	// Readers is the number of goroutines that read packets, each from a socket of its own.
	// 0 stands for DefaultReaders.
	Readers int `json:"readers,omitempty" validate:"min=0,max=64"`
}

// DefaultReaders is the number of readers if the settings don't give one.
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

// selfContact returns the contact under which peers reach this balancer.
func (s *Settings) selfContact() peer.Contact {
	return peer.Contact{
		Name:             s.Name,
		AvailabilityZone: s.AvailabilityZone,
		DataAddress:      s.DataAddress,
		PeerAddress:      s.PeerAddress,
	}
}

// readerCount returns Readers, or DefaultReaders if it is 0.
func (s *Settings) readerCount() int {
	if s.Readers == 0 {
		return DefaultReaders
	}
	return s.Readers
}
