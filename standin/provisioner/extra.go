package provisioner

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
)

// extraFile is the file of the operators' document that holds the extra services and
// targets, which have no callers and no processes, and their zones.
type extraFile struct {
	Zones    map[string]operator.AvailabilityZone `json:"availability-zones"`
	Services map[string]operator.Service          `json:"services"`
	Targets  map[string]operator.Target           `json:"targets"`
}

// extraPort is the port of the extra services and targets.
const extraPort = 4789

// writeExtra writes the extra services and targets, if there are any.
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
			Addresses:   []netip.AddrPort{extraAddress([4]byte{198, 18, 0, 0}, i)},
			Protocol:    operator.ProtocolTCP,
			ColdStart:   operator.ColdStart{Flows: coldStartFlowLimit, Ramp: operator.Duration(coldStartDuration)},
			IdleTimeout: operator.Duration(time.Minute),
		}
	}
	for i := range p.ExtraTargets {
		extra.Targets[fmt.Sprintf("extra-target-%05d", i)] = operator.Target{
			Service:          extraServiceName(i % p.ExtraServices),
			AvailabilityZone: p.extraTargetZone(i),
			Address:          extraAddress([4]byte{127, 18, 0, 0}, i),
			State:            operator.TargetActive,
		}
	}
	return p.writeJSON("operators", "35-extra.json", extra)
}

// extraTargetZone returns the availability zone of the i-th extra target.
func (p Plan) extraTargetZone(i int) string {
	if p.ExtraZones == 0 {
		return zones()[i%len(zones())]
	}
	return extraZoneName(i % p.ExtraServices % p.ExtraZones)
}

// servedZones returns the zones that the balancers serve; nil stands for all.
func (p Plan) servedZones() []string {
	if p.ExtraZones == 0 {
		return nil
	}
	return append(zones(), extraZoneName(0))
}

// extraZoneName returns the name of the i-th extra zone.
func extraZoneName(i int) string { return fmt.Sprintf("extra-zone-%02d", i) }

// extraServiceName returns the name of the i-th extra service.
func extraServiceName(i int) string { return fmt.Sprintf("extra-service-%04d", i) }

// extraAddress returns the i-th address, from 0, of the /16 network that begins at
// base, with extraPort.
func extraAddress(base [4]byte, i int) netip.AddrPort {
	base[2] = byte(i >> 8)
	base[3] = byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(base), extraPort)
}
