package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

var heldTarget = planner.NewTargetID("t3")

// hold makes some balancers track the buckets of heldTarget and hold all its openings.
func (g *group) hold(trackers []*tracker.Tracker, agreed bool) {
	for _, t := range trackers {
		t.TrackTarget(g.now, heldTarget)
		t.SetHolds(map[planner.TargetID]tracker.Hold{heldTarget: tracker.HoldAll}, agreed)
	}
}

// countOn returns how many flows are on a target.
func countOn(flows map[uint64]planner.TargetID, target planner.TargetID) int {
	n := 0
	for _, t := range flows {
		if t == target {
			n++
		}
	}
	return n
}

func TestHeldTargetKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	before := g.open(1)
	g.hold(g.trackers, false)
	waiting := g.open(100_000)
	is.Equal(countOn(waiting, heldTarget), 0)
	is.True(countOn(waiting, 0) > 0) // Openings are dropped until all balancers agree.
	g.hold(g.trackers, true)
	after := g.open(200_000)
	is.Equal(countOn(after, heldTarget), 0)
	is.Equal(countOn(after, 0), 0)
	is.Equal(g.countBroken(before), 0)
	is.Equal(g.countBroken(after), 0)
}

func TestHoldBeforeAllBalancersTrackBreaksFlows(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	g.hold(g.trackers[:4], true) // The fifth balancer has not tracked the buckets.
	is.True(g.countBroken(g.open(1)) > 0)
}

func TestHeldBucketsSettleOnlyAfterTheHoldEnds(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	g.hold(g.trackers, true)
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	for _, each := range g.trackers {
		is.Equal(len(each.RebaseRequests(g.now)), 0)
	}
	for _, each := range g.trackers {
		each.SetHolds(nil, true)
	}
	g.settle(is)
	is.Equal(g.trackers[0].Tracked(), 0)
	is.True(g.send(0, 12345, parser.FlowOpens) != 0)
}
