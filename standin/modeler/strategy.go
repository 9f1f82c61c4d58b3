package modeler

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// noTarget is the choice of a strategy that refuses a flow.
const noTarget = -1

// Strategy chooses the target of each new flow.
type Strategy struct {
	// Name describes the strategy in reports.
	Name string
	// choose returns the target of a new flow through a balancer, or noTarget.
	choose func(r *Simulation, balancer int, key uint64) int
	// newState returns what the simulation keeps as strategyState; nil means nothing.
	newState func(l Load) any
	// onAccepted and onAnswered are called for each request that a target accepts, and for
	// its answer.
	onAccepted func(r *Simulation, q *request)
	onAnswered func(r *Simulation, q *request)
	// onZoneChange is called when zones were taken out or are in again.
	onZoneChange func(r *Simulation)
}

// Strategies returns the strategy that balancers use, first, and the strategies that it
// is compared with. The last two use exact counts, which no balancer can have, and so are
// upper bounds.
func Strategies() []Strategy {
	return []Strategy{
		{
			Name: "rendezvous in the zone (shipped)", newState: directorsIn(zoneName), choose: decide,
			onAccepted: observeRequest, onAnswered: observeAnswer, onZoneChange: applyZoneState,
		},
		{Name: "rendezvous over all zones", newState: directorsIn(zoneWithoutTargets), choose: decide, onZoneChange: applyZoneState},
		{Name: "two choices, own counts", choose: twoChoices(ownPending)},
		{Name: "least pending, own counts", choose: leastPending(ownPending)},
		{Name: "two choices, the zone's counts", choose: twoChoices(zonePending)},
		{Name: "least pending, the zone's counts", choose: leastPending(zonePending)},
		{Name: "least pending, exact counts", choose: leastPending(exactPending)},
		{Name: "least pending, exact counts, openings refused above 2 per slot", choose: refuseAbove(2)},
	}
}

// service is the name of the only service.
const service = "desk"

// epoch is the start of virtual time, and route the address of the only route.
var (
	epoch = time.Unix(1_700_000_000, 0)
	route = netip.MustParseAddrPort("198.18.0.1:443")
)

// zoneWithoutTargets names a zone without targets. A balancer there prefers no zone.
func zoneWithoutTargets(int) string { return "elsewhere" }

// directorsIn returns a function that makes a Director for each balancer, with the code that
// balancers use. zoneOf returns the name of the zone that the balancer is told to be in.
func directorsIn(zoneOf func(zone int) string) func(l Load) any {
	return func(l Load) any { return directors(l, zoneOf) }
}

// directors makes a Director for each balancer and registers all targets.
func directors(l Load, zoneOf func(zone int) string) any {
	all := make([]*director.Director, l.Balancers)
	for b := range all {
		all[b] = director.New(uint64(b)+1, zoneOf(b%l.Zones))
		all[b].SetBalancerCounts(l.Balancers, l.Balancers/l.Zones)
		all[b].SetConfiguration(director.Configuration{
			Version:  1,
			Routes:   []director.Route{{Name: "r", Address: route, Backends: []director.Backend{{Service: service, Weight: 1}}}},
			Services: []director.Service{{Name: service}},
		})
		for t := range l.Targets {
			all[b].SetTarget(epoch, director.Target{
				Name: fmt.Sprint(t), ID: uint64(t) + 1, Started: 1, Service: service,
				AvailabilityZone: zoneName(t % l.Zones), Capacity: l.Slots,
			})
		}
	}
	return all
}

func zoneName(n int) string { return string(rune('a' + n)) }

// decide chooses a target with the balancer's Director.
func decide(r *Simulation, balancer int, key uint64) int {
	d := r.strategyState.([]*director.Director)[balancer].Decide(epoch.Add(r.now), &director.Packet{
		Source: sourceOf(key), Destination: route, Opening: true,
	})
	return int(d.Target.ID) - 1
}

// sourceOf returns a source address that stands for a flow's key.
func sourceOf(key uint64) netip.AddrPort {
	var source [16]byte
	binary.BigEndian.PutUint64(source[8:], key)
	return netip.AddrPortFrom(netip.AddrFrom16(source), 1)
}

// observeRequest and observeAnswer pass the packets of a request and of its answer through
// the balancer's Director, which counts pending requests by them.
func observeRequest(r *Simulation, q *request) {
	observePacket(r, q, 2*q.number, 2*q.number-1, []byte("GET / HTTP/1.1"))
}
func observeAnswer(r *Simulation, q *request) { observePacket(r, q, 2*q.number, 2*q.number, nil) }

// observePacket passes one packet of an open flow through the balancer's Director.
func observePacket(r *Simulation, q *request, sequence, acknowledged int, data []byte) {
	r.strategyState.([]*director.Director)[q.balancer].Decide(epoch.Add(r.now), &director.Packet{
		Source: sourceOf(q.key), Destination: route, Token: tokenizer.Of(uint64(q.target) + 1),
		Sequence: uint32(sequence), Acknowledged: uint32(acknowledged), Data: data,
	})
}

// applyZoneState tells all Directors which zones are out.
func applyZoneState(r *Simulation) {
	for _, d := range r.strategyState.([]*director.Director) {
		for zone := range r.load.ZonesOut {
			d.SetZoneOut(zoneName(zone), r.disturbed())
		}
		d.Tick(epoch.Add(r.now))
	}
}

// pendingView returns the numbers of pending requests per target that a balancer knows.
type pendingView func(r *Simulation, balancer int) []int

func ownPending(r *Simulation, balancer int) []int { return r.pendingByBalancer[balancer] }

// zonePending returns what the balancers of a zone had pending at the last exchange.
// Requests since then are missing, also the balancer's own.
func zonePending(r *Simulation, balancer int) []int { return r.pendingByZone[balancer%r.load.Zones] }

// exactPending returns the exact numbers at the moment, which no balancer can know.
func exactPending(r *Simulation, _ int) []int { return r.pending }

// twoChoices chooses the less busy of two random targets.
func twoChoices(pendingOf pendingView) func(*Simulation, int, uint64) int {
	return func(r *Simulation, balancer int, _ uint64) int {
		pending := pendingOf(r, balancer)
		a, b := r.randomTarget(), r.randomTarget()
		if pending[b] < pending[a] {
			return b
		}
		return a
	}
}

// leastPending chooses the least busy target. Ties go to the first one after a random
// position.
func leastPending(pendingOf pendingView) func(*Simulation, int, uint64) int {
	return func(r *Simulation, balancer int, _ uint64) int {
		pending := pendingOf(r, balancer)
		best := r.randomTarget()
		from := best
		for i := range pending {
			if t := (from + i) % len(pending); !r.zoneOut(t) && pending[t] < pending[best] {
				best = t
			}
		}
		return best
	}
}

// refuseAbove refuses new flows while the least busy target has at least perSlot requests
// for each of its slots. Open flows go on.
func refuseAbove(perSlot int) func(*Simulation, int, uint64) int {
	choose := leastPending(exactPending)
	return func(r *Simulation, balancer int, key uint64) int {
		t := choose(r, balancer, key)
		if r.pending[t] >= perSlot*r.load.Slots {
			return noTarget
		}
		return t
	}
}

// randomTarget returns a random target of the zones that are in.
func (r *Simulation) randomTarget() int {
	for {
		if t := r.random.IntN(r.load.Targets); !r.zoneOut(t) {
			return t
		}
	}
}
