package simulator_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/simulator"
)

// play runs a trace with a strategy and returns its results.
func play(strategy simulator.Strategy, size simulator.Size, t simulator.Trace) simulator.Results {
	return simulator.New(size, strategy).Play(t)
}

// Guards against random choices that don't come from the seed, such as the order of
// a map.
func TestSameSeedGivesSameFigures(t *testing.T) {
	is := is.New(t)
	for _, strategy := range simulator.Strategies() {
		size := simulator.SmallSize(7)
		trace := simulator.Single(size, simulator.Drain, simulator.Restart)
		is.Equal(play(strategy, size, trace), play(strategy, size, trace))
	}
}

func TestNothingBreaksWithoutChanges(t *testing.T) {
	is := is.New(t)
	for _, strategy := range simulator.Strategies() {
		r := play(strategy, simulator.SmallSize(1), simulator.Trace{})
		is.Equal(r.FlowsBroken, 0)
		is.Equal(r.WrongService, 0)
		is.True(r.FlowsOpened > 100*45) // Callers open 100 flows per second for 49 s.
	}
}

// Shows that strategies without shared state break flows when a target drains, so
// that the simulation can detect broken flows.
func TestHashStrategiesBreakFlows(t *testing.T) {
	is := is.New(t)
	for _, strategy := range []simulator.Strategy{simulator.HashOnly, simulator.LocalTable} {
		size := simulator.SmallSize(1)
		r := play(strategy, size, simulator.Single(size, simulator.Drain, ""))
		is.True(r.FlowsBroken > 50)
	}
}
