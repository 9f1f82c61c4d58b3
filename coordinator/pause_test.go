package coordinator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// newReadyHarness returns a harness whose coordinator has joined the donor.
func newReadyHarness(is *is.I) *joinHarness {
	j := newJoinHarness()
	for range 5 {
		j.step(func(coordinator.Request) (coordinator.Reply, bool) {
			return coordinator.Reply{State: detector.Ready, Active: []byte("1"), Snapshot: &tracker.Snapshot{}}, true
		})
	}
	is.Equal(j.c.State(), detector.Ready)
	return j
}

// decideAll decides on one packet of each bucket and counts the decisions by
// action.
func (j *joinHarness) decideAll(event parser.FlowEvent) map[tracker.Action]int {
	n := make(map[tracker.Action]int)
	j.c.Refresh(j.now)
	for i := range planner.Buckets {
		q := tracker.Query{Service: planner.NewServiceID("booking-desk"), Flow: uint64(i), FlowEvent: event}
		n[j.c.Decide(j.now, q).Action()]++
	}
	return n
}

func TestPausedBalancerDecidesNothing(t *testing.T) {
	is := is.New(t)
	j := newReadyHarness(is)
	is.Equal(j.decideAll(parser.FlowOpens)[tracker.Forward], planner.Buckets)
	j.now = j.now.Add(30 * time.Second)
	// Packets that were queued during the pause are decided before the first tick.
	// None is decided here, not even in buckets that this balancer resolved.
	is.Equal(j.decideAll(parser.FlowContinues)[tracker.HandOn], planner.Buckets)
	is.Equal(j.decideAll(parser.FlowOpens)[tracker.Drop], planner.Buckets)
	// After the tick, this balancer knows no live peer to hand packets on to.
	j.c.Tick(j.now)
	is.Equal(j.decideAll(parser.FlowContinues)[tracker.Drop], planner.Buckets)
}
