package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// groupSizes are the numbers of balancers in a group.
var groupSizes = []int{13, 26, 51, 76, 152}

// BenchmarkMembers ranks all slots for a changed set of members.
func BenchmarkMembers(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			t := readyTracker(size{1, 4}, n)
			members := membersOf(n)
			for b.Loop() {
				t.SetMembers(members)
			}
		})
	}
}

// BenchmarkHeartbeats lets one balancer beat, and receive what it gets from its
// group in the same time; sent-B/s is what it sends, without QUIC's share.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			g := newBeaters(n)
			for range 20 {
				g.round()
			}
			g.sent, g.bytes = 0, 0
			rounds := 0
			for b.Loop() {
				g.round()
				rounds++
			}
			seconds := float64(rounds*n) * detector.Interval.Seconds()
			b.ReportMetric(float64(g.sent)/seconds, "sent/s")
			b.ReportMetric(float64(g.bytes)/seconds, "sent-B/s")
			perBalancer := b.Elapsed().Seconds() / float64(rounds*n)
			b.ReportMetric(100*perBalancer/detector.Interval.Seconds(), "%core")
		})
	}
}

// beaters is a group of detectors that exchange heartbeats without loss.
type beaters struct {
	now   time.Time
	ids   []tracker.MemberID
	all   map[tracker.MemberID]*detector.Detector
	sent  int
	bytes int
}

func newBeaters(n int) *beaters {
	g := &beaters{now: start, all: make(map[tracker.MemberID]*detector.Detector)}
	for _, m := range membersOf(n) {
		g.ids = append(g.ids, m.ID)
	}
	for _, id := range g.ids {
		d := detector.New(id, 1)
		d.SetContacts(g.ids)
		d.SetState(detector.Ready)
		d.SetRevisions(4000, 4000)
		g.all[id] = d
	}
	return g
}

// round lets each balancer beat once. A balancer looks at its members after each
// message, as the coordinator does.
func (g *beaters) round() {
	g.now = g.now.Add(detector.Interval)
	for _, id := range g.ids {
		for _, delivery := range g.all[id].Beat(g.now) {
			encoded, err := cbor.Marshal(delivery.Message())
			if err != nil {
				panic(err)
			}
			g.sent++
			g.bytes += len(encoded)
			receiver := g.all[delivery.To()]
			receiver.Receive(g.now, delivery.Message())
			receiver.Members(g.now)
		}
	}
}

// BenchmarkRecords holds records of open flows in tracked buckets; held-B/flow is
// what one costs, wire-B/flow is its size in a message.
func BenchmarkRecords(b *testing.B) {
	for _, flows := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			s := size{1, 14}
			records := make([]tracker.Record, flows)
			target := planner.NewTargetID("target-00001")
			for i := range records {
				records[i] = tracker.Record{
					Service: planner.NewServiceID(serviceName(0)), Flow: uint64(i) * 0x9e3779b97f4a7c15, Target: target,
				}
			}
			t := readyTracker(s, 13)
			drain(t, s)
			held := heldBytes(func() any { t.Learn(start, records); return t })
			learnt := float64(t.Records())
			encoded, err := cbor.Marshal(records[:1000])
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				t.Expire(start)
			}
			b.ReportMetric(held/learnt, "held-B/flow")
			b.ReportMetric(float64(len(encoded))/1000, "wire-B/flow")
		})
	}
}

// drain makes buckets tracked: it drains one target.
func drain(t *tracker.Tracker, s size) {
	d := documentOf(s)
	drained := d.Targets["target-00000"]
	drained.State = "draining"
	d.Targets["target-00000"] = drained
	t.Prepare(start, planner.New(2, d))
	t.Activate(start)
}

// BenchmarkDecide decides one packet of a plain bucket and of a tracked one.
func BenchmarkDecide(b *testing.B) {
	for _, s := range sizes[:3] {
		for _, tracked := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/tracked=%t", s, tracked), func(b *testing.B) {
				t := readyTracker(s, 76)
				if tracked {
					drain(t, s)
				}
				id := planner.NewServiceID(serviceName(0))
				flow := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					flow += 0x9e3779b97f4a7c15
					t.Decide(start, tracker.Query{Service: id, Flow: flow})
				}
			})
		}
	}
}
