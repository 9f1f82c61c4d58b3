package tracker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// explainedFlows is the number of flows to explain. It is small since each explanation
// copies much state.
const explainedFlows = 200

func TestExplainSaysWhatDecideDoes(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, planner.New(1, documentOf(nil)))
	g.open(1)
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.open(100000)
	g.activate()
	tracked := 0
	for i := range uint64(explainedFlows) {
		flow := (1 + i%2*100000 + i) * 0x9e3779b97f4a7c15
		for _, event := range []parser.FlowEvent{parser.FlowContinues, parser.FlowOpens} {
			q := tracker.Query{Service: service, Flow: flow, FlowEvent: event}
			e := g.trackers[0].Explain(g.now, q)
			is.Equal(e.Decision(), g.trackers[0].Decide(g.now, q))
			is.Equal(e.Bucket(), planner.BucketOf(flow))
			if e.Tracked() {
				tracked++
			}
		}
	}
	is.True(tracked > 0)
}

func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	explaining := g.trackers[0]
	admitCalls := 0
	explaining.SetAdmit(func(time.Time, planner.TargetID, int) bool {
		admitCalls++
		return true
	})
	g.now = g.now.Add(time.Second)
	before := bucketsOf(explaining.Snapshot(g.now))
	for i := range uint64(explainedFlows) {
		explaining.Explain(g.now, tracker.Query{Service: service, Flow: i, FlowEvent: parser.FlowOpens})
		explaining.Explain(g.now, tracker.Query{Service: service, Flow: i})
	}
	is.Equal(admitCalls, 0) // A call may use up part of a fresh target's limit.
	is.Equal(explaining.Records(), 0)
	is.Equal(len(explaining.TakeRecordBatches()), 0)
	is.True(slices.Equal(bucketsOf(explaining.Snapshot(g.now)), before))
	// A packet that is forwarded to the base target would delay the settling.
	g.now = g.now.Add(planner.DefaultIdleTimeout)
	is.True(len(explaining.RebaseRequests(g.now)) > 0)
}

// bucketsOf returns the buckets of the first service in a snapshot, sorted by index.
func bucketsOf(snap tracker.Snapshot) []tracker.BucketState {
	buckets := slices.Clone(snap.Services[0].Buckets)
	slices.SortFunc(buckets, func(a, b tracker.BucketState) int { return int(a.Bucket) - int(b.Bucket) })
	return buckets
}
