package tracker_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const serviceName = "booking-desk"

var service = planner.NewServiceID(serviceName)

// documentOf returns a document with 14 targets, of which those in the map are draining.
func documentOf(draining map[int]bool) *operator.Document {
	d := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}},
		Services: map[string]operator.Service{serviceName: {
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
			Protocol:  operator.ProtocolQUIC,
		}},
		Targets: make(map[string]operator.Target),
	}
	for i := range 14 {
		state := operator.TargetActive
		if draining[i] {
			state = operator.TargetDraining
		}
		d.Targets[fmt.Sprintf("t%d", i)] = operator.Target{
			Service:          serviceName,
			AvailabilityZone: "ne-a",
			Address:          netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+i)),
			State:            state,
		}
	}
	return d
}

// membersOf returns n balancers that resolve packets and keep records.
func membersOf(n int) []tracker.Member {
	var members []tracker.Member
	for i := range n {
		members = append(members, tracker.Member{ID: tracker.MemberID(i + 1), Resolves: true, KeepsRecords: true})
	}
	return members
}

// group is a set of trackers that exchange records without loss.
type group struct {
	now      time.Time
	trackers []*tracker.Tracker
}

func newGroup(n int, plan *planner.Plan) *group {
	g := &group{now: time.Unix(1000, 0)}
	for i := range n {
		t := tracker.New(tracker.MemberID(i + 1))
		t.SetMembers(membersOf(n))
		t.Prepare(g.now, plan)
		g.trackers = append(g.trackers, t)
	}
	return g
}

// send gives a packet to one balancer, and returns the target that it is forwarded to,
// or 0 if it is dropped or refused.
func (g *group) send(at int, flow uint64, event parser.FlowEvent) planner.TargetID {
	q := tracker.Query{Service: service, Flow: flow, FlowEvent: event}
	for {
		d := g.trackers[at].Decide(g.now, q)
		g.exchange(at)
		if d.Action() != tracker.HandOn {
			return d.Target()
		}
		at = int(d.Member()) - 1
		q.Hops = d.Hops()
	}
}

// exchange delivers the queued records of one tracker to the others.
func (g *group) exchange(at int) {
	for _, b := range g.trackers[at].TakeRecordBatches() {
		g.trackers[int(b.Member())-1].MergeRecords(g.now, b.Records())
	}
}

func (g *group) prepare(p *planner.Plan) {
	for _, t := range g.trackers {
		t.Prepare(g.now, p)
	}
}

func (g *group) activate() {
	for _, t := range g.trackers {
		t.Activate(g.now)
	}
}

const flowCount = 2000

// open opens flowCount flows, spread over all balancers, and returns their targets.
func (g *group) open(first uint64) map[uint64]planner.TargetID {
	opened := make(map[uint64]planner.TargetID)
	for i := range uint64(flowCount) {
		flow := (first + i) * 0x9e3779b97f4a7c15
		opened[flow] = g.send(int(i)%len(g.trackers), flow, parser.FlowOpens)
	}
	return opened
}

// countBroken returns the number of flows of which any balancer sends a packet to another
// target than the one they opened on.
func (g *group) countBroken(opened map[uint64]planner.TargetID) int {
	n := 0
	for flow, target := range opened {
		for at := range g.trackers {
			if g.send(at, flow, parser.FlowContinues) != target {
				n++
				break
			}
		}
	}
	return n
}

func TestEstablishedFlowsSurviveChanges(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, planner.New(1, documentOf(nil)))
	before := g.open(1)
	steps := []map[int]bool{{3: true}, {3: true, 5: true}, {5: true}, nil, {3: true}}
	for i, draining := range steps {
		g.now = g.now.Add(5 * time.Second)
		g.prepare(planner.New(uint64(i+2), documentOf(draining)))
		during := g.open(uint64(i+1) * 100000)
		is.Equal(g.countBroken(before), 0)
		g.activate()
		after := g.open(uint64(i+1)*100000 + 50000)
		is.Equal(g.countBroken(before), 0)
		is.Equal(g.countBroken(during), 0)
		is.Equal(g.countBroken(after), 0)
		for _, target := range after {
			for d := range draining {
				is.True(target != planner.NewTargetID(fmt.Sprintf("t%d", d))) // No new flow on a draining target.
			}
		}
		for flow, target := range after {
			before[flow] = target
		}
	}
}

func TestReplacingTheTableBreaksFlows(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, planner.New(1, documentOf(nil)))
	opened := g.open(1)
	// Without preparation, the new table replaces the old one without tracking.
	changed := newGroup(13, planner.New(2, documentOf(map[int]bool{3: true})))
	is.True(changed.countBroken(opened) > flowCount/20)
}

