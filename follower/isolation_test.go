package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

// simulate runs the queries of one balancer for length and returns the time at the end.
// For each source, ages returns the age of its data, or noAnswer. An answer takes 0.5 s,
// as if nothing had changed at the source, and a missing answer 1 s.
func simulate(c *follower.Core, from time.Time, length time.Duration, ages func(s follower.Source) time.Duration) time.Time {
	now := from
	for now.Sub(from) < length {
		s, wait := c.Next(now)
		if wait > 0 {
			now = now.Add(wait)
			continue
		}
		age := ages(s)
		if age < 0 {
			now = now.Add(time.Second)
		} else {
			now = now.Add(500 * time.Millisecond)
		}
		c.RecordResult(now, s, max(age, 0), age < 0)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

const (
	stale    = 4 * time.Second
	fresh    = 100 * time.Millisecond
	noAnswer = -1
)

// Load pattern: a zone is cut off from the store and the other zones. Each of its
// balancers detects within 4 s that the zone is isolated.
func TestIsolatedZoneIsDetected(t *testing.T) {
	for _, n := range []int{2, 3, 7, 38} {
		peers := append(zone("a", n), zone("b", 5)...)
		for i, c := range newCores(peers)[:n] {
			is := is.New(t)
			is.True(!c.ZoneIsolated(start))
			now := simulate(c, start, 4*time.Second, func(s follower.Source) time.Duration {
				if s.Peer.AvailabilityZone == "a" {
					return stale
				}
				return noAnswer
			})
			if !c.ZoneIsolated(now) {
				t.Fatalf("balancer %d of %d doesn't detect that its zone is isolated", i, n)
			}
			// A fresh answer ends the isolation.
			now = simulate(c, now, 8*time.Second, func(follower.Source) time.Duration { return fresh })
			is.True(!c.ZoneIsolated(now))
		}
	}
}

// A zone is not isolated if only one of its balancers is cut off, or if any source that
// the balancer reaches gives a fresh answer.
func TestPartialFailureIsNotZoneIsolation(t *testing.T) {
	for name, ages := range map[string]func(s follower.Source) time.Duration{
		"one balancer is cut off from all sources": func(follower.Source) time.Duration { return noAnswer },
		"the store refuses one balancer": func(s follower.Source) time.Duration {
			if s.IsStore() {
				return noAnswer
			}
			return fresh
		},
		"the peers are stale, the store answers": func(s follower.Source) time.Duration {
			if s.IsStore() {
				return fresh
			}
			return stale
		},
		"the store refuses the zone, other zones are fresh": func(s follower.Source) time.Duration {
			switch {
			case s.IsStore():
				return noAnswer
			case s.Peer.AvailabilityZone == "a":
				return stale
			}
			return fresh
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := append(zone("a", 2), zone("b", 2)...)
			for _, c := range newCores(peers)[:2] {
				is.True(!c.ZoneIsolated(simulate(c, start, 6*time.Second, ages)))
			}
		})
	}
}
