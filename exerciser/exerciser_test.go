package exerciser_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/exerciser"
)

// play runs a trace with a strategy and returns the figures.
func play(way exerciser.Way, size exerciser.Size, t exerciser.Trace) exerciser.Figures {
	return exerciser.New(size, way).Play(t)
}

// Guards against random choices that don't come from the seed, such as the order of
// a map.
func TestSameSeedGivesSameFigures(t *testing.T) {
	is := is.New(t)
	for _, way := range exerciser.Ways() {
		size := exerciser.SmallSize(7)
		trace := exerciser.Single(size, exerciser.Drain, exerciser.Restart)
		is.Equal(play(way, size, trace), play(way, size, trace))
	}
}

func TestNothingBreaksWithoutChanges(t *testing.T) {
	is := is.New(t)
	for _, way := range exerciser.Ways() {
		f := play(way, exerciser.SmallSize(1), exerciser.Trace{})
		is.Equal(f.FlowsBroken, 0)
		is.Equal(f.WrongService, 0)
		is.True(f.FlowsOpened > 100*45) // Callers open 100 flows per second for 49 s.
	}
}

// Shows that strategies without shared state break flows when a target drains, so
// that the simulation can detect broken flows.
func TestHashStrategiesBreakFlows(t *testing.T) {
	is := is.New(t)
	for _, way := range []exerciser.Way{exerciser.HashOnly, exerciser.LocalTable} {
		size := exerciser.SmallSize(1)
		f := play(way, size, exerciser.Single(size, exerciser.Drain, ""))
		is.True(f.FlowsBroken > 50)
	}
}
