package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// sendAll sends a packet of each flow in every round. A round takes half an idle timeout.
func (g *group) sendAll(opened map[uint64]planner.TargetID, rounds int) {
	for range rounds {
		for flow := range opened {
			g.send(int(flow%uint64(len(g.trackers))), flow, parser.FlowContinues)
		}
		for at, each := range g.trackers {
			each.Expire(g.now)
			g.exchange(at)
		}
		g.now = g.now.Add(planner.DefaultIdleTimeout / 2)
	}
}

// remove makes one tracker stale, and makes the others stop using it as a resolver or keeper.
func (g *group) remove(at int) {
	members := membersOf(len(g.trackers))
	members[at].Resolves = false
	members[at].KeepsRecords = false
	for i, each := range g.trackers {
		each.SetMembers(members)
		g.exchange(i)
	}
	g.trackers[at].SetStale(true)
}

// countSettleable returns how many buckets a tracker can settle.
func (g *group) countSettleable(t *tracker.Tracker) int { return len(t.RebaseRequests(g.now)) }

func TestNewResolverWaitsBeforeItSettles(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, planner.New(1, documentOf(nil)))
	before := g.open(1) // These flows are on the base targets and have no records.
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	g.sendAll(before, 6)
	settleable := g.countSettleable(g.trackers[1]) + g.countSettleable(g.trackers[2])
	g.remove(0)
	is.Equal(g.countSettleable(g.trackers[1])+g.countSettleable(g.trackers[2]), settleable)
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	is.True(g.countSettleable(g.trackers[1])+g.countSettleable(g.trackers[2]) > settleable)
}

func TestNewResolverKeepsTheRecordsOfLiveFlows(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	opened := g.open(1)
	g.sendAll(opened, 2)
	for flow := range opened {
		g.send(int(flow%3), flow, parser.FlowContinues)
	}
	// The copies arrived more than an idle timeout ago, and the flows are still alive.
	g.now = g.now.Add(time.Second + time.Millisecond)
	g.remove(0)
	for _, each := range g.trackers[1:] {
		each.Expire(g.now)
	}
	is.Equal(g.countBroken(opened), 0)
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
		for _, s := range each.RebaseRequests(g.now) {
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
				is.True(b.Rebased) // The other balancers may release the bucket next.
				is.Equal(b.Base, drained.ServiceByID(service).Lookup(int(b.Bucket)))
			}
		}
	}
}

func TestReturningBalancerPrefersRecordsOfReadyBalancers(t *testing.T) {
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
	// The returning balancer opened the same flows on another target, and the copies
	// of its records were lost.
	other := planner.NewTargetID("t7")
	for flow := range opened {
		returning.MergeRecords(g.now, []tracker.Record{{Service: service, Flow: flow, Target: other}})
	}
	returning.Adopt(g.now, drained, []tracker.Snapshot{g.trackers[0].Snapshot(g.now)})
	is.Equal(g.countBroken(opened), 0)
}

func TestBalancerThatSkippedARevisionDoesNotSettleBucketsOfOthers(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, planner.New(1, documentOf(nil)))
	before := g.open(1)
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.trackers[0].Activate(g.now)
	// The second balancer prepares revision 3, which reverts revision 2, before it has
	// activated revision 2.
	back := planner.New(3, documentOf(nil))
	g.now = g.now.Add(3 * time.Second)
	g.trackers[1].Prepare(g.now, back)
	for _, s := range g.trackers[1].RebaseRequests(g.now) {
		g.trackers[0].Settle(g.now, s)
	}
	g.trackers[0].Prepare(g.now, back)
	g.activate()
	g.remove(1)
	is.Equal(g.countBroken(before), 0)
}
