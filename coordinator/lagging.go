package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
)

// lagTimeout is how long a ready balancer may lag. Together with the time that
// the others then need to activate the revision, a change is in force within 6 s
// even if one balancer cannot prepare it.
const lagTimeout = 2500 * time.Millisecond

// rejoinIfLagging sets this balancer back to joining once it has lagged for
// lagTimeout. The other balancers wait for every ready one before they activate a
// revision, but not for joining ones.
func (c *Coordinator) rejoinIfLagging(now time.Time) {
	if c.detector.State() != detector.Ready || !c.isLagging(now) {
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
	c.Log("rejoining the group", "cause", "other balancers have prepared a revision that this balancer lacks", "revision", c.Revision())
}

// isLagging reports whether at least half of the other ready balancers have
// prepared a later revision than this one.
func (c *Coordinator) isLagging(now time.Time) bool {
	ready, ahead := 0, 0
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Ready {
			continue
		}
		ready++
		if m.PreparedRevision() > c.Revision() {
			ahead++
		}
	}
	return ahead > 0 && 2*ahead >= ready
}
