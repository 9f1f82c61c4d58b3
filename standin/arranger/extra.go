package arranger

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
)

// extraFile holds the services and targets that nobody calls.
type extraFile struct {
	Zones    map[string]operator.AvailabilityZone `json:"availability-zones"`
	Services map[string]operator.Service          `json:"services"`
	Targets  map[string]operator.Target           `json:"targets"`
}

// extraPort is the port of the services and targets that nobody calls.
const extraPort = 4789

// writeExtra writes the services and targets that make the document larger.
func (p Plan) writeExtra() error {
	if p.ExtraServices == 0 {
		return nil
	}
	extra := extraFile{
		Zones:    map[string]operator.AvailabilityZone{},
		Services: map[string]operator.Service{},
		Targets:  map[string]operator.Target{},
	}
	for i := range p.ExtraZones {
		extra.Zones[extraZoneName(i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	for i := range p.ExtraServices {
		extra.Services[extraServiceName(i)] = operator.Service{
			Addresses:   []netip.AddrPort{numbered([4]byte{198, 18, 0, 0}, i)},
			Protocol:    operator.ProtocolTCP,
			ColdStart:   operator.ColdStart{Flows: coldFlows, Ramp: operator.Duration(coldRamp)},
			IdleTimeout: operator.Duration(time.Minute),
		}
	}
	for i := range p.ExtraTargets {
		extra.Targets[fmt.Sprintf("extra-target-%05d", i)] = operator.Target{
			Service:          extraServiceName(i % p.ExtraServices),
			AvailabilityZone: p.extraZone(i),
			Address:          numbered([4]byte{127, 18, 0, 0}, i),
			State:            operator.TargetActive,
		}
	}
	return p.writeJSON("operators", "35-extra.json", extra)
}

// extraZone returns the availability zone of the i-th extra target.
func (p Plan) extraZone(i int) string {
	if p.ExtraZones == 0 {
		return zones()[i%len(zones())]
	}
	return extraZoneName(i % p.ExtraServices % p.ExtraZones)
}

// servedZones returns what the balancers serve; none stands for all.
func (p Plan) servedZones() []string {
	if p.ExtraZones == 0 {
		return nil
	}
	return append(zones(), extraZoneName(0))
}

func extraZoneName(i int) string { return fmt.Sprintf("extra-zone-%02d", i) }

func extraServiceName(i int) string { return fmt.Sprintf("extra-service-%04d", i) }

// numbered returns the i-th address from base on.
func numbered(base [4]byte, i int) netip.AddrPort {
	base[2] = byte(i >> 8)
	base[3] = byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(base), extraPort)
}
