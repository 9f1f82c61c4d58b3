package responder

import (
	"sync"
	"time"
)

// coldLimitGrowth is the ratio of the flow limit at the end of the cold start to
// the initial limit, as docs/DESIGN.md specifies it.
const coldLimitGrowth = 100

// coldStart counts the open flows of a target and limits them while the target is
// cold, which is for a duration after its start.
type coldStart struct {
	mu       sync.Mutex
	started  time.Time
	duration time.Duration
	// initialLimit is the limit of open flows at the start.
	initialLimit int64
	openFlows    int64
}

func newColdStart(duration time.Duration, initialLimit int64, now time.Time) *coldStart {
	return &coldStart{started: now, duration: duration, initialLimit: initialLimit}
}

// openFlow counts one more open flow. It returns the number of open flows, and
// whether they are within the limit.
func (c *coldStart) openFlow(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFlows++
	return c.openFlows, !c.isCold(now) || c.openFlows <= c.flowLimit(now)
}

func (c *coldStart) closeFlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFlows--
}

// restart begins the cold start again at now; open flows stay counted.
func (c *coldStart) restart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = now
}

// flowLimit returns the limit of open flows at now during the cold start; c.mu is
// held.
func (c *coldStart) flowLimit(now time.Time) int64 {
	elapsedShare := float64(now.Sub(c.started)) / float64(c.duration)
	return int64(float64(c.initialLimit) * (1 + elapsedShare*(coldLimitGrowth-1)))
}

// isCold reports whether the target is cold at now; c.mu is held.
func (c *coldStart) isCold(now time.Time) bool { return now.Sub(c.started) < c.duration }

// snapshot returns when the cold start began, how many flows are open, and whether
// the target is cold at now.
func (c *coldStart) snapshot(now time.Time) (started time.Time, open int64, cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started, c.openFlows, c.isCold(now)
}
