package comparer

import (
	"fmt"
	"slices"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// View is what policies know: the open flows of each target, and those that each
// balancer opened.
type View struct {
	open   []int
	opened [][]int
	turns  []int
	table  []int
}

func newView(t Trace) View {
	v := View{open: make([]int, t.Targets), turns: make([]int, t.Balancers), table: tableOf(t.Targets)}
	for range t.Balancers {
		v.opened = append(v.opened, make([]int, t.Targets))
	}
	return v
}

func (v *View) add(f flow, n int) {
	v.open[f.target] += n
	v.opened[f.balancer][f.target] += n
}

func (v *View) maxOverMean() float64 {
	sum := 0
	for _, n := range v.open {
		sum += n
	}
	return float64(slices.Max(v.open)) * float64(len(v.open)) / float64(sum)
}

// Policy is a way to choose a target.
type Policy struct {
	Name string
	// Stateful says that a flow's target can't be told from its hash.
	Stateful bool
	choose   func(v *View, balancer int, hash uint64) int
}

// Policies returns the table of buckets that balancers use, and the usual ways.
// The others see the flows of their own balancer only, since nothing is shared.
func Policies() []Policy {
	return []Policy{
		{Name: "bucket-table", choose: byTable},
		{Name: "round-robin", Stateful: true, choose: inTurn},
		{Name: "least-connections", Stateful: true, choose: leastLoaded},
		{Name: "two-random-choices", Stateful: true, choose: betterOfTwo},
	}
}

func byTable(v *View, _ int, hash uint64) int { return v.table[planner.BucketOf(hash)] }

func inTurn(v *View, balancer int, _ uint64) int {
	v.turns[balancer]++
	return (v.turns[balancer] + balancer) % len(v.open)
}

// leastLoaded looks from a place of its own for the fewest flows, so that
// balancers do not all begin with the same target.
func leastLoaded(v *View, balancer int, hash uint64) int {
	own := v.opened[balancer]
	start := int(hash % uint64(len(own)))
	best := start
	for i := range own {
		if at := (start + i) % len(own); own[at] < own[best] {
			best = at
		}
	}
	return best
}

func betterOfTwo(v *View, balancer int, hash uint64) int {
	n := uint64(len(v.open))
	a, b := int(hash%n), int((hash>>32)%n)
	if v.opened[balancer][b] < v.opened[balancer][a] {
		return b
	}
	return a
}

// tableOf returns the planner's table of a service with that many targets.
func tableOf(targets int) []int {
	const service = "booking-desk"
	d := &operator.Document{
		Services: map[string]operator.Service{service: {}},
		Targets:  make(map[string]operator.Target),
	}
	numbers := make(map[planner.TargetID]int)
	for i := range targets {
		name := fmt.Sprintf("bd-%02d", i+1)
		d.Targets[name] = operator.Target{Service: service}
		numbers[planner.NewTargetID(name)] = i
	}
	s := planner.New(1, d).ServiceByID(planner.NewServiceID(service))
	table := make([]int, planner.Buckets)
	for bucket := range table {
		table[bucket] = numbers[s.Lookup(bucket)]
	}
	return table
}
