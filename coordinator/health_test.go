package coordinator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	probedService = "booking-desk"
	probedTargets = 14
	firstFlows    = 40
	coldRamp      = 30 * time.Second
)

func targetName(i int) string { return fmt.Sprintf("bd-%02d", i+1) }

func probedDocument() *operator.Document {
	d := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}},
		Services: map[string]operator.Service{probedService: {
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
			Protocol:  operator.ProtocolQUIC,
			ColdStart: operator.ColdStart{Flows: firstFlows, Ramp: operator.Duration(coldRamp)},
		}},
		Targets: make(map[string]operator.Target),
	}
	for i := range probedTargets {
		d.Targets[targetName(i)] = operator.Target{
			Service: probedService, AvailabilityZone: "ne-a", State: operator.TargetActive,
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+i)),
			Health:  netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7100+i)),
		}
	}
	return d
}

// fleet drives coordinators, and the targets that they probe, in virtual time.
type fleet struct {
	now     time.Time
	all     []*coordinator.Coordinator
	started map[planner.TargetID]time.Time
	down    map[planner.TargetID]bool
	cut     map[int]bool
	frozen  map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		now:     time.Unix(1_000_000, 0),
		started: make(map[planner.TargetID]time.Time),
		down:    make(map[planner.TargetID]bool),
		cut:     make(map[int]bool),
		frozen:  make(map[int]bool),
	}
	for range n {
		f.add(n)
	}
	f.run(12 * time.Second)
	return f
}

func (f *fleet) add(n int) {
	c := coordinator.New(coordinator.Config{Self: tracker.MemberID(len(f.all) + 1), Incarnation: 1})
	c.Decode = func([]byte) (coordinator.Record, error) { return record(), nil }
	var ids []tracker.MemberID
	for i := range n {
		ids = append(ids, tracker.MemberID(i+1))
	}
	c.SetContacts(ids)
	c.Offer(f.now, record())
	f.all = append(f.all, c)
}

func record() coordinator.Record {
	return coordinator.Record{Revision: 1, Document: probedDocument(), Encoded: []byte{1}}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(detector.Interval)
		for i, c := range f.all {
			if f.frozen[i] {
				continue
			}
			f.perform(i, c.Tick(f.now))
			f.probe(c)
			f.perform(i, c.Actions())
		}
	}
}

func (f *fleet) probe(c *coordinator.Coordinator) {
	if f.now.UnixMilli()%1000 >= detector.Interval.Milliseconds() {
		return
	}
	for _, target := range c.ToProbe(f.now) {
		id := target.ID()
		started, known := f.started[id]
		if !known {
			started = time.Unix(1000, 0)
		}
		c.Probed(f.now, id, assessor.Probe{At: f.now, Answered: !f.down[id], Started: started})
	}
}

func (f *fleet) perform(from int, actions []coordinator.Action) {
	for _, a := range actions {
		at := int(a.To()) - 1
		if at >= len(f.all) {
			continue
		}
		to := f.all[at]
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			if !f.cut[from] && !f.cut[at] && !f.frozen[at] {
				to.Heartbeat(f.now, a.Heartbeat())
			}
		case coordinator.SendRecords:
			if f.frozen[at] {
				f.all[from].Lost(a.To())
				continue
			}
			to.Learn(f.now, a.Records())
		case coordinator.SendRequest:
			if f.cut[from] || f.cut[at] || f.frozen[at] {
				f.all[from].Replied(f.now, a.Ask(), coordinator.Reply{}, false)
				continue
			}
			reply := to.Answer(f.now, tracker.MemberID(from+1), a.Ask().Request())
			f.all[from].Replied(f.now, a.Ask(), reply, true)
		}
	}
}

// send gives a packet to one balancer and returns the target it reaches, or 0.
func (f *fleet) send(at int, flow uint64, mark parser.Mark) planner.TargetID {
	q := tracker.Query{Service: planner.NewServiceID(probedService), Flow: flow, Mark: mark}
	for {
		f.all[at].Refresh(f.now)
		d := f.all[at].Decide(f.now, q)
		f.perform(at, f.all[at].Actions())
		if d.Action() != tracker.HandOn {
			return d.Target()
		}
		at = int(d.Member()) - 1
		if f.frozen[at] {
			return 0 // Lost; the sender sends it again.
		}
		q.Hops = d.Hops()
	}
}

