package simulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/simulator"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// maxImbalance bounds the greatest share of the openings that any target gets, per
	// weight, over the mean share of all targets.
	maxImbalance = 1.10
	// controlBudgetTodaySize and controlBudgetAimSize are the budget of the control
	// network for each balancer, in bytes per second: at today's size, and at the size
	// that the system is designed for.
	controlBudgetTodaySize = 5000.0
	controlBudgetAimSize   = 20000.0
)

// reducedTodaySize returns today's size with less load and a shorter run, which
// keeps the test short.
func reducedTodaySize(seed uint64) simulator.Size {
	size := simulator.TodaySize(seed)
	size.LongFlows /= 10
	size.PacketsPerSecond /= 10
	size.OpeningsPerSecond /= 2
	size.Duration = 21 * time.Second
	return size
}

// Guards against uneven distribution over targets and against control traffic
// beyond its budget, in a group without changes.
func TestImbalanceAndControlTrafficStayInBounds(t *testing.T) {
	is := is.New(t)
	r := play(simulator.VersionedBuckets, reducedTodaySize(1), simulator.Trace{})
	is.Equal(r.FlowsBroken, 0)
	is.True(r.ImbalanceMean > 1)
	is.True(r.ImbalanceP99 <= maxImbalance)
	is.True(r.ControlBytes <= controlBudgetTodaySize)
}

// Guards against any broken guarantee at today's number of balancers and targets,
// with a twentieth of the load, under every kind of change and fault.
func TestLongTraceBreaksNoFlowAtTodaysSize(t *testing.T) {
	is := is.New(t)
	size := simulator.TodaySize(1)
	size.LongFlows /= 20
	size.PacketsPerSecond /= 20
	size.OpeningsPerSecond /= 20
	r := play(simulator.VersionedBuckets, size, simulator.LongTrace(size))
	is.Equal(r.FlowsBroken, 0)
	is.Equal(r.WrongService, 0)
	is.Equal(r.LateToOut, 0)
	is.Equal(r.LateToDraining, 0)
	is.Equal(r.RevisionsReverted, 0)
}

func BenchmarkDecide(b *testing.B) {
	for _, strategy := range simulator.Strategies() {
		b.Run(strategy.Name, func(b *testing.B) {
			run := simulator.New(reducedTodaySize(1), strategy)
			run.Play(simulator.Trace{})
			d, now := run.Balancer(0)
			flow := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				flow = flow*6364136223846793005 + 1442695040888963407
				d.Decide(now, simulator.Query{Query: tracker.Query{Service: planner.NewServiceID("booking-desk"), Flow: flow % 4096 * 0x9e3779b97f4a7c15, FlowEvent: parser.FlowContinues}})
			}
		})
	}
}

// Guards against allocations in the decision on a packet of a plain bucket.
func TestPlainBucketsAreDecidedWithoutAllocation(t *testing.T) {
	is := is.New(t)
	run := simulator.New(simulator.SmallSize(1), simulator.VersionedBuckets)
	run.Play(simulator.Trace{})
	d, now := run.Balancer(0)
	q := simulator.Query{Query: tracker.Query{Service: planner.NewServiceID("booking-desk"), Flow: 12345}}
	is.Equal(testing.AllocsPerRun(1000, func() { d.Decide(now, q) }), 0.0)
}

// BenchmarkControlTrafficAtAimSize checks the budget of control traffic at the size
// of AimSize. It takes over a minute, and is therefore a benchmark, which only make
// bench runs.
func BenchmarkControlTrafficAtAimSize(b *testing.B) {
	size := simulator.AimSize(1)
	size.LongFlows /= 1000
	size.PacketsPerSecond /= 100
	size.OpeningsPerSecond /= 10
	size.Duration = 5 * time.Second
	for b.Loop() {
		r := play(simulator.VersionedBuckets, size, simulator.Trace{})
		b.ReportMetric(r.ControlBytes, "control-B/s")
		if r.FlowsBroken > 0 || r.ControlBytes > controlBudgetAimSize {
			b.Fatalf("%+v", r)
		}
	}
}
