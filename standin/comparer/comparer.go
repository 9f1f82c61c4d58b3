// Package comparer measures how evenly ways of choosing a target spread the same
// trace of flows.
//
// # Usage
//
//	trace := comparer.Trace{Balancers: 13, Targets: 14, Capacity: 4400, Load: 0.95, Seed: 1}
//	for _, r := range trace.Compare(comparer.Policies()) {
//		fmt.Println(r.Policy, r.WorstOverMean)
//	}
//
// Each flow opens at a random balancer and ends after an exponential time. The
// numbers depend on the trace alone. It opens no socket and knows no clock.
package comparer

import (
	"math/rand/v2"
	"slices"
)

const (
	// seconds is how long a trace runs after it was filled.
	seconds = 600
	// meanLife is the mean life of a flow, in seconds.
	meanLife = 300.0
	// percentile is the part of the seconds that are no worse than P99OverMean.
	percentile = 0.99
)

// Trace says which flows open.
type Trace struct {
	Balancers, Targets int
	// Capacity is how many open flows a target carries.
	Capacity int
	// Load is the open flows over the capacity of all targets.
	Load float64
	Seed uint64
}

// Result is how one policy spread a trace.
type Result struct {
	Policy string `json:"policy"`
	// WorstOverMean is the busiest target's open flows over the mean, in the worst
	// second; P99OverMean is the same in the 99th percentile of seconds.
	WorstOverMean float64 `json:"worst-max-over-mean"`
	P99OverMean   float64 `json:"p99-max-over-mean"`
	// OverCapacity is the part of openings that found their target full.
	OverCapacity float64 `json:"over-capacity"`
	// Stateful is whether each balancer must know each flow to find its
	// target again.
	Stateful bool `json:"needs-state-of-every-flow"`
}

// flow is an open flow.
type flow struct {
	balancer, target int
}

// run is the state of one policy on a trace.
type run struct {
	trace  Trace
	policy Policy
	view   View
	ends   [][]flow
	full   int
	opened int
}

// Compare runs each policy on the trace.
func (t Trace) Compare(policies []Policy) []Result {
	results := make([]Result, 0, len(policies))
	for _, p := range policies {
		results = append(results, t.measure(p))
	}
	return results
}

func (t Trace) measure(p Policy) Result {
	random := rand.New(rand.NewPCG(t.Seed, 0))
	r := &run{trace: t, policy: p, view: newView(t), ends: make([][]flow, seconds)}
	flows := int(float64(t.Targets*t.Capacity) * t.Load)
	for range flows {
		r.open(random, 0)
	}
	r.full, r.opened = 0, 0
	ratios := make([]float64, 0, seconds)
	for second := range seconds {
		for _, f := range r.ends[second] {
			r.view.add(f, -1)
		}
		for range len(r.ends[second]) {
			r.open(random, second)
		}
		ratios = append(ratios, r.view.maxOverMean())
	}
	slices.Sort(ratios)
	return Result{
		Policy:        p.Name,
		WorstOverMean: ratios[len(ratios)-1],
		P99OverMean:   ratios[int(percentile*float64(len(ratios)-1))],
		OverCapacity:  float64(r.full) / float64(max(r.opened, 1)),
		Stateful:      p.Stateful,
	}
}

// open opens a flow, which takes the place of one that has ended.
func (r *run) open(random *rand.Rand, second int) {
	hash := random.Uint64()
	balancer := random.IntN(r.trace.Balancers)
	end := second + 1 + int(random.ExpFloat64()*meanLife)
	f := flow{balancer: balancer, target: r.policy.choose(&r.view, balancer, hash)}
	r.opened++
	if r.view.open[f.target] >= r.trace.Capacity {
		r.full++
	}
	r.view.add(f, 1)
	if end < seconds {
		r.ends[end] = append(r.ends[end], f)
	}
}
