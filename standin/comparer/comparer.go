// Package comparer simulates how evenly load-balancing policies spread the flows of
// the same trace over the targets of a service.
//
// # Usage
//
//	trace := comparer.Trace{Balancers: 13, Targets: 14, Capacity: 4400, Load: 0.95, Seed: 1}
//	for _, r := range trace.Compare(comparer.Policies()) {
//		fmt.Println(r.Policy, r.WorstMaxOverMean)
//	}
//
// Load pattern: the number of open flows is constant, since a new flow opens for each
// one that ends. Each flow opens at a random balancer, and its lifetime has an
// exponential distribution. The results depend on the trace and its seed alone: the
// package opens no socket and reads no clock.
package comparer

import (
	"math/rand/v2"
	"slices"
)

const (
	// traceSeconds is the simulated time, in seconds, after the first flows opened.
	traceSeconds = 600
	// meanFlowSeconds is the mean lifetime of a flow.
	meanFlowSeconds = 300.0
	// percentile is the share of the seconds in which the imbalance is at most
	// Result.P99MaxOverMean.
	percentile = 0.99
)

// Trace describes the flows of a simulation.
type Trace struct {
	// Balancers and Targets are the numbers of balancers and targets.
	Balancers, Targets int
	// Capacity is how many open flows a target can have before it counts as full.
	Capacity int
	// Load is the number of open flows over the capacity of all targets, such as
	// 0.95.
	Load float64
	// Seed makes the simulation repeatable.
	Seed uint64
}

// Result tells how evenly one policy spread the flows of a trace.
type Result struct {
	Policy string `json:"policy"`
	// WorstMaxOverMean is the number of open flows of the busiest target over the
	// mean of all targets, in the worst second. P99MaxOverMean is the 99th percentile
	// of this ratio over all seconds.
	WorstMaxOverMean float64 `json:"worst-max-over-mean"`
	P99MaxOverMean   float64 `json:"p99-max-over-mean"`
	// OverCapacityShare is the share of new flows that were assigned to a full
	// target, from 0 to 1.
	OverCapacityShare float64 `json:"over-capacity"`
	// Stateful is true if a balancer has to store the target of each flow, as it
	// can't be computed from the flow's hash.
	Stateful bool `json:"needs-state-of-every-flow"`
}

// flow is an open flow: the indexes of its balancer and its target.
type flow struct {
	balancer, target int
}

// simulation applies one policy to a trace.
type simulation struct {
	trace  Trace
	policy Policy
	state  state
	// endingAt holds the flows that end in each second.
	endingAt [][]flow
	// openings counts new flows, and openingsOverCapacity those of them that were
	// assigned to a full target.
	openingsOverCapacity int
	openings             int
}

// Compare simulates the trace with each policy, and returns a result for each.
func (t Trace) Compare(policies []Policy) []Result {
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		results = append(results, t.simulate(p))
	}
	return results
}

// simulate runs the trace with one policy. OverCapacityShare leaves out the flows
// that open before the first second.
func (t Trace) simulate(p Policy) Result {
	random := rand.New(rand.NewPCG(t.Seed, 0))
	r := &simulation{trace: t, policy: p, state: newState(t), endingAt: make([][]flow, traceSeconds)}
	flows := int(float64(t.Targets*t.Capacity) * t.Load)
	for range flows {
		r.open(random, 0)
	}
	r.openingsOverCapacity, r.openings = 0, 0
	ratios := make([]float64, 0, traceSeconds)
	for second := range traceSeconds {
		for _, f := range r.endingAt[second] {
			r.state.add(f, -1)
		}
		for range len(r.endingAt[second]) {
			r.open(random, second)
		}
		ratios = append(ratios, r.state.maxOverMean())
	}
	slices.Sort(ratios)
	return Result{
		Policy:            p.Name,
		WorstMaxOverMean:  ratios[len(ratios)-1],
		P99MaxOverMean:    ratios[int(percentile*float64(len(ratios)-1))],
		OverCapacityShare: float64(r.openingsOverCapacity) / float64(max(r.openings, 1)),
		Stateful:          p.Stateful,
	}
}

// open opens a flow, with a random balancer, hash and lifetime, in the given second.
func (r *simulation) open(random *rand.Rand, second int) {
	hash := random.Uint64()
	balancer := random.IntN(r.trace.Balancers)
	end := second + 1 + int(random.ExpFloat64()*meanFlowSeconds)
	f := flow{balancer: balancer, target: r.policy.choose(&r.state, balancer, hash)}
	r.openings++
	if r.state.openByTarget[f.target] >= r.trace.Capacity {
		r.openingsOverCapacity++
	}
	r.state.add(f, 1)
	if end < traceSeconds {
		r.endingAt[end] = append(r.endingAt[end], f)
	}
}
