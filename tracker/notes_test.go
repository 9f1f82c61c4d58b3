package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

var noted = planner.NewTargetID("t3")

// note makes some balancers track the noted target and hold its openings back.
func (g *group) note(trackers []*tracker.Tracker, agreed bool) {
	for _, t := range trackers {
		t.Track(g.now, noted)
		t.SetNoted(map[planner.TargetID]tracker.Hold{noted: tracker.HoldAll}, agreed)
	}
}

func reach(flows map[uint64]planner.TargetID, target planner.TargetID) int {
	n := 0
	for _, t := range flows {
		if t == target {
			n++
		}
	}
	return n
}

func TestNotedTargetKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	before := g.open(1)
	g.note(g.trackers, false)
	waiting := g.open(100_000)
	is.Equal(reach(waiting, noted), 0)
	is.True(reach(waiting, 0) > 0) // Dropped until all agree.
	g.note(g.trackers, true)
	after := g.open(200_000)
	is.Equal(reach(after, noted), 0)
	is.Equal(reach(after, 0), 0)
	is.Equal(g.broken(before), 0)
	is.Equal(g.broken(after), 0)
}

func TestDivertingBeforeAllHaveTrackedBreaksFlows(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	g.note(g.trackers[:4], true) // The fifth does not know, and nobody waits for it.
	is.True(g.broken(g.open(1)) > 0)
}

func TestNotedBucketsSettleOnlyOnceTheNoteHasEnded(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	g.note(g.trackers, true)
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	for _, each := range g.trackers {
		is.Equal(len(each.Quiet(g.now)), 0)
	}
	for _, each := range g.trackers {
		each.SetNoted(nil, true)
	}
	g.settle(is)
	is.Equal(g.trackers[0].Tracked(), 0)
	is.True(g.send(0, 12345, parser.MarkOpening) != 0)
}
