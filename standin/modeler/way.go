package modeler

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// refused is chosen for a flow that no target is to get.
const refused = -1

// Way is a way to choose the target of a flow.
type Way struct {
	Name    string
	choose  func(r *Run, balancer int, key uint64) int
	prepare func(l Load) any
	// began and answered are told of each request that a target takes.
	began    func(r *Run, q *request)
	answered func(r *Run, q *request)
	// changed is told that a zone was taken out or is back.
	changed func(r *Run)
}

// Ways returns the way that is shipped and those that it is compared with. The last
// two know what no balancer can know, and so bound the others.
func Ways() []Way {
	return []Way{
		{
			Name: "rendezvous in the zone (shipped)", prepare: directorsIn(zoneName), choose: decide,
			began: showRequest, answered: showAnswer, changed: takeOut,
		},
		{Name: "rendezvous over all zones", prepare: directorsIn(elsewhere), choose: decide, changed: takeOut},
		{Name: "two choices, own evidence", choose: twoChoices(ownEvidence)},
		{Name: "least pending, own evidence", choose: leastPending(ownEvidence)},
		{Name: "two choices, the zone's evidence", choose: twoChoices(zoneEvidence)},
		{Name: "least pending, the zone's evidence", choose: leastPending(zoneEvidence)},
		{Name: "least pending, all known at once", choose: leastPending(allKnown)},
		{Name: "and openings refused beyond 2 a slot", choose: refuseBeyond(2)},
	}
}

const service = "desk"

var (
	epoch = time.Unix(1_700_000_000, 0)
	route = netip.MustParseAddrPort("198.18.0.1:443")
)

// elsewhere is a zone without targets.
func elsewhere(int) string { return "elsewhere" }

// directorsIn returns the decisions of each balancer, as they are shipped, in the zone
// that in gives for its number.
func directorsIn(in func(zone int) string) func(l Load) any {
	return func(l Load) any { return directors(l, in) }
}

func directors(l Load, in func(zone int) string) any {
	all := make([]*director.Director, l.Balancers)
	for b := range all {
		all[b] = director.New(uint64(b)+1, in(b%l.Zones))
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

func decide(r *Run, balancer int, key uint64) int {
	d := r.state.([]*director.Director)[balancer].Decide(epoch.Add(r.now), &director.Packet{
		Source: sourceOf(key), Destination: route, Opening: true,
	})
	return int(d.Target.ID) - 1
}

func sourceOf(key uint64) netip.AddrPort {
	var source [16]byte
	binary.BigEndian.PutUint64(source[8:], key)
	return netip.AddrPortFrom(netip.AddrFrom16(source), 1)
}

// showRequest and showAnswer let the balancer of a request see its packets.
func showRequest(r *Run, q *request) { show(r, q, 2*q.number, 2*q.number-1, []byte("GET / HTTP/1.1")) }
func showAnswer(r *Run, q *request)  { show(r, q, 2*q.number, 2*q.number, nil) }

func show(r *Run, q *request, sequence, acknowledged int, data []byte) {
	r.state.([]*director.Director)[q.balancer].Decide(epoch.Add(r.now), &director.Packet{
		Source: sourceOf(q.key), Destination: route, Token: tokenizer.Of(uint64(q.target) + 1),
		Sequence: uint32(sequence), Acknowledged: uint32(acknowledged), Data: data,
	})
}

func takeOut(r *Run) {
	for _, d := range r.state.([]*director.Director) {
		for zone := range r.load.LostZones {
			d.SetZoneOut(zoneName(zone), r.inTrouble())
		}
		d.Tick(epoch.Add(r.now))
	}
}

// evidence returns what a balancer knows to be pending at the targets.
type evidence func(r *Run, balancer int) []int

func ownEvidence(r *Run, balancer int) []int { return r.own[balancer] }

// zoneEvidence is that of a zone's balancers at the last exchange. What a balancer
// sent since then is not in it.
func zoneEvidence(r *Run, balancer int) []int { return r.shared[balancer%r.load.Zones] }

func allKnown(r *Run, _ int) []int { return r.pending }

// twoChoices takes the less busy of two targets at random.
func twoChoices(of evidence) func(*Run, int, uint64) int {
	return func(r *Run, balancer int, _ uint64) int {
		known := of(r, balancer)
		a, b := r.anyTarget(), r.anyTarget()
		if known[b] < known[a] {
			return b
		}
		return a
	}
}

// leastPending takes the least busy target, the first after a random place.
func leastPending(of evidence) func(*Run, int, uint64) int {
	return func(r *Run, balancer int, _ uint64) int {
		known := of(r, balancer)
		best := r.anyTarget()
		from := best
		for i := range known {
			if t := (from + i) % len(known); !r.lost(t) && known[t] < known[best] {
				best = t
			}
		}
		return best
	}
}

// refuseBeyond refuses openings while all targets have so many requests for each of
// their slots. Flows that are open go on.
func refuseBeyond(perSlot int) func(*Run, int, uint64) int {
	choose := leastPending(allKnown)
	return func(r *Run, balancer int, key uint64) int {
		t := choose(r, balancer, key)
		if r.pending[t] >= perSlot*r.load.Slots {
			return refused
		}
		return t
	}
}

// anyTarget returns a target at random that takes flows.
func (r *Run) anyTarget() int {
	for {
		if t := r.random.IntN(r.load.Targets); !r.lost(t) {
			return t
		}
	}
}
