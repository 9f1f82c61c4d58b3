package director_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/director"
)

// afterNewTarget is longer than the time in which a new target keeps speed 1.
const afterNewTarget = 4 * time.Second

// pictureOf returns a Picture in which all zones report the same speeds.
func pictureOf(speeds map[uint64]float64) aggregator.Picture {
	p := aggregator.Picture{Zones: make(map[string]aggregator.Summary)}
	for _, zone := range []string{"a", "b", "c"} {
		p.Zones[zone] = aggregator.Summary{AvailabilityZone: zone, Speeds: speeds}
	}
	return p
}

// shares returns the share of new flows of each target, relative to an even share.
func shares(d *director.Director, now time.Time, targets int) map[uint64]float64 {
	const flows = 10000
	part := make(map[uint64]float64)
	for n := range flows {
		part[d.Explain(now, opening(n, 0)).Opening.Target.ID] += float64(targets) / flows
	}
	return part
}

// Load pattern: three tenths of the targets get 6 times as slow. They get at most 0.4 of their
// even share, the others' load rises in proportion, and open flows stay.
func TestSlowTargetsGetFewNewFlows(t *testing.T) {
	is := is.New(t)
	d := newDirector(10)
	now := start.Add(afterNewTarget)
	first := d.Decide(now, opening(1, 0))
	speeds := map[uint64]float64{1: 0.17, 2: 0.17, 3: 0.17, first.Target.ID: 0.17}
	d.SetPicture(now, pictureOf(speeds))
	part := shares(d, now, 10)
	healthy := 10 / (float64(10-len(speeds)) + 0.17*float64(len(speeds)))
	for id := uint64(1); id <= 10; id++ {
		if speeds[id] > 0 {
			is.True(part[id] <= 0.4)
		} else {
			is.True(math.Abs(part[id]-healthy) < 0.25)
		}
	}
	later := d.Decide(now, data(1, board, first.Token, 1, 1))
	is.Equal(later.Target.Name, first.Target.Name)
	is.True(len(d.HealthSummary(now).SlowTargets) >= 3)
}

// A picture in which nothing deviates, or whose speeds are out of range, changes no decision.
func TestSpeedsOfOneChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(afterNewTarget)
		d, plain := newDirector(12), newDirector(12)
		odd := rapid.SampledFrom([]float64{0, -1, 1, 2, math.NaN(), math.Inf(1)})
		d.SetPicture(now, pictureOf(map[uint64]float64{1: odd.Draw(t, "1"), 2: odd.Draw(t, "2"), 99: 0.1}))
		n := rapid.IntRange(0, 5000).Draw(t, "caller")
		if d.Decide(now, opening(n, 0)).Target.ID != plain.Decide(now, opening(n, 0)).Target.ID {
			t.Fatal("another target")
		}
	})
}

// The speed of a target is the lower one of those that its zone and the balancer's zone report,
// and 1 without any. Load pattern: most callers are in another zone than a slow target, so the
// balancers of the target's zone see few of its requests.
func TestSpeedIsTheLowerOfTwoZones(t *testing.T) {
	d := func() *director.Director { return newDirectorIn("a", 1) } // target 1 is in zone b
	now := start.Add(afterNewTarget)
	for name, c := range map[string]struct {
		speeds map[string]float64
		want   float64
	}{
		"both":              {map[string]float64{"a": 0.2, "b": 0.6, "c": 0.1}, 0.2},
		"target's zone":     {map[string]float64{"a": 1, "b": 0.6}, 0.6},
		"balancer's zone":   {map[string]float64{"a": 0.2, "b": 1}, 0.2},
		"a third zone only": {map[string]float64{"c": 0.3}, 1},
		"too low":           {map[string]float64{"b": 1e-9}, 0.1},
		"nobody":            {nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, p := d(), aggregator.Picture{Zones: make(map[string]aggregator.Summary)}
			for zone, speed := range c.speeds {
				p.Zones[zone] = aggregator.Summary{Speeds: map[uint64]float64{1: speed}}
			}
			d.SetPicture(now, p)
			is.Equal(d.Explain(now, opening(1, 0)).Speed, c.want)
		})
	}
}

// Speeds end with the pictures, and are not those of an earlier run or of a cold target.
func TestSpeedsEnd(t *testing.T) {
	is := is.New(t)
	slow := pictureOf(map[uint64]float64{1: 0.2})
	speed := func(d *director.Director, now time.Time) float64 { return d.Explain(now, opening(1, 0)).Speed }
	d := newDirector(1)
	now := start.Add(afterNewTarget)
	d.SetPicture(now, slow)
	is.Equal(speed(d, now), 0.2)
	is.Equal(d.TakeSpeedChanges(), []director.SpeedChange{{Target: "t-1", Speed: 0.2, Slow: true}})
	larger := target(1)
	larger.Capacity = 9
	d.SetTarget(now, larger) // a change of the registration keeps the speed
	is.Equal(speed(d, now), 0.2)
	d.Tick(now.Add(4 * time.Second))
	is.Equal(speed(d, now), 0.2)
	d.Tick(now.Add(5 * time.Second))
	is.Equal(speed(d, now), 1.0)
	is.Equal(len(d.TakeSpeedChanges()), 1)

	restarted := target(1)
	restarted.Started = 2
	d.SetTarget(now, restarted)
	d.SetPicture(now.Add(time.Second), slow)
	is.Equal(speed(d, now), 1.0)
	d.SetPicture(now.Add(afterNewTarget), slow)
	is.Equal(speed(d, now), 0.2)
	restarted.ColdFor = time.Minute
	d.SetTarget(now, restarted)
	d.SetPicture(now.Add(afterNewTarget), slow)
	is.Equal(speed(d, now), 1.0)
}
