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

// ready returns a coordinator that has joined its donor.
func ready(is *is.I) *joining {
	j := newJoining()
	for range 5 {
		j.step(func(coordinator.Request) (coordinator.Reply, bool) {
			return coordinator.Reply{State: detector.Ready, Active: []byte("1"), Snapshot: &tracker.Snapshot{}}, true
		})
	}
	is.Equal(j.c.State(), detector.Ready)
	return j
}

// decideAll decides on one packet of each bucket and counts the actions.
func (j *joining) decideAll(mark parser.Mark) map[tracker.Action]int {
	n := make(map[tracker.Action]int)
	j.c.Refresh(j.now)
	for i := range planner.Buckets {
		q := tracker.Query{Service: planner.NewServiceID("booking-desk"), Flow: uint64(i), Mark: mark}
		n[j.c.Decide(j.now, q).Action()]++
	}
	return n
}

func TestPausedBalancerDecidesNothing(t *testing.T) {
	is := is.New(t)
	j := ready(is)
	is.Equal(j.decideAll(parser.MarkOpening)[tracker.Forward], planner.Buckets)
	j.now = j.now.Add(30 * time.Second)
	// Packets that have waited come before the first tick: also those of buckets
	// that this balancer believes to resolve.
	is.Equal(j.decideAll(parser.MarkNone)[tracker.HandOn], planner.Buckets)
	is.Equal(j.decideAll(parser.MarkOpening)[tracker.Drop], planner.Buckets)
	// After it there is nobody known to hand on to.
	j.c.Tick(j.now)
	is.Equal(j.decideAll(parser.MarkNone)[tracker.Drop], planner.Buckets)
}
