package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
)

const (
	// hearTime is how long a group without any ready balancer is listened to before
	// its first one starts, so that one document is put in force, not several.
	hearTime = 3 * detector.Interval
	// turnTime is how much longer each next balancer in order waits, in case the
	// ones before it can't start.
	turnTime = 3 * time.Second
)

// mayBootstrap reports whether it is this balancer's turn to become ready without
// anyone's state. The first in the order of identifiers does so; the others then
// join it, and what they were offered meanwhile follows as a change.
// Where all have lost their permission at once, each goes on from what all had
// in common.
func (c *Coordinator) mayBootstrap(now time.Time) bool {
	if c.tracker.Active() != nil {
		return true
	}
	if c.vacantAt.IsZero() {
		c.vacantAt = now
	}
	ahead := 0
	for _, m := range c.detector.Members(now) {
		if m.ID() < c.self && !m.Suspect() {
			ahead++
		}
	}
	return now.Sub(c.vacantAt) >= hearTime+time.Duration(ahead)*turnTime
}
