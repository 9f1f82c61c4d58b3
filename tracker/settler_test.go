package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// keepBusy sends a packet of each flow every half idle timeout.
func (g *group) keepBusy(opened map[uint64]planner.TargetID, rounds int) {
	for range rounds {
		for flow := range opened {
			g.send(int(flow%uint64(len(g.trackers))), flow, parser.MarkNone)
		}
		for at, each := range g.trackers {
			each.Expire(g.now)
			g.exchange(at)
		}
		g.now = g.now.Add(planner.DefaultIdleTimeout / 2)
	}
}

// kill lets the others go on without one tracker.
func (g *group) kill(at int) {
	members := membersOf(len(g.trackers))
	members[at].Resolves = false
	members[at].Keeps = false
	for i, each := range g.trackers {
		each.SetMembers(members)
		g.exchange(i)
	}
	g.trackers[at].SetStale(true)
}

func (g *group) quiet(t *tracker.Tracker) int { return len(t.Quiet(g.now)) }

func TestNewResolverWaitsBeforeItSettles(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, planner.New(1, documentOf(nil)))
	before := g.open(1) // These live on the base targets, without records.
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	g.keepBusy(before, 6)
	empty := g.quiet(g.trackers[1]) + g.quiet(g.trackers[2])
	g.kill(0)
	is.Equal(g.quiet(g.trackers[1])+g.quiet(g.trackers[2]), empty)
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	is.True(g.quiet(g.trackers[1])+g.quiet(g.trackers[2]) > empty)
}

func TestNewResolverKeepsTheRecordsOfBusyFlows(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	opened := g.open(1)
	g.keepBusy(opened, 2)
	for flow := range opened {
		g.send(int(flow%3), flow, parser.MarkNone)
	}
	// The copies came more than an idle timeout ago; the flows are busy.
	g.now = g.now.Add(time.Second + time.Millisecond)
	g.kill(0)
	for _, each := range g.trackers[1:] {
		each.Expire(g.now)
	}
	is.Equal(g.broken(opened), 0)
}

func TestRebasedStateWinsInSnapshots(t *testing.T) {
	is := is.New(t)
	drained := planner.New(2, documentOf(map[int]bool{3: true}))
	g := newGroup(2, planner.New(1, documentOf(nil)))
	g.prepare(drained)
	g.activate()
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	early := g.trackers[1].Snapshot(g.now)
	for _, each := range g.trackers {
		for _, s := range each.Quiet(g.now) {
			g.trackers[0].Settle(g.now, s)
			g.trackers[1].Settle(g.now, s)
		}
	}
	late := g.trackers[0].Snapshot(g.now)
	for _, snapshots := range [][]tracker.Snapshot{{early, late}, {late, early}} {
		newcomer := tracker.New(3)
		newcomer.SetMembers(membersOf(3))
		newcomer.Adopt(g.now, drained, snapshots)
		for _, state := range newcomer.Snapshot(g.now).Services {
			for _, b := range state.Buckets {
				is.True(b.Rebased) // The others release the bucket next.
				is.Equal(b.Base, drained.ServiceByID(service).Lookup(int(b.Bucket)))
			}
		}
	}
}

func TestReturningBalancerTakesTheOthersRecords(t *testing.T) {
	is := is.New(t)
	drained := planner.New(2, documentOf(map[int]bool{3: true}))
	g := newGroup(2, planner.New(1, documentOf(nil)))
	g.prepare(drained)
	g.activate()
	opened := g.open(1)
	returning := tracker.New(2)
	g.trackers[1] = returning
	returning.SetMembers(membersOf(2))
	returning.Prepare(g.now, planner.New(1, documentOf(nil)))
	returning.Prepare(g.now, drained)
	// It opened the same flows elsewhere, and its copies were lost.
	wrong := planner.NewTargetID("t7")
	for flow := range opened {
		returning.Learn(g.now, []tracker.Record{{Service: service, Flow: flow, Target: wrong}})
	}
	returning.Adopt(g.now, drained, []tracker.Snapshot{g.trackers[0].Snapshot(g.now)})
	is.Equal(g.broken(opened), 0)
}

func TestBalancerThatSkippedARevisionSettlesNothingElsewhere(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, planner.New(1, documentOf(nil)))
	before := g.open(1)
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.trackers[0].Activate(g.now)
	// The other one learns of the way back before it has activated the way there.
	back := planner.New(3, documentOf(nil))
	g.now = g.now.Add(3 * time.Second)
	g.trackers[1].Prepare(g.now, back)
	for _, s := range g.trackers[1].Quiet(g.now) {
		g.trackers[0].Settle(g.now, s)
	}
	g.trackers[0].Prepare(g.now, back)
	g.activate()
	g.kill(1)
	is.Equal(g.broken(before), 0)
}
