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

// BenchmarkMembers measures SetMembers, which ranks the members for all slots.
func BenchmarkMembers(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			t := newTrackerWithPlan(documentSize{1, 4}, n)
			members := newMembers(n)
			for b.Loop() {
				t.SetMembers(members)
			}
		})
	}
}

// BenchmarkHeartbeats measures one heartbeat interval of a whole group: each balancer sends
// its heartbeats, and each receives those that are sent to it. The metrics are those of one
// balancer: sent/s counts the messages that it sends, sent-B/s is their size without the
// overhead of QUIC, and %core is its share of one CPU core for sending and receiving.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range groupSizes {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			g := newDetectorGroup(n)
			for range 20 {
				g.exchangeHeartbeats()
			}
			g.sent, g.bytes = 0, 0
			rounds := 0
			for b.Loop() {
				g.exchangeHeartbeats()
				rounds++
			}
			seconds := float64(rounds*n) * detector.HeartbeatInterval.Seconds()
			b.ReportMetric(float64(g.sent)/seconds, "sent/s")
			b.ReportMetric(float64(g.bytes)/seconds, "sent-B/s")
			perBalancer := b.Elapsed().Seconds() / float64(rounds*n)
			b.ReportMetric(100*perBalancer/detector.HeartbeatInterval.Seconds(), "%core")
		})
	}
}

// detectorGroup is a group of detectors that exchange heartbeats without loss.
type detectorGroup struct {
	now       time.Time
	ids       []tracker.MemberID
	detectors map[tracker.MemberID]*detector.Detector
	sent      int
	bytes     int
}

func newDetectorGroup(n int) *detectorGroup {
	g := &detectorGroup{now: benchmarkTime, detectors: make(map[tracker.MemberID]*detector.Detector)}
	for _, m := range newMembers(n) {
		g.ids = append(g.ids, m.ID)
	}
	for _, id := range g.ids {
		d := detector.New(id, 1)
		d.SetContacts(g.ids)
		d.SetState(detector.Ready)
		d.SetRevisions(4000, 4000)
		g.detectors[id] = d
	}
	return g
}

// exchangeHeartbeats advances the clock by one interval and lets each balancer send its
// heartbeats once. A receiver evaluates its members after each message, as the
// coordinator does.
func (g *detectorGroup) exchangeHeartbeats() {
	g.now = g.now.Add(detector.HeartbeatInterval)
	for _, id := range g.ids {
		for _, delivery := range g.detectors[id].Heartbeat(g.now) {
			encoded, err := cbor.Marshal(delivery.Message())
			if err != nil {
				panic(err)
			}
			g.sent++
			g.bytes += len(encoded)
			receiver := g.detectors[delivery.To()]
			receiver.Receive(g.now, delivery.Message())
			receiver.Members(g.now)
		}
	}
}

// BenchmarkRecords measures Expire with records of open flows in tracked buckets.
// held-B/flow is the heap that one record needs, and wire-B/flow its size in a message.
func BenchmarkRecords(b *testing.B) {
	for _, flows := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			s := documentSize{1, 14}
			records := make([]tracker.Record, flows)
			target := planner.NewTargetID("target-00001")
			for i := range records {
				records[i] = tracker.Record{
					Service: planner.NewServiceID(serviceName(0)), Flow: uint64(i) * 0x9e3779b97f4a7c15, Target: target,
				}
			}
			t := newTrackerWithPlan(s, 13)
			drainTarget(t, s)
			retained := retainedBytes(func() any { t.MergeRecords(benchmarkTime, records); return t })
			stored := float64(t.Records())
			encoded, err := cbor.Marshal(records[:1000])
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				t.Expire(benchmarkTime)
			}
			b.ReportMetric(retained/stored, "held-B/flow")
			b.ReportMetric(float64(len(encoded))/1000, "wire-B/flow")
		})
	}
}

// drainTarget activates a revision that drains one target, which makes buckets tracked.
func drainTarget(t *tracker.Tracker, s documentSize) {
	d := newDocument(s)
	drained := d.Targets["target-00000"]
	drained.State = "draining"
	d.Targets["target-00000"] = drained
	t.Prepare(benchmarkTime, planner.New(2, d))
	t.Activate(benchmarkTime)
}

// BenchmarkDecide measures the decision on one packet, once with all buckets plain and
// once with tracked buckets.
func BenchmarkDecide(b *testing.B) {
	for _, s := range documentSizes[:3] {
		for _, tracked := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/tracked=%t", s, tracked), func(b *testing.B) {
				t := newTrackerWithPlan(s, 76)
				if tracked {
					drainTarget(t, s)
				}
				id := planner.NewServiceID(serviceName(0))
				flow := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					flow += 0x9e3779b97f4a7c15
					t.Decide(benchmarkTime, tracker.Query{Service: id, Flow: flow})
				}
			})
		}
	}
}
