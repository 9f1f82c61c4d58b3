package planner_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// serviceAddress returns the address of the service with that number.
func serviceAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.51.100.10"), uint16(1000+service))
}

// newDocument returns a document with the given number of services, each with the
// given number of targets. The targets alternate between two availability zones.
func newDocument(services, targets int) *operator.Document {
	d := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}, "ne-b": {State: operator.ZoneIn}},
		Services:          make(map[string]operator.Service),
		Targets:           make(map[string]operator.Target),
	}
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		d.Services[name] = operator.Service{Addresses: []netip.AddrPort{serviceAddress(s)}, Protocol: operator.ProtocolQUIC}
		for t := range targets {
			d.Targets[fmt.Sprintf("target-%d-%d", s, t)] = operator.Target{
				Service:          name,
				AvailabilityZone: []string{"ne-a", "ne-b"}[t%2],
				Address:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+s*targets+t)),
			}
		}
	}
	return d
}

// editTarget changes the target called name in d.
func editTarget(d *operator.Document, name string, change func(*operator.Target)) {
	t := d.Targets[name]
	change(&t)
	d.Targets[name] = t
}

// countBuckets returns the number of buckets of each target.
func countBuckets(s *planner.Service) map[planner.TargetID]int {
	counts := make(map[planner.TargetID]int)
	for i := range planner.Buckets {
		counts[s.Lookup(i)]++
	}
	return counts
}

// firstService returns the first service of newDocument.
func firstService(t *testing.T, p *planner.Plan) *planner.Service {
	t.Helper()
	s, ok := p.Service(serviceAddress(0))
	if !ok {
		t.Fatal("the plan has no service with the first service's address")
	}
	return s
}

func TestTablesAreEvenAndFollowWeights(t *testing.T) {
	is := is.New(t)
	d := newDocument(1, 14)
	editTarget(d, "target-0-0", func(t *operator.Target) { t.Weight = 3 })
	editTarget(d, "target-0-1", func(t *operator.Target) { t.State = operator.TargetDraining })
	counts := countBuckets(firstService(t, planner.New(1, d)))
	is.Equal(counts[planner.NewTargetID("target-0-1")], 0)
	fair := planner.Buckets / (3 + 12)
	for id, n := range counts {
		want := fair
		if id == planner.NewTargetID("target-0-0") {
			want = 3 * fair
		}
		is.True(n >= want-3 && n <= want+3)
	}
}

func TestZoneOutRemovesItsTargetsFromTable(t *testing.T) {
	is := is.New(t)
	d := newDocument(1, 14)
	d.AvailabilityZones["ne-a"] = operator.AvailabilityZone{State: operator.ZoneOut}
	p := planner.New(1, d)
	for id := range countBuckets(firstService(t, p)) {
		is.Equal(p.Target(id).AvailabilityZone(), "ne-b")
	}
}

func TestZoneRestrictedPlanHoldsOnlyItsTargets(t *testing.T) {
	is := is.New(t)
	p := planner.ForZones("ne-b").Next(1, newDocument(2, 14)).Next(2, newDocument(2, 14))
	is.Equal(len(p.Targets()), 14)
	for id := range countBuckets(firstService(t, p)) {
		is.Equal(p.Target(id).AvailabilityZone(), "ne-b")
	}
}

// maxMovedBuckets bounds the number of buckets that get another target when one
// of 14 targets is removed: the removed target's own 1/14 of all buckets, and
// half as many again.
const maxMovedBuckets = planner.Buckets * 3 / 2 / 14

func TestRemovingOneTargetMovesFewBuckets(t *testing.T) {
	is := is.New(t)
	d := newDocument(1, 14)
	before := firstService(t, planner.New(1, d))
	delete(d.Targets, "target-0-5")
	after := firstService(t, planner.New(2, d))
	moved := 0
	for i := range planner.Buckets {
		if before.Lookup(i) != after.Lookup(i) {
			moved++
		}
	}
	t.Logf("%d of %d buckets moved", moved, planner.Buckets)
	is.True(moved <= maxMovedBuckets)
}

// Next reuses tables of the previous plan, but must give the same result as New.
func TestNextEqualsNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDocument(3, 5)
		p := planner.New(1, d)
		for revision := range uint64(5) {
			changeRandomly(t, d)
			p = p.Next(revision+2, d)
			fresh := planner.New(revision+2, d)
			for n := range 3 {
				a, _ := p.Service(serviceAddress(n))
				b, _ := fresh.Service(serviceAddress(n))
				for i := range planner.Buckets {
					if a.Lookup(i) != b.Lookup(i) {
						t.Fatalf("service %d, bucket %d: Next has target %d, New has %d", n, i, a.Lookup(i), b.Lookup(i))
					}
				}
			}
		}
	})
}

// changeRandomly makes one random change to a target or an availability zone.
func changeRandomly(t *rapid.T, d *operator.Document) {
	name := fmt.Sprintf("target-%d-%d", rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 4).Draw(t, "target"))
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		editTarget(d, name, func(t *operator.Target) { t.State = operator.TargetDraining })
	case 1:
		editTarget(d, name, func(t *operator.Target) { t.State = operator.TargetActive })
	case 2:
		editTarget(d, name, func(target *operator.Target) { target.Weight = rapid.IntRange(0, 9).Draw(t, "weight") })
	case 3:
		zone := rapid.SampledFrom([]operator.ZoneState{operator.ZoneIn, operator.ZoneOut}).Draw(t, "zone")
		d.AvailabilityZones["ne-a"] = operator.AvailabilityZone{State: zone}
	}
}

// minSpeedup is the least factor by which Next must be faster than New if one
// service of 200 has changed.
const minSpeedup = 5

func TestThroughputOfNextAgainstNew(t *testing.T) {
	is := is.New(t)
	d := newDocument(200, 4)
	p := planner.New(1, d)
	bestSpeedup := 0.0
	for round := range 5 {
		editTarget(d, "target-7-1", func(t *operator.Target) { t.Weight = 1 + round%2 })
		begin := time.Now()
		planner.New(uint64(round+2), d)
		newTime := time.Since(begin)
		begin = time.Now()
		p = p.Next(uint64(round+2), d)
		nextTime := time.Since(begin)
		t.Logf("New took %v, Next took %v", newTime, nextTime)
		bestSpeedup = max(bestSpeedup, float64(newTime)/float64(nextTime))
	}
	is.True(bestSpeedup > minSpeedup)
}
