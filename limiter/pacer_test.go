package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/limiter"
)

// Load pattern: every balancer always has openings waiting for one cold target. In
// any second, all balancers together grant at most the rate plus the grants at the
// two edges of the second. The test allows 1.5 times the rate plus 5, the tolerance
// of the platform.
func TestPacersTogetherStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.IntRange(1, 150).Draw(t, "holders")
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		pacers := make([]limiter.Pacer, holders)
		start := time.Unix(0, 0)
		var grants []time.Time
		for ms := 0; ms < 4000; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for i := range pacers {
				if pacers[i].Take(now, rate, holders, float64(i)/float64(holders)) {
					grants = append(grants, now)
				}
			}
		}
		for i, first := range grants {
			n := 0
			for _, at := range grants[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			if float64(n) > rate*1.5+5 {
				t.Fatalf("%d grants in a second at a rate of %.1f over %d holders", n, rate, holders)
			}
		}
	})
}

func TestPacerDelaysFirstGrant(t *testing.T) {
	is := is.New(t)
	var p limiter.Pacer
	now := time.Unix(0, 0)
	is.True(!p.Take(now, 10, 10, 0.5)) // The first grant comes after half an interval.
	is.True(p.Take(now.Add(500*time.Millisecond), 10, 10, 0.5))
	is.True(!p.Take(now.Add(time.Second), 10, 10, 0.5))
}