// open opens flows at all balancers and returns where they went.
func (f *fleet) open(first uint64, n int) map[uint64]planner.TargetID {
	opened := make(map[uint64]planner.TargetID)
	for i := range n {
		if f.frozen[i%len(f.all)] {
			continue
		}
		flow := (first + uint64(i)) * 0x9e3779b97f4a7c15
		opened[flow] = f.send(i%len(f.all), flow, parser.MarkOpening)
	}
	return opened
}

func (f *fleet) broken(opened map[uint64]planner.TargetID) int {
	n := 0
	for flow, target := range opened {
		for at := range f.all {
			if target != 0 && f.send(at, flow, parser.MarkNone) != target {
				n++
				break
			}
		}
	}
	return n
}

func count(opened map[uint64]planner.TargetID, target planner.TargetID) int {
	n := 0
	for _, t := range opened {
		if t == target {
			n++
		}
	}
	return n
}

func TestDeadTargetIsAvoidedWithinFiveSeconds(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	dead := planner.NewTargetID(targetName(3))
	before := f.open(1, 2000)
	is.True(count(before, dead) > 0)
	f.down[dead] = true
	f.run(5 * time.Second)
	after := f.open(100_000, 2000)
	is.Equal(count(after, dead), 0)
	is.Equal(count(after, 0), 0) // None waits for an agreement any more.
	is.Equal(f.broken(before), 0)
	is.Equal(f.broken(after), 0)
}

func TestWrongSuspicionBreaksNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	suspect := planner.NewTargetID(targetName(3))
	flows := f.open(1, 2000)
	for round := range 3 {
		f.down[suspect] = round%2 == 0
		for step := range 10 {
			f.run(detector.Interval)
			for flow, target := range f.open(uint64(round+1)*100_000+uint64(step)*1000, 100) {
				flows[flow] = target
			}
			is.Equal(f.broken(flows), 0)
		}
	}
}

func TestTargetThatTurnsColdIsRamped(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	cold := planner.NewTargetID(targetName(3))
	f.started[cold] = f.now
	f.run(4 * time.Second)
	age := 4 * time.Second
	limit := firstFlows + int(float64(firstFlows)*99*float64(age)/float64(coldRamp))
	opened := f.open(1, 40_000)
	is.True(count(opened, cold) > 0)
	is.True(count(opened, cold) <= limit)
	is.Equal(count(opened, 0), 0)
	f.run(coldRamp)
	warm := f.open(1_000_000, 14_000)
	is.True(count(warm, cold) > 500) // About one in 14.
}

func TestNothingIsDivertedBeforeAllAgree(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	dead := planner.NewTargetID(targetName(3))
	f.down[dead] = true
	f.cut[0] = true // Others hold balancer 1 alive for a while, without its agreement.
	f.run(2 * time.Second)
	early := f.open(1, 2000)
	f.cut[0] = false
	is.Equal(f.broken(early), 0)
	f.run(8 * time.Second)
	is.Equal(f.broken(early), 0)
	is.Equal(count(f.open(100_000, 2000), dead), 0)
}

func TestJoiningBalancerHoldsTheNotes(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	dead := planner.NewTargetID(targetName(3))
	f.down[dead] = true
	f.run(6 * time.Second)
	opened := f.open(1, 2000)
	f.add(6)
	for _, c := range f.all {
		c.SetContacts([]tracker.MemberID{1, 2, 3, 4, 5, 6})
	}
	f.run(8 * time.Second)
	is.Equal(f.all[5].State(), detector.Ready)
	is.Equal(f.broken(opened), 0)
	is.Equal(count(f.open(100_000, 2000), dead), 0)
}

func TestHalfOfTheTargetsDownFallsBackToSpreading(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	for i := range probedTargets {
		f.down[planner.NewTargetID(targetName(i))] = true
	}
	f.run(8 * time.Second)
	opened := f.open(1, 2000)
	is.Equal(count(opened, 0), 0)
	for i := range probedTargets {
		is.True(count(opened, planner.NewTargetID(targetName(i))) > 0)
	}
}
