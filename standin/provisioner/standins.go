package provisioner

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/standin/requester"
	"trefoilspring.example/trefoilspring/standin/responder"
	"trefoilspring.example/trefoilspring/standin/router"
)

// The load and the settings of the stand-ins. A target runs targetSlots short
// requests at once, which take requestWorkTime each, and lets maxWaitingRequests
// more wait. It is silent for collapseDuration after it got too many flows while
// cold.
const (
	callerCount        = 2
	fabricPollInterval = 200 * time.Millisecond
	targetSlots        = 3
	maxWaitingRequests = 32
	requestWorkTime    = 2 * time.Millisecond
	collapseDuration   = 8 * time.Second
	nonIdempotentShare = 0.3
)

// platformSettings are the settings of the platform stand-in.
type platformSettings struct {
	Address      netip.AddrPort `json:"address"`
	AdminAddress netip.AddrPort `json:"admin-address"`
}

// writePlatform writes the settings of the platform stand-in.
func (p Plan) writePlatform() error {
	return p.writeJSON("settings", "platform.json", platformSettings{
		Address: p.address(platformPortOffset), AdminAddress: p.address(platformPortOffset + 1),
	})
}

// callerPrefix returns the prefix of the source addresses of the n-th caller, from 0.
func callerPrefix(n int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{203, 0, 113 + byte(n), 0}), 24)
}

// writeFabric writes the settings of the fabric stand-in, which spreads the callers'
// packets over the balancers.
func (p Plan) writeFabric() error {
	s := router.Settings{
		Address: p.address(fabricPortOffset), AdminAddress: p.address(fabricPortOffset + 1),
		Seed: p.Seed, PollInterval: operator.Duration(fabricPollInterval),
	}
	for n := range callerCount {
		s.CallerPrefixes = append(s.CallerPrefixes, callerPrefix(n))
	}
	for _, b := range p.balancers() {
		s.Balancers = append(s.Balancers, router.Balancer{
			Name: b.name, AvailabilityZone: b.zone, DataAddress: b.data, AdminAddress: b.admin,
		})
	}
	return p.writeJSON("settings", "fabric.json", s)
}

// writeTargets writes the settings of each target stand-in.
func (p Plan) writeTargets() error {
	for _, t := range p.targets() {
		err := p.writeJSON("settings", "target-"+t.name+".json", responder.Settings{
			Name: t.name, Service: t.service.name, AvailabilityZone: t.zone,
			Address: t.address, HealthAddress: t.health, FabricAddress: p.address(fabricPortOffset),
			ServiceAddresses: []netip.AddrPort{netip.MustParseAddrPort(t.service.address)},
			Slots:            targetSlots, MaxWaiting: maxWaitingRequests, WorkTime: operator.Duration(requestWorkTime),
			ColdStartDuration: operator.Duration(coldStartDuration), ColdStartFlowLimit: coldStartFlowLimit,
			CollapseDuration: operator.Duration(collapseDuration),
			Journal:          p.path("journals", "target-"+t.name+".jsonl"),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// writeCallers writes the settings of each caller stand-in. The callers share the
// load of each service equally.
func (p Plan) writeCallers() error {
	for n := range callerCount {
		name := fmt.Sprintf("caller-%d", n+1)
		s := requester.Settings{
			Name: name, FabricAddress: p.address(fabricPortOffset),
			SourcePrefixes: []netip.Prefix{callerPrefix(n)},
			Duration:       operator.Duration(p.Duration), Seed: p.Seed + uint64(n),
			Deadline: operator.Duration(p.Deadline),
			Journal:  p.path("journals", name+".jsonl"),
		}
		for _, svc := range p.services() {
			s.Loads = append(s.Loads, requester.Load{
				Service: svc.name, Address: netip.MustParseAddrPort(svc.address),
				Streams:            p.Streams * svc.loadPercent / 100 / callerCount,
				Rate:               p.RequestRate * float64(svc.loadPercent) / 100 / callerCount,
				NonIdempotentShare: nonIdempotentShare,
			})
		}
		if err := p.writeJSON("settings", name+".json", s); err != nil {
			return err
		}
	}
	return nil
}
