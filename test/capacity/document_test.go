// Package capacity_test measures what balancers need, in time, memory and bytes on the
// wire, as the deployment grows. docs/CAPACITY.md works from its figures.
//
// # Usage
//
//	go test -run '^$' -bench . ./test/capacity
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

// benchmarkTime is the fixed time that the benchmarks pass in place of a clock's.
var benchmarkTime = time.Unix(1_700_000_000, 0)

// documentSize is the number of services and targets of a document.
type documentSize struct{ services, targets int }

func (s documentSize) String() string {
	return fmt.Sprintf("services=%d/targets=%d", s.services, s.targets)
}

// documentSizes go from a quarter of an availability zone, over a whole zone (165 services,
// 576 targets), to a whole deployment of the size that the system is designed for (2800
// services, 9800 targets).
var documentSizes = []documentSize{{41, 144}, {82, 288}, {165, 576}, {350, 1225}, {1400, 4900}, {2800, 9800}}

// newDocument returns a document with one availability zone and one address for each
// service.
func newDocument(s documentSize) *operator.Document {
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

// newRecord returns the published record of a document.
func newRecord(d *operator.Document) publisher.Record {
	digest, err := operator.Digest(*d)
	if err != nil {
		panic(err)
	}
	return publisher.Record{Revision: 1, ChangeID: "c", Author: "a", Time: benchmarkTime, Digest: digest, Document: *d}
}

// newMembers returns n balancers of which none is joining, leaving or suspected.
func newMembers(n int) []tracker.Member {
	var members []tracker.Member
	for i := range n {
		id := tracker.NewMemberID(fmt.Sprintf("lb-%d", i))
		members = append(members, tracker.Member{ID: id, Resolves: true, KeepsRecords: true})
	}
	return members
}

// newTrackerWithPlan returns a tracker in a group of so many members, with the plan of
// a document as its first revision.
func newTrackerWithPlan(s documentSize, members int) *tracker.Tracker {
	t := tracker.New(tracker.NewMemberID("lb-0"))
	t.SetMembers(newMembers(members))
	t.Prepare(benchmarkTime, planner.New(1, newDocument(s)))
	return t
}

// retainedBytes returns how many bytes of heap the result of build keeps alive. Call it
// before any other result of build is left behind as garbage, which distorts the
// difference.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	// Two collections, since a sync.Pool keeps its memory over the first one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
