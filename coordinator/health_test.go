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

// cluster runs coordinators and the targets that they probe in virtual time.
type cluster struct {
	now          time.Time
	coordinators []*coordinator.Coordinator
	// started holds the start times of targets. A target without one has run since
	// long before the test.
	started map[planner.TargetID]time.Time
	// down holds the targets that do not answer probes.
	down map[planner.TargetID]bool
	// cut holds the indexes of the balancers whose heartbeats and requests are lost
	// in both directions. Records still arrive.
	cut map[int]bool
	// frozen holds the indexes of the balancers that do not run.
	frozen map[int]bool
}

// newCluster returns n balancers that have run for long enough to become ready.
func newCluster(n int) *cluster {
	cl := &cluster{
		now:     time.Unix(1_000_000, 0),
		started: make(map[planner.TargetID]time.Time),
		down:    make(map[planner.TargetID]bool),
		cut:     make(map[int]bool),
		frozen:  make(map[int]bool),
	}
	for range n {
		cl.add(n)
	}
	cl.run(12 * time.Second)
	return cl
}

// add adds a balancer whose contacts are the first n balancers.
func (cl *cluster) add(n int) {
	c := coordinator.New(coordinator.Config{Self: tracker.MemberID(len(cl.coordinators) + 1), Incarnation: 1})
	c.Decode = func([]byte) (coordinator.Record, error) { return probedRecord(), nil }
	var ids []tracker.MemberID
	for i := range n {
		ids = append(ids, tracker.MemberID(i+1))
	}
	c.SetContacts(ids)
	c.Offer(cl.now, probedRecord())
	cl.coordinators = append(cl.coordinators, c)
}

func probedRecord() coordinator.Record {
	return coordinator.Record{Revision: 1, Document: probedDocument(), Encoded: []byte{1}}
}

// run lets all balancers that are not frozen run for the duration d.
func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); {
		cl.now = cl.now.Add(detector.HeartbeatInterval)
		for i, c := range cl.coordinators {
			if cl.frozen[i] {
				continue
			}
			cl.deliver(i, c.Tick(cl.now))
			cl.probe(c)
			cl.deliver(i, c.Actions())
		}
	}
}

// probe gives a coordinator the results of its probes, about once a second.
func (cl *cluster) probe(c *coordinator.Coordinator) {
	if cl.now.UnixMilli()%1000 >= detector.HeartbeatInterval.Milliseconds() {
		return
	}
	for _, target := range c.TargetsToProbe(cl.now) {
		id := target.ID()
		started, known := cl.started[id]
		if !known {
			started = time.Unix(1000, 0)
		}
		c.HandleProbe(cl.now, id, assessor.Probe{At: cl.now, Answered: !cl.down[id], Started: started})
	}
}

// deliver performs the actions of one balancer: it delivers the messages to the
// others, or loses them.
func (cl *cluster) deliver(from int, actions []coordinator.Action) {
	for _, a := range actions {
		at := int(a.To()) - 1
		if at >= len(cl.coordinators) {
			continue
		}
		to := cl.coordinators[at]
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			if !cl.cut[from] && !cl.cut[at] && !cl.frozen[at] {
				to.HandleHeartbeat(cl.now, a.Heartbeat())
			}
		case coordinator.SendRecords:
			if cl.frozen[at] {
				cl.coordinators[from].HandleRecordsLost(a.To())
				continue
			}
			to.HandleRecords(cl.now, a.Records())
		case coordinator.SendRequest:
			if cl.cut[from] || cl.cut[at] || cl.frozen[at] {
				cl.coordinators[from].HandleReply(cl.now, a.PeerRequest(), coordinator.Reply{}, false)
				continue
			}
			reply := to.HandleRequest(cl.now, tracker.MemberID(from+1), a.PeerRequest().Request())
			cl.coordinators[from].HandleReply(cl.now, a.PeerRequest(), reply, true)
		}
	}
}

// send gives a packet to one balancer, follows it to the balancers that it is
// handed on to, and returns the target that it reaches, or 0.
func (cl *cluster) send(at int, flow uint64, event parser.FlowEvent) planner.TargetID {
	q := tracker.Query{Service: planner.NewServiceID(probedService), Flow: flow, FlowEvent: event}
	for {
		cl.coordinators[at].Refresh(cl.now)
		d := cl.coordinators[at].Decide(cl.now, q)
		cl.deliver(at, cl.coordinators[at].Actions())
		if d.Action() != tracker.HandOn {
			return d.Target()
		}
		at = int(d.Member()) - 1
		if cl.frozen[at] {
			return 0 // The packet is lost; its sender retransmits it.
		}
		q.Hops = d.Hops()
	}
}

