package exerciser_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/exerciser"
)

// play runs a trace with a strategy and returns its results.
func play(strategy exerciser.Strategy, size exerciser.Size, t exerciser.Trace) exerciser.Results {
	return exerciser.New(size, strategy).Play(t)
}

// Guards against random choices that don't come from the seed, such as the order of
// a map.
func TestSameSeedGivesSameFigures(t *testing.T) {
	is := is.New(t)
	for _, strategy := range exerciser.Strategies() {
		size := exerciser.SmallSize(7)
		trace := exerciser.Single(size, exerciser.Drain, exerciser.Restart)
		is.Equal(play(strategy, size, trace), play(strategy, size, trace))
	}
}

func TestNothingBreaksWithoutChanges(t *testing.T) {
	is := is.New(t)
	for _, strategy := range exerciser.Strategies() {
		r := play(strategy, exerciser.SmallSize(1), exerciser.Trace{})
		is.Equal(r.FlowsBroken, 0)
		is.Equal(r.WrongService, 0)
		is.True(r.FlowsOpened > 100*45) // Callers open 100 flows per second for 49 s.
	}
}

// Shows that strategies without shared state break flows when a target drains, so
// that the simulation can detect broken flows.
func TestHashStrategiesBreakFlows(t *testing.T) {
	is := is.New(t)
	for _, strategy := range []exerciser.Strategy{exerciser.HashOnly, exerciser.LocalTable} {
		size := exerciser.SmallSize(1)
		r := play(strategy, size, exerciser.Single(size, exerciser.Drain, ""))
		is.True(r.FlowsBroken > 50)
	}
}
