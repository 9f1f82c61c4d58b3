package arranger

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
)

// extraFile holds the services and targets that nobody calls.
type extraFile struct {
	Services map[string]operator.Service `json:"services"`
	Targets  map[string]operator.Target  `json:"targets"`
}

// extraPort is the port of the services and targets that nobody calls.
const extraPort = 4789

// writeExtra writes the services and targets that make the document larger.
func (p Plan) writeExtra() error {
	if p.ExtraServices == 0 {
		return nil
	}
	extra := extraFile{Services: map[string]operator.Service{}, Targets: map[string]operator.Target{}}
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
			AvailabilityZone: zones()[i%len(zones())],
			Address:          numbered([4]byte{127, 18, 0, 0}, i),
			State:            operator.TargetActive,
		}
	}
	return p.writeJSON("operators", "35-extra.json", extra)
}

func extraServiceName(i int) string { return fmt.Sprintf("extra-service-%04d", i) }

// numbered returns the i-th address from base on.
func numbered(base [4]byte, i int) netip.AddrPort {
	base[2] = byte(i >> 8)
	base[3] = byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(base), extraPort)
}
