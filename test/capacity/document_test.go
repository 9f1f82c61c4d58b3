// Package capacity_test measures the slopes that docs/CAPACITY.md works from.
package capacity_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
)

// start is the time of all benchmarks, which read no clock.
var start = time.Unix(1_700_000_000, 0)

// size is the size of a document.
type size struct{ services, targets int }

func (s size) String() string { return fmt.Sprintf("services=%d/targets=%d", s.services, s.targets) }

// sizes go from a quarter of an availability zone at the aim's size, over the
// zone (165 services, 576 targets), to all of the aim.
var sizes = []size{{41, 144}, {82, 288}, {165, 576}, {350, 1225}, {1400, 4900}, {2800, 9800}}

// documentOf returns a document with one address for each service.
func documentOf(s size) *operator.Document {
	d := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"a": {State: operator.ZoneIn}},
		Services:          make(map[string]operator.Service),
		Targets:           make(map[string]operator.Target),
	}
	for i := range s.services {
		address := netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
		d.Services[serviceName(i)] = operator.Service{
			Addresses: []netip.AddrPort{netip.AddrPortFrom(address, 443)},
			Protocol:  operator.ProtocolTCP,
		}
	}
	for i := range s.targets {
		address := netip.AddrFrom4([4]byte{127, 18, byte(i >> 8), byte(i)})
		d.Targets[fmt.Sprintf("target-%05d", i)] = operator.Target{
			Service:          serviceName(i % s.services),
			AvailabilityZone: "a",
			Address:          netip.AddrPortFrom(address, 4789),
			State:            operator.TargetActive,
		}
	}
	return d
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

func recordOf(d *operator.Document) publisher.Record {
	digest, err := operator.Digest(*d)
	if err != nil {
		panic(err)
	}
	return publisher.Record{Revision: 1, ChangeID: "c", Author: "a", Time: start, Digest: digest, Document: *d}
}

func membersOf(n int) []tracker.Member {
	var members []tracker.Member
	for i := range n {
		id := tracker.NewMemberID(fmt.Sprintf("lb-%d", i))
		members = append(members, tracker.Member{ID: id, Resolves: true, Keeps: true})
	}
	return members
}

// readyTracker returns a tracker with a plan in force.
func readyTracker(s size, members int) *tracker.Tracker {
	t := tracker.New(tracker.NewMemberID("lb-0"))
	t.SetMembers(membersOf(members))
	t.Prepare(start, planner.New(1, documentOf(s)))
	return t
}

// heldBytes returns the heap that the result of build holds. It is to be called
// before build's results lie about as garbage.
func heldBytes(build func() any) float64 {
	var before, after runtime.MemStats
	// Twice, since pools give their memory back only at the second collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
