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

func addressOf(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.51.100.10"), uint16(1000+service))
}

// documentOf returns a document with that many services and targets for each.
func documentOf(services, targets int) *operator.Document {
	d := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}, "ne-b": {State: operator.ZoneIn}},
		Services:          make(map[string]operator.Service),
		Targets:           make(map[string]operator.Target),
	}
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		d.Services[name] = operator.Service{Addresses: []netip.AddrPort{addressOf(s)}, Protocol: operator.ProtocolQUIC}
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

func edit(d *operator.Document, name string, change func(*operator.Target)) {
	t := d.Targets[name]
	change(&t)
	d.Targets[name] = t
}

func countsOf(s *planner.Service) map[planner.TargetID]int {
	counts := make(map[planner.TargetID]int)
	for i := range planner.Buckets {
		counts[s.Lookup(i)]++
	}
	return counts
}

func firstOf(t *testing.T, p *planner.Plan) *planner.Service {
	t.Helper()
	s, ok := p.Service(addressOf(0))
	if !ok {
		t.Fatal("no such service")
	}
	return s
}

func TestTablesAreEvenAndFollowWeights(t *testing.T) {
	is := is.New(t)
	d := documentOf(1, 14)
	edit(d, "target-0-0", func(t *operator.Target) { t.Weight = 3 })
	edit(d, "target-0-1", func(t *operator.Target) { t.State = operator.TargetDraining })
	counts := countsOf(firstOf(t, planner.New(1, d)))
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

func TestZoneOutTakesItsTargetsOut(t *testing.T) {
	is := is.New(t)
	d := documentOf(1, 14)
	d.AvailabilityZones["ne-a"] = operator.AvailabilityZone{State: operator.ZoneOut}
	p := planner.New(1, d)
	for id := range countsOf(firstOf(t, p)) {
		is.Equal(p.Target(id).AvailabilityZone(), "ne-b")
	}
}

func TestPlanWithinAZoneHoldsItsTargetsOnly(t *testing.T) {
	is := is.New(t)
	p := planner.Within("ne-b").Next(1, documentOf(2, 14)).Next(2, documentOf(2, 14))
	is.Equal(len(p.Targets()), 14)
	for id := range countsOf(firstOf(t, p)) {
		is.Equal(p.Target(id).AvailabilityZone(), "ne-b")
	}
}

// maxMoved bounds the buckets that one leaving target of 14 may move: its own
// 1/14 and half as many again.
const maxMoved = planner.Buckets * 3 / 2 / 14

func TestOneLeavingTargetMovesFewBuckets(t *testing.T) {
	is := is.New(t)
	d := documentOf(1, 14)
	before := firstOf(t, planner.New(1, d))
	delete(d.Targets, "target-0-5")
	after := firstOf(t, planner.New(2, d))
	moved := 0
	for i := range planner.Buckets {
		if before.Lookup(i) != after.Lookup(i) {
			moved++
		}
	}
	t.Logf("%d of %d buckets moved", moved, planner.Buckets)
	is.True(moved <= maxMoved)
}

func TestNextEqualsNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documentOf(3, 5)
		p := planner.New(1, d)
		for revision := range uint64(5) {
			changeAtRandom(t, d)
			p = p.Next(revision+2, d)
			fresh := planner.New(revision+2, d)
			for n := range 3 {
				a, _ := p.Service(addressOf(n))
				b, _ := fresh.Service(addressOf(n))
				for i := range planner.Buckets {
					if a.Lookup(i) != b.Lookup(i) {
						t.Fatalf("service %d, bucket %d: %d and %d", n, i, a.Lookup(i), b.Lookup(i))
					}
				}
			}
		}
	})
}

func changeAtRandom(t *rapid.T, d *operator.Document) {
	name := fmt.Sprintf("target-%d-%d", rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 4).Draw(t, "target"))
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		edit(d, name, func(t *operator.Target) { t.State = operator.TargetDraining })
	case 1:
		edit(d, name, func(t *operator.Target) { t.State = operator.TargetActive })
	case 2:
		edit(d, name, func(target *operator.Target) { target.Weight = rapid.IntRange(0, 9).Draw(t, "weight") })
	case 3:
		zone := rapid.SampledFrom([]operator.ZoneState{operator.ZoneIn, operator.ZoneOut}).Draw(t, "zone")
		d.AvailabilityZones["ne-a"] = operator.AvailabilityZone{State: zone}
	}
}

// minSaving is how many times faster a plan with one changed service of 200 must
// be made from the one before than from nothing.
const minSaving = 5

func TestThroughputOfNextAgainstNew(t *testing.T) {
	is := is.New(t)
	d := documentOf(200, 4)
	p := planner.New(1, d)
	best := 0.0
	for round := range 5 {
		edit(d, "target-7-1", func(t *operator.Target) { t.Weight = 1 + round%2 })
		begin := time.Now()
		planner.New(uint64(round+2), d)
		whole := time.Since(begin)
		begin = time.Now()
		p = p.Next(uint64(round+2), d)
		step := time.Since(begin)
		t.Logf("New %v, Next %v", whole, step)
		best = max(best, float64(whole)/float64(step))
	}
	is.True(best > minSaving)
}
