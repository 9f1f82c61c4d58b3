package arranger

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/standin/requester"
	"trefoilspring.example/trefoilspring/standin/responder"
	"trefoilspring.example/trefoilspring/standin/sprayer"
)

// What the stand-ins do.
const (
	callers      = 2
	fabricPoll   = 200 * time.Millisecond
	targetSlots  = 3
	shedQueue    = 32
	workTime     = 2 * time.Millisecond
	collapseTime = 8 * time.Second
	holdShare    = 0.3
)

// platformSettings are the settings of the platform stand-in.
type platformSettings struct {
	Address      netip.AddrPort `json:"address"`
	AdminAddress netip.AddrPort `json:"admin-address"`
}

func (p Plan) writePlatform() error {
	return p.writeJSON("settings", "platform.json", platformSettings{
		Address: p.port(platformPort), AdminAddress: p.port(platformPort + 1),
	})
}

func callerPrefix(n int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{203, 0, 113 + byte(n), 0}), 24)
}

func (p Plan) writeFabric() error {
	s := sprayer.Settings{
		Address: p.port(fabricPort), AdminAddress: p.port(fabricPort + 1),
		Seed: p.Seed, Poll: operator.Duration(fabricPoll),
	}
	for n := range callers {
		s.CallerPrefixes = append(s.CallerPrefixes, callerPrefix(n))
	}
	for _, b := range p.balancers() {
		s.Balancers = append(s.Balancers, sprayer.Balancer{
			Name: b.name, AvailabilityZone: b.zone, DataAddress: b.data, AdminAddress: b.admin,
		})
	}
	return p.writeJSON("settings", "fabric.json", s)
}

func (p Plan) writeTargets() error {
	for _, t := range p.targets() {
		err := p.writeJSON("settings", "target-"+t.name+".json", responder.Settings{
			Name: t.name, Service: t.service.name, AvailabilityZone: t.zone,
			Address: t.address, HealthAddress: t.health, FabricAddress: p.port(fabricPort),
			ServiceAddresses: []netip.AddrPort{netip.MustParseAddrPort(t.service.address)},
			Slots:            targetSlots, ShedQueue: shedQueue, WorkTime: operator.Duration(workTime),
			Cold: operator.Duration(coldRamp), ColdFlows: coldFlows, Collapse: operator.Duration(collapseTime),
			Journal: p.path("journals", "target-"+t.name+".jsonl"),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (p Plan) writeCallers() error {
	for n := range callers {
		name := fmt.Sprintf("caller-%d", n+1)
		s := requester.Settings{
			Name: name, FabricAddress: p.port(fabricPort),
			SourcePrefixes: []netip.Prefix{callerPrefix(n)},
			Duration:       operator.Duration(p.Duration), Seed: p.Seed + uint64(n),
			Deadline: operator.Duration(p.Deadline),
			Journal:  p.path("journals", name+".jsonl"),
		}
		for _, served := range p.services() {
			s.Loads = append(s.Loads, requester.Load{
				Service: served.name, Address: netip.MustParseAddrPort(served.address),
				Streams:            p.Streams * served.share / 100 / callers,
				Rate:               p.Rate * float64(served.share) / 100 / callers,
				NonIdempotentShare: holdShare,
			})
		}
		if err := p.writeJSON("settings", name+".json", s); err != nil {
			return err
		}
	}
	return nil
}
