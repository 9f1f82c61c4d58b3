// Package operator defines the configuration that operators write: a document of
// services, targets and availability zones. It loads the document from a folder of
// JSON files, validates, encodes, compares and patches it.
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
// The types of the document have exported fields because the JSON codec sets them.
// A Document must not be changed once it is loaded: it may be read from several
// goroutines, and a Document that Apply returns shares unchanged maps with it.
package operator

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Document is the whole configuration. The keys of its maps are the names of the
// entries.
type Document struct {
	AvailabilityZones map[string]AvailabilityZone `json:"availability-zones" validate:"dive"`
	Services          map[string]Service          `json:"services" validate:"dive"`
	Targets           map[string]Target           `json:"targets" validate:"dive"`
}

// ZoneState is whether an availability zone may receive packets.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is a set of machines that may fail together.
type AvailabilityZone struct {
	State ZoneState `json:"state" validate:"oneof=in out"`
}

// Protocol determines how the opening packet of a flow is recognised.
type Protocol string

// The protocols of a service. An opening packet is a SYN for ProtocolTCP and an
// Initial for ProtocolQUIC. With ProtocolUDP, an opening packet can't be told from
// other packets.
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

// ColdStart limits the load of a target that has just started.
type ColdStart struct {
	// Flows is the number of open flows that a target may have at its start; 0 sets
	// no limit.
	Flows int `json:"flows" validate:"min=0,max=1000000"`
	// Ramp is how long the limit applies. In that time it grows linearly from Flows
	// to 100 times Flows.
	Ramp Duration `json:"ramp" validate:"min=0"`
}

// TargetState is whether a target takes new flows.
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
	// Health is the address of the target's health check; it may be unset.
	Health netip.AddrPort `json:"health,omitzero"`
	// State is TargetActive if it is not set.
	State TargetState `json:"state,omitempty" validate:"omitempty,oneof=active draining"`
	// Weight is the target's share of new flows relative to the service's other
	// targets, from 1 to 100; 0 stands for 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=100"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1m30s".
type Duration time.Duration

// MarshalText encodes d in the notation of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(err, "parsing the duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}