// open opens n flows, spread over the balancers that are not frozen, and returns
// the target of each, or 0.
func (cl *cluster) open(first uint64, n int) map[uint64]planner.TargetID {
	opened := make(map[uint64]planner.TargetID)
	for i := range n {
		if cl.frozen[i%len(cl.coordinators)] {
			continue
		}
		flow := (first + uint64(i)) * 0x9e3779b97f4a7c15
		opened[flow] = cl.send(i%len(cl.coordinators), flow, parser.FlowOpens)
	}
	return opened
}

// misroutedFlows counts the flows of which some balancer sends a packet elsewhere
// than to the target that the flow opened on.
func (cl *cluster) misroutedFlows(opened map[uint64]planner.TargetID) int {
	n := 0
	for flow, target := range opened {
		for at := range cl.coordinators {
			if target != 0 && cl.send(at, flow, parser.FlowContinues) != target {
				n++
				break
			}
		}
	}
	return n
}

// countFlows counts the flows that opened on a target.
func countFlows(opened map[uint64]planner.TargetID, target planner.TargetID) int {
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
	cl := newCluster(7)
	dead := planner.NewTargetID(targetName(3))
	before := cl.open(1, 2000)
	is.True(countFlows(before, dead) > 0)
	cl.down[dead] = true
	cl.run(5 * time.Second)
	after := cl.open(100_000, 2000)
	is.Equal(countFlows(after, dead), 0)
	is.Equal(countFlows(after, 0), 0) // Openings are no longer dropped to wait for an agreement.
	is.Equal(cl.misroutedFlows(before), 0)
	is.Equal(cl.misroutedFlows(after), 0)
}

func TestWrongSuspicionBreaksNothing(t *testing.T) {
	is := is.New(t)
	cl := newCluster(7)
	suspect := planner.NewTargetID(targetName(3))
	flows := cl.open(1, 2000)
	for round := range 3 {
		cl.down[suspect] = round%2 == 0
		for step := range 10 {
			cl.run(detector.HeartbeatInterval)
			for flow, target := range cl.open(uint64(round+1)*100_000+uint64(step)*1000, 100) {
				flows[flow] = target
			}
			is.Equal(cl.misroutedFlows(flows), 0)
		}
	}
}

func TestTargetThatTurnsColdIsRamped(t *testing.T) {
	is := is.New(t)
	cl := newCluster(7)
	cold := planner.NewTargetID(targetName(3))
	cl.started[cold] = cl.now
	cl.run(4 * time.Second)
	age := 4 * time.Second
	limit := firstFlows + int(float64(firstFlows)*99*float64(age)/float64(coldRamp))
	opened := cl.open(1, 40_000)
	is.True(countFlows(opened, cold) > 0)
	is.True(countFlows(opened, cold) <= limit)
	is.Equal(countFlows(opened, 0), 0)
	cl.run(coldRamp)
	warm := cl.open(1_000_000, 14_000)
	is.True(countFlows(warm, cold) > 500) // An equal share of 14 000 flows over 14 targets is 1000.
}

func TestNothingIsDivertedBeforeAllAgree(t *testing.T) {
	is := is.New(t)
	cl := newCluster(7)
	dead := planner.NewTargetID(targetName(3))
	cl.down[dead] = true
	cl.cut[0] = true // The others take balancer 1 for alive for a while, but it has not agreed.
	cl.run(2 * time.Second)
	early := cl.open(1, 2000)
	cl.cut[0] = false
	is.Equal(cl.misroutedFlows(early), 0)
	cl.run(8 * time.Second)
	is.Equal(cl.misroutedFlows(early), 0)
	is.Equal(countFlows(cl.open(100_000, 2000), dead), 0)
}

func TestJoiningBalancerTakesOverHealthReports(t *testing.T) {
	is := is.New(t)
	cl := newCluster(5)
	dead := planner.NewTargetID(targetName(3))
	cl.down[dead] = true
	cl.run(6 * time.Second)
	opened := cl.open(1, 2000)
	cl.add(6)
	for _, c := range cl.coordinators {
		c.SetContacts([]tracker.MemberID{1, 2, 3, 4, 5, 6})
	}
	cl.run(8 * time.Second)
	is.Equal(cl.coordinators[5].State(), detector.Ready)
	is.Equal(cl.misroutedFlows(opened), 0)
	is.Equal(countFlows(cl.open(100_000, 2000), dead), 0)
}

func TestAllTargetsDownStillGetFlows(t *testing.T) {
	is := is.New(t)
	cl := newCluster(5)
	for i := range probedTargets {
		cl.down[planner.NewTargetID(targetName(i))] = true
	}
	cl.run(8 * time.Second)
	opened := cl.open(1, 2000)
	is.Equal(countFlows(opened, 0), 0)
	for i := range probedTargets {
		is.True(countFlows(opened, planner.NewTargetID(targetName(i))) > 0)
	}
}
