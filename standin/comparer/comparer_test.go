package comparer_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/comparer"
)

// maxImbalance bounds the open flows of the busiest target over the mean, while all
// targets are warm.
const maxImbalance = 1.10

func TestBucketTableSpreadsFlowsEvenly(t *testing.T) {
	for _, trace := range []comparer.Trace{
		{Balancers: 13, Targets: 14, Capacity: 4400, Load: 0.95},
		{Balancers: 20, Targets: 14, Capacity: 4300, Load: 0.95},
		{Balancers: 13, Targets: 4, Capacity: 4400, Load: 0.95},
	} {
		for seed := range uint64(3) {
			is := is.New(t)
			trace.Seed = seed + 1
			result := trace.Compare(comparer.Policies())[0]
			t.Logf("seed %d, %d targets: %+v", trace.Seed, trace.Targets, result)
			is.True(result.WorstMaxOverMean <= maxImbalance)
		}
	}
}