func TestFlowsSurviveTheLossOfTheirResolver(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	opened := g.open(1)
	members := membersOf(13)
	members[0].Resolves = false
	members[0].KeepsRecords = false
	for at, other := range g.trackers {
		other.SetMembers(members)
		g.exchange(at)
	}
	g.trackers[0] = tracker.New(1)
	g.trackers[0].SetMembers(members)
	g.trackers[0].SetStale(true)
	g.trackers[0].Prepare(g.now, planner.New(1, documentOf(nil)))
	is.Equal(g.countBroken(opened), 0)
}

func TestIdleBucketsSettle(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	opened := g.open(1)
	is.True(g.trackers[0].Tracked() > 0)
	g.now = g.now.Add(planner.DefaultIdleTimeout + 2*time.Second)
	g.settle(is)
	is.Equal(g.trackers[0].Tracked(), 0)
	is.Equal(g.countBroken(opened), 0)
}

// settle makes all trackers settle every bucket that they can.
func (g *group) settle(is *is.I) {
	for _, t := range g.trackers {
		for _, s := range t.RebaseRequests(g.now) {
			for _, phase := range []tracker.Phase{tracker.Rebase, tracker.Release} {
				s.Phase = phase
				for _, other := range g.trackers {
					is.True(other.Settle(g.now, s))
				}
			}
		}
	}
}

func TestPacketsAreDecidedWithoutAllocation(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, planner.New(1, documentOf(nil)))
	n := testing.AllocsPerRun(1000, func() {
		g.trackers[0].Decide(g.now, tracker.Query{Service: service, Flow: 12345, FlowEvent: parser.FlowContinues})
	})
	is.Equal(n, 0.0)
}

func TestRecordsThatArriveBeforeTheSnapshotsAreKept(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, planner.New(1, documentOf(nil)))
	g.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	g.activate()
	newcomer := tracker.New(3)
	members := membersOf(3)
	members[2].Resolves = false
	for _, each := range g.trackers {
		each.SetMembers(members)
	}
	snapshots := []tracker.Snapshot{g.trackers[0].Snapshot(g.now), g.trackers[1].Snapshot(g.now)}
	g.trackers = append(g.trackers, newcomer)
	newcomer.SetMembers(members)
	newcomer.SetStale(true)
	opened := make(map[uint64]planner.TargetID)
	for i := range uint64(flowCount) { // The copies of records arrive before the snapshots.
		flow := (1 + i) * 0x9e3779b97f4a7c15
		opened[flow] = g.send(int(i)%2, flow, parser.FlowOpens)
	}
	newcomer.Adopt(g.now, planner.New(2, documentOf(map[int]bool{3: true})), snapshots)
	newcomer.SetStale(false)
	for _, each := range g.trackers {
		each.SetMembers(membersOf(3))
	}
	is.Equal(g.countBroken(opened), 0)
}

func TestFlowOfANewTargetSurvivesAResolverThatIsNotYetActive(t *testing.T) {
	is := is.New(t)
	withTarget := documentOf(nil)
	withoutTarget := documentOf(nil)
	delete(withoutTarget.Targets, "t3")
	g := newGroup(2, planner.New(1, withoutTarget))
	g.prepare(planner.New(2, withTarget))
	g.trackers[0].Activate(g.now)
	opened := make(map[uint64]planner.TargetID)
	for i := range uint64(flowCount) {
		flow := i * 0x9e3779b97f4a7c15
		opened[flow] = g.send(0, flow, parser.FlowOpens)
	}
	g.remove(0)
	for flow, target := range opened {
		is.Equal(g.send(1, flow, parser.FlowOpens), target) // A retransmitted opening.
		is.True(g.trackers[1].Target(target) != nil)
	}
}

func TestOpeningsLeaveARemovedTargetOnceAllHavePrepared(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, planner.New(1, documentOf(nil)))
	document := documentOf(nil)
	delete(document.Targets, "t3")
	g.prepare(planner.New(2, document))
	dropped := func(opened map[uint64]planner.TargetID) int {
		n := 0
		for _, target := range opened {
			if target == 0 {
				n++
			}
		}
		return n
	}
	is.True(dropped(g.open(1)) > flowCount/20) // The balancers don't know yet that all have prepared.
	for _, t := range g.trackers {
		t.SetPreparedByAll(true)
	}
	opened := g.open(100000)
	is.Equal(dropped(opened), 0)
	is.Equal(g.countBroken(opened), 0)
	g.activate()
	is.Equal(g.countBroken(opened), 0)
}
