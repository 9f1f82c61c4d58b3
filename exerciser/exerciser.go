// Package exerciser runs a group of balancers in virtual time and counts which
// flows break, so that ways of keeping flows on their targets can be compared on
// the same seeded trace of changes and faults.
//
// Nothing in it opens a socket or reads a clock. Balancers exchange messages over
// a fake network with delays, losses and cuts; callers' packets reach a balancer
// picked at random; every random choice comes from the seed.
//
// # Usage
//
//	run := exerciser.New(exerciser.Today(1), exerciser.Versioned)
//	figures := run.Play(exerciser.RandomTrace(1, 13, 14))
//	fmt.Println(figures.FlowsBroken)
package exerciser

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
	// IdleTimeout is the service's; callers send more often.
	IdleTimeout time.Duration `json:"idle_timeout_ns"`
	// Duration is the length of the run in virtual time.
	Duration time.Duration `json:"duration_ns"`
}

// Today returns the sizes in use today: 13 balancers and 14 targets with 4,400
// connections each.
func Today(seed uint64) Size {
	return Size{
		Name: "today", Seed: seed, Balancers: 13, Targets: 14, LongFlows: 14 * 4400,
		OpeningsPerSecond: 2000, PacketsPerSecond: 20000, IdleTimeout: 30 * time.Second, Duration: 150 * time.Second,
	}
}

// Aim returns the aim for one availability zone.
func Aim(seed uint64) Size {
	return Size{
		Name: "aim", Seed: seed, Balancers: 76, Targets: 577, LongFlows: 706000,
		OpeningsPerSecond: 5000, PacketsPerSecond: 40000, IdleTimeout: time.Minute, Duration: 150 * time.Second,
	}
}

// Small returns a size for tests of many traces.
func Small(seed uint64) Size {
	return Size{
		Name: "small", Seed: seed, Balancers: 5, Targets: 6, LongFlows: 600,
		OpeningsPerSecond: 100, PacketsPerSecond: 600, IdleTimeout: 8 * time.Second, Duration: 50 * time.Second,
	}
}

// Run is one way under one trace.
type Run struct {
	off     Switches
	size    Size
	way     Way
	now     time.Time
	start   time.Time
	random  *rand.Rand
	queue   queue
	nodes   []*node
	byID    map[tracker.MemberID]int
	ids     []tracker.MemberID
	cuts    map[[2]int]bool
	plans   *history
	callers *callers
	meter   *meter
}

// Switches name the mechanisms that a run goes without.
type Switches struct {
	// Waiting activates a revision at once.
	Waiting bool
	// Copies sends no copies of records.
	Copies bool
	// Records lets a joining balancer resolve without the others' records.
	Records bool
	// Permission lets a balancer decide after a pause.
	Permission bool
}

// New returns a run with all balancers started and empty.
func New(size Size, way Way) *Run { return Without(size, way, Switches{}) }

// Without returns a run that goes without some mechanisms, to prove that they are
// needed.
func Without(size Size, way Way, off Switches) *Run {
	r := &Run{
		off:    off,
		size:   size,
		way:    way,
		start:  time.Unix(1_000_000, 0),
		random: rand.New(rand.NewPCG(size.Seed, 1)),
		byID:   make(map[tracker.MemberID]int),
		cuts:   make(map[[2]int]bool),
		meter:  newMeter(),
	}
	r.now = r.start
	r.plans = newHistory(size)
	r.callers = newCallers(r)
	for i := range size.Balancers {
		r.addNode(i)
	}
	return r
}

// settleIn is the time that a group has to start before callers send.
const settleIn = 10 * time.Second

// Play runs the trace to its end and returns the figures.
func (r *Run) Play(t Trace) Figures {
	for _, n := range r.nodes {
		r.boot(n)
	}
	r.publish(true)
	r.until(settleIn)
	r.callers.establish()
	r.meter.begin(r.now)
	for _, s := range t.Steps {
		r.after(s.At, func() { r.apply(s) })
	}
	r.callers.begin()
	r.until(settleIn + r.size.Duration)
	return r.figures(t)
}

func (r *Run) until(d time.Duration) {
	end := r.start.Add(d)
	for r.queue.Len() > 0 && !r.queue.first().After(end) {
		e := r.queue.take()
		r.now = e.at
		e.do()
	}
	r.now = end
}

func (r *Run) after(d time.Duration, do func()) { r.queue.put(r.now.Add(d), do) }

// boot starts a balancer's heartbeats at a random phase.
func (r *Run) boot(n *node) {
	life := n.life
	phase := time.Duration(r.random.Int64N(int64(detector.Interval)))
	var beat func()
	beat = func() {
		if n.life != life {
			return
		}
		if !n.frozen {
			n.decider.Tick(r.now)
			r.checkRevision(n)
		}
		r.after(detector.Interval, beat)
	}
	r.after(phase, beat)
}

func (r *Run) checkRevision(n *node) {
	revision := n.decider.Revision()
	if revision < n.revision {
		r.meter.reverted++
	}
	n.revision = revision
}

// Balancer returns a balancer and the time of the run, to measure decisions.
func (r *Run) Balancer(index int) (Decider, time.Time) { return r.nodes[index].decider, r.now }
