// Package operator holds what the operators say: their document of services,
// targets and availability zones, and the folder of small files it is merged
// from.
//
// # Usage
//
//	d, err := operator.LoadFolder("config")
//	if err != nil {
//		return err
//	}
//	for name, service := range d.Services {
//		fmt.Println(name, service.Addresses)
//	}
//
// The types of the document have exported fields, since the JSON codec fills
// them; a Document is not changed once it was loaded and may then be read from
// several goroutines.
package operator

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Document is the whole configuration.
type Document struct {
	AvailabilityZones map[string]AvailabilityZone `json:"availability-zones" validate:"dive"`
	Services          map[string]Service          `json:"services" validate:"dive"`
	Targets           map[string]Target           `json:"targets" validate:"dive"`
}

// ZoneState says whether an availability zone may receive packets.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is a place that fails as one.
type AvailabilityZone struct {
	State ZoneState `json:"state" validate:"oneof=in out"`
}

// Protocol says how an opening packet of a service is known.
type Protocol string

// The protocols of a service. An opening packet is a SYN for ProtocolTCP and an
// Initial for ProtocolQUIC; ProtocolUDP has no opening mark.
const (
	ProtocolTCP  Protocol = "tcp"
	ProtocolQUIC Protocol = "quic"
	ProtocolUDP  Protocol = "udp"
)

// Service is a set of addresses that callers use, served by targets.
type Service struct {
	Addresses   []netip.AddrPort `json:"addresses" validate:"min=1"`
	Protocol    Protocol         `json:"protocol" validate:"oneof=tcp quic udp"`
	ColdStart   ColdStart        `json:"cold-start,omitzero"`
	IdleTimeout Duration         `json:"idle-timeout,omitzero" validate:"min=0"`
}

// ColdStart says what a freshly started target may carry.
type ColdStart struct {
	// Flows is how many open flows a fresh target may hold; 0 sets no limit.
	Flows int `json:"flows" validate:"min=0,max=1000000"`
	// Ramp is how long the limit applies, growing linearly to 100 times Flows.
	Ramp Duration `json:"ramp" validate:"min=0"`
}

// TargetState says whether a target takes new flows.
type TargetState string

// The states of a target.
const (
	TargetActive   TargetState = "active"
	TargetDraining TargetState = "draining"
)

// Target is one server of a service.
type Target struct {
	Service          string         `json:"service" validate:"required"`
	AvailabilityZone string         `json:"availability-zone" validate:"required"`
	Address          netip.AddrPort `json:"address"`
	Health           netip.AddrPort `json:"health,omitzero"`
	State            TargetState    `json:"state,omitempty" validate:"omitempty,oneof=active draining"`
	// Weight is the relative share of new flows, 1 to 100; 0 stands for 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=100"`
}

// Duration is a time.Duration that JSON holds as a string such as "1m30s".
type Duration time.Duration

// MarshalText writes d in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "reading the duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}
