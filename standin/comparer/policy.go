package comparer

import (
	"fmt"
	"slices"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// state is the data that policies use to choose a target.
type state struct {
	// openByTarget is the number of open flows of each target. openByBalancer is, for
	// each balancer, the part of them that it opened.
	openByTarget   []int
	openByBalancer [][]int
	// openings is how many flows each balancer has opened so far by roundRobin.
	openings []int
	// bucketTable is the index of the target of each bucket.
	bucketTable []int
}

// newState returns the state without any flow.
func newState(t Trace) state {
	v := state{openByTarget: make([]int, t.Targets), openings: make([]int, t.Balancers), bucketTable: newBucketTable(t.Targets)}
	for range t.Balancers {
		v.openByBalancer = append(v.openByBalancer, make([]int, t.Targets))
	}
	return v
}

// add adds n to the open flows of f's target.
func (v *state) add(f flow, n int) {
	v.openByTarget[f.target] += n
	v.openByBalancer[f.balancer][f.target] += n
}

// maxOverMean returns the number of open flows of the busiest target over the mean.
func (v *state) maxOverMean() float64 {
	sum := 0
	for _, n := range v.openByTarget {
		sum += n
	}
	return float64(slices.Max(v.openByTarget)) * float64(len(v.openByTarget)) / float64(sum)
}

// Policy is a load-balancing policy.
type Policy struct {
	Name string
	// Stateful is true if a balancer has to store the target of each flow, as it
	// can't be computed from the flow's hash.
	Stateful bool
	// choose returns the target of a new flow at a balancer.
	choose func(v *state, balancer int, hash uint64) int
}

// Policies returns the policy of the real balancers, the bucket table, and three
// usual policies to compare it with. In those three, a balancer knows only the flows
// that it opened itself, since balancers share no state of flows.
func Policies() []Policy {
	return []Policy{
		{Name: "bucket-table", choose: fromBucketTable},
		{Name: "round-robin", Stateful: true, choose: roundRobin},
		{Name: "least-connections", Stateful: true, choose: leastConnections},
		{Name: "two-random-choices", Stateful: true, choose: twoRandomChoices},
	}
}

// fromBucketTable returns the target of the hash's bucket.
func fromBucketTable(v *state, _ int, hash uint64) int { return v.bucketTable[planner.BucketOf(hash)] }

// roundRobin takes the targets in turn. Each balancer starts with another target.
func roundRobin(v *state, balancer int, _ uint64) int {
	v.openings[balancer]++
	return (v.openings[balancer] + balancer) % len(v.openByTarget)
}

// leastConnections returns the target with the fewest open flows. Its search starts
// at a target that the hash selects, so that balancers do not all prefer the first
// target.
func leastConnections(v *state, balancer int, hash uint64) int {
	open := v.openByBalancer[balancer]
	start := int(hash % uint64(len(open)))
	best := start
	for i := range open {
		if at := (start + i) % len(open); open[at] < open[best] {
			best = at
		}
	}
	return best
}

// twoRandomChoices returns the target with fewer open flows of two that the hash
// selects.
func twoRandomChoices(v *state, balancer int, hash uint64) int {
	n := uint64(len(v.openByTarget))
	a, b := int(hash%n), int((hash>>32)%n)
	if v.openByBalancer[balancer][b] < v.openByBalancer[balancer][a] {
		return b
	}
	return a
}

// newBucketTable returns the target of each bucket, in the planner's table of a
// service with the given number of targets.
func newBucketTable(targets int) []int {
	const service = "booking-desk"
	d := &operator.Document{
		Services: map[string]operator.Service{service: {}},
		Targets:  make(map[string]operator.Target),
	}
	indexes := make(map[planner.TargetID]int)
	for i := range targets {
		name := fmt.Sprintf("bd-%02d", i+1)
		d.Targets[name] = operator.Target{Service: service}
		indexes[planner.NewTargetID(name)] = i
	}
	s := planner.New(1, d).ServiceByID(planner.NewServiceID(service))
	table := make([]int, planner.Buckets)
	for bucket := range table {
		table[bucket] = indexes[s.Lookup(bucket)]
	}
	return table
}
