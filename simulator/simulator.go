// Package simulator simulates a group of balancers in virtual time and counts the
// flows that break. Strategies for keeping flows on their targets can be compared on
// the same trace of changes and faults, which a seed determines.
//
// The package opens no sockets and reads no clock. Balancers exchange messages over a
// simulated network with delays, losses and cut paths. Each packet of a caller reaches
// a balancer picked at random. All random choices come from the seed.
//
// # Usage
//
//	size := simulator.TodaySize(1)
//	run := simulator.New(size, simulator.VersionedBuckets)
//	results := run.Play(simulator.LongTrace(size))
//	fmt.Println(results.FlowsBroken)
package simulator

import (
	"math/rand/v2"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Size is the size of a run and its seed.
type Size struct {
	Name      string `json:"name"`
	Seed      uint64 `json:"seed"`
	Balancers int    `json:"balancers"`
	Targets   int    `json:"targets"`
	// LongFlows is the number of flows that live for the whole run.
	LongFlows int `json:"long_flows"`
	// OpeningsPerSecond is the rate of short flows.
	OpeningsPerSecond int `json:"openings_per_second"`
	// PacketsPerSecond is the rate of packets of the long flows.
	PacketsPerSecond int `json:"packets_per_second"`
	// IdleTimeout is the idle timeout of the service. Callers send packets of open
	// flows more often.
	IdleTimeout time.Duration `json:"idle_timeout_ns"`
	// Duration is the length of the run in virtual time.
	Duration time.Duration `json:"duration_ns"`
}

// TodaySize returns the size in use today: 13 balancers and 14 targets with 4,400
// connections each.
func TodaySize(seed uint64) Size {
	return Size{
		Name: "today", Seed: seed, Balancers: 13, Targets: 14, LongFlows: 14 * 4400,
		OpeningsPerSecond: 2000, PacketsPerSecond: 20000, IdleTimeout: 30 * time.Second, Duration: 150 * time.Second,
	}
}

// AimSize returns the size that one availability zone is designed for.
func AimSize(seed uint64) Size {
	return Size{
		Name: "aim", Seed: seed, Balancers: 76, Targets: 577, LongFlows: 706000,
		OpeningsPerSecond: 5000, PacketsPerSecond: 40000, IdleTimeout: time.Minute, Duration: 150 * time.Second,
	}
}

// SmallSize returns a size for tests that run many traces.
func SmallSize(seed uint64) Size {
	return Size{
		Name: "small", Seed: seed, Balancers: 5, Targets: 6, LongFlows: 600,
		OpeningsPerSecond: 100, PacketsPerSecond: 600, IdleTimeout: 8 * time.Second, Duration: 50 * time.Second,
	}
}

// Run is one simulated group of balancers that uses one strategy.
type Run struct {
	disabled Mechanisms
	size     Size
	strategy Strategy
	now      time.Time
	start    time.Time
	random   *rand.Rand
	queue    eventQueue
	nodes    []*node
	byID     map[tracker.MemberID]int
	ids      []tracker.MemberID
	cuts     map[[2]int]bool
	history  *documentHistory
	callers  *callers
	meter    *meter
}

// Mechanisms says which mechanisms are disabled in a run: a field that is true
// disables its mechanism.
type Mechanisms struct {
	// ActivationWait makes a balancer wait for the others before it activates a
	// revision.
	ActivationWait bool
	// RecordCopies sends copies of flow records to other balancers.
	RecordCopies bool
	// JoinRecords gives a joining balancer the flow records of the others before it
	// resolves flows.
	JoinRecords bool
	// PermissionCheck keeps a balancer that was frozen from deciding on outdated
	// state.
	PermissionCheck bool
}

// New returns a run with all balancers started and without state.
func New(size Size, strategy Strategy) *Run { return NewWithout(size, strategy, Mechanisms{}) }

// NewWithout returns a run in which some mechanisms are disabled, for tests that
// show what they prevent.
func NewWithout(size Size, strategy Strategy, disabled Mechanisms) *Run {
	r := &Run{
		disabled: disabled,
		size:     size,
		strategy: strategy,
		start:    time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(size.Seed, 1)),
		byID:     make(map[tracker.MemberID]int),
		cuts:     make(map[[2]int]bool),
		meter:    newMeter(),
	}
	r.now = r.start
	r.history = newDocumentHistory(size)
	r.callers = newCallers(r)
	for i := range size.Balancers {
		r.addNode(i)
	}
	return r
}

// startupTime is the time that a group has to start before callers send packets.
const startupTime = 10 * time.Second

// Play runs the trace to its end and returns the results.
func (r *Run) Play(t Trace) Results {
	for _, n := range r.nodes {
		r.startHeartbeats(n)
	}
	r.publish(true)
	r.runUntil(startupTime)
	r.callers.openLongFlows()
	r.meter.reset(r.now)
	for _, s := range t.Steps {
		r.schedule(s.At, func() { r.applyStep(s) })
	}
	r.callers.start()
	r.runUntil(startupTime + r.size.Duration)
	return r.results(t)
}

// runUntil runs the events up to a time, given from the start of the run.
func (r *Run) runUntil(d time.Duration) {
	end := r.start.Add(d)
	for r.queue.Len() > 0 && !r.queue.nextTime().After(end) {
		e := r.queue.removeFirst()
		r.now = e.at
		e.run()
	}
	r.now = end
}

// schedule runs a function after a delay in virtual time.
func (r *Run) schedule(d time.Duration, run func()) { r.queue.add(r.now.Add(d), run) }

// startHeartbeats calls Tick on a balancer in every heartbeat interval, from a
// random time within the first one.
func (r *Run) startHeartbeats(n *node) {
	incarnation := n.incarnation
	phase := time.Duration(r.random.Int64N(int64(detector.HeartbeatInterval)))
	var tick func()
	tick = func() {
		if n.incarnation != incarnation {
			return
		}
		if !n.frozen {
			n.decider.Tick(r.now)
			r.countRevertedRevision(n)
		}
		r.schedule(detector.HeartbeatInterval, tick)
	}
	r.schedule(phase, tick)
}

// countRevertedRevision counts a balancer that went back to an earlier revision.
func (r *Run) countRevertedRevision(n *node) {
	revision := n.decider.Revision()
	if revision < n.revision {
		r.meter.revisionsReverted++
	}
	n.revision = revision
}

// Balancer returns a balancer and the current virtual time, so that tests can
// measure decisions.
func (r *Run) Balancer(index int) (Decider, time.Time) { return r.nodes[index].decider, r.now }
