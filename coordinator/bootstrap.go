package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
)

const (
	// bootstrapDelay is how long a joining balancer waits, while all live
	// balancers are joining, before the first of them becomes ready. In this time
	// the balancers hear of each other, so that only one document is put in
	// force.
	bootstrapDelay = 3 * detector.HeartbeatInterval
	// bootstrapTurn is how much longer each further balancer waits, in the order
	// of identifiers, in case the ones before it cannot become ready.
	bootstrapTurn = 3 * time.Second
)

// mayBootstrap reports whether it is this balancer's turn to become ready without
// the state of another balancer. The balancer with the lowest identifier goes first.
// The others then join it, and documents that were offered to them in the meantime
// take effect as a change.
//
// A balancer that already has an active plan may bootstrap at once. This happens if
// all balancers lose their permission to decide at the same time: each then goes on
// from the state that they had in common.
func (c *Coordinator) mayBootstrap(now time.Time) bool {
	if c.tracker.Active() != nil {
		return true
	}
	if c.bootstrapSince.IsZero() {
		c.bootstrapSince = now
	}
	ahead := 0
	for _, m := range c.detector.Members(now) {
		if m.ID() < c.self && !m.Suspect() {
			ahead++
		}
	}
	return now.Sub(c.bootstrapSince) >= bootstrapDelay+time.Duration(ahead)*bootstrapTurn
}
