package modeler_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/modeler"
)

// minInGoal is the users' goal for a site: the least share of the requests that must be
// answered in time, on days with disturbances.
const minInGoal = 0.94

func load(t *testing.T, size modeler.Size, pattern string) modeler.Load {
	t.Helper()
	for _, l := range modeler.Loads(size, 1) {
		if l.Pattern == pattern {
			return l
		}
	}
	t.Fatal("no load has the pattern " + pattern)
	return modeler.Load{}
}

// Load patterns: bursts, a zone taken out, and both at once, at the sizes of the users'
// sites. The strategy that the balancers use meets the latency goal.
func TestShippedStrategyMeetsGoal(t *testing.T) {
	for _, size := range []modeler.Size{modeler.Small(), modeler.Grown()} {
		for _, pattern := range []string{"calm", "burst of 1.7", "a zone out", "a zone out in a burst of 1.7", "nine tenths of the callers in one zone"} {
			t.Run(size.Name+", "+pattern, func(t *testing.T) {
				is := is.New(t)
				res := modeler.Simulate(load(t, size, pattern), modeler.Strategies()[0])
				is.True(res.Requests > 1000)
				is.True(res.InGoal >= minInGoal)
			})
		}
	}
}

// Load pattern: a zone has enough capacity for its own callers, and may be cut off from the
// other zones at any moment. None of its requests goes to another zone's targets. Without
// a preference for the own zone, two of three requests would.
func TestRequestsStayInZoneWithCapacity(t *testing.T) {
	is := is.New(t)
	strategies := modeler.Strategies()
	is.True(modeler.Simulate(load(t, modeler.Grown(), "calm"), strategies[0]).CrossZone < 0.01)
	is.True(modeler.Simulate(load(t, modeler.Grown(), "calm"), strategies[1]).CrossZone > 0.6)
}

// Load pattern: nine tenths of the callers are in one zone of three, which has a third of
// the slots. Requests beyond its capacity go to the other zones, so fewer of them are late
// than if all stayed in the zone.
func TestOverloadedZoneUsesOtherZones(t *testing.T) {
	is := is.New(t)
	res := modeler.Simulate(load(t, modeler.Small(), "nine tenths of the callers in one zone"), modeler.Strategies()[0])
	is.True(res.CrossZone > 0.1)
	is.True(res.BusiestOverMean < 2.5)
}

// Each request is either answered or rejected under every load: the shares add up to 1. The
// same seed gives the same result.
func TestEachRequestHasAnOutcome(t *testing.T) {
	for _, l := range modeler.Loads(modeler.Small(), 3) {
		for _, strategy := range modeler.Strategies() {
			t.Run(l.Pattern+", "+strategy.Name, func(t *testing.T) {
				is := is.New(t)
				res := modeler.Simulate(l, strategy)
				is.True(math.Abs(res.InGoal+res.Late+res.Rejected-1) < 1e-9)
				is.Equal(modeler.Simulate(l, strategy), res) // deterministic
			})
		}
	}
}

// More load than the targets can handle. The model must reject some requests and delay
// others, or else it couldn't show a difference between strategies.
func TestOverloadRejectsAndDelaysRequests(t *testing.T) {
	is := is.New(t)
	res := modeler.Simulate(load(t, modeler.Small(), "all zones but one out"), modeler.Strategies()[0])
	is.True(res.Rejected > 0.05) // the load is 1.14 times the capacity of the remaining third of the targets
	is.True(res.Late > 0.05)
}
