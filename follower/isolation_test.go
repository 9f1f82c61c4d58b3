package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

// outage plays a balancer for some seconds. Sources answer as ages says: how old their
// knowledge is, or below zero if they don't answer. It takes half a second to hear
// that nothing changed, and a second that there is no answer.
func outage(c *follower.Core, from time.Time, length time.Duration, ages func(s follower.Source) time.Duration) time.Time {
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
		c.Done(now, s, max(age, 0), age < 0)
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

const (
	old   = 4 * time.Second
	fresh = 100 * time.Millisecond
	none  = -1
)

// Load pattern: a zone is cut off from the store and the other zones. Each of its
// balancers finds within 4 s that the others know nothing newer.
func TestBalancersOfAnIsolatedZoneKnowIt(t *testing.T) {
	for _, n := range []int{2, 3, 7, 38} {
		peers := append(zone("a", n), zone("b", 5)...)
		for i, c := range cores(peers)[:n] {
			is := is.New(t)
			is.True(!c.Isolated(start))
			now := outage(c, start, 4*time.Second, func(s follower.Source) time.Duration {
				if s.Peer.AvailabilityZone == "a" {
					return old
				}
				return none
			})
			if !c.Isolated(now) {
				t.Fatalf("balancer %d of %d doesn't know", i, n)
			}
			// It ends with the first answer that is new.
			now = outage(c, now, 8*time.Second, func(follower.Source) time.Duration { return fresh })
			is.True(!c.Isolated(now))
		}
	}
}

// A balancer that is cut off alone, or that finds anybody who knows more, isn't in an
// isolated zone.
func TestBalancerAloneIsNotAnIsolatedZone(t *testing.T) {
	for name, ages := range map[string]func(s follower.Source) time.Duration{
		"cut off alone": func(follower.Source) time.Duration { return none },
		"the store turns it away alone": func(s follower.Source) time.Duration {
			if s.Store() {
				return none
			}
			return fresh
		},
		"the zone's readers are behind": func(s follower.Source) time.Duration {
			if s.Store() {
				return fresh
			}
			return old
		},
		"the zone is turned away, others aren't": func(s follower.Source) time.Duration {
			switch {
			case s.Store():
				return none
			case s.Peer.AvailabilityZone == "a":
				return old
			}
			return fresh
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := append(zone("a", 2), zone("b", 2)...)
			for _, c := range cores(peers)[:2] {
				is.True(!c.Isolated(outage(c, start, 6*time.Second, ages)))
			}
		})
	}
}
