package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
)

// lagTimeout is how long a balancer may be without a revision that most others
// have prepared. With what follows, a change is in force within 6 s although one
// balancer can't take it up.
const lagTimeout = 2500 * time.Millisecond

// stepBack makes a balancer joining again that can't take up a revision which at
// least half of the ready ones have prepared: they wait for every ready balancer
// before they activate it.
func (c *Coordinator) stepBack(now time.Time) {
	if c.detector.State() != detector.Ready || !c.lags(now) {
		c.laggingSince = time.Time{}
		return
	}
	if c.laggingSince.IsZero() {
		c.laggingSince = now
	}
	if now.Sub(c.laggingSince) < lagTimeout {
		return
	}
	c.laggingSince = time.Time{}
	c.detector.SetState(detector.Joining)
	c.Count("stepped-back", 1)
	c.Note("stepped back", "cause", "the others have a revision that this balancer can't take up", "revision", c.Revision())
}

func (c *Coordinator) lags(now time.Time) bool {
	ready, ahead := 0, 0
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Ready {
			continue
		}
		ready++
		if m.Prepared() > c.Revision() {
			ahead++
		}
	}
	return ahead > 0 && 2*ahead >= ready
}
