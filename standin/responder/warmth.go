package responder

import (
	"sync"
	"time"
)

// coldGrowth is how many times its first limit a target bears when its cold
// start ends, as docs/DESIGN.md has it.
const coldGrowth = 100

// warmth counts the open flows and knows how many a cold target bears.
type warmth struct {
	mu        sync.Mutex
	started   time.Time
	cold      time.Duration
	coldFlows int64
	open      int64
}

func newWarmth(cold time.Duration, coldFlows int64, now time.Time) *warmth {
	return &warmth{started: now, cold: cold, coldFlows: coldFlows}
}

// openFlow counts a flow and tells how many are open and whether the target
// bears them.
func (w *warmth) openFlow(now time.Time) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open++
	return w.open, !w.isCold(now) || w.open <= w.limit(now)
}

func (w *warmth) closeFlow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
}

// chill makes the target cold as if it had just started.
func (w *warmth) chill(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = now
}

// limit returns how many open flows the target bears while it is cold.
func (w *warmth) limit(now time.Time) int64 {
	share := float64(now.Sub(w.started)) / float64(w.cold)
	return int64(float64(w.coldFlows) * (1 + share*(coldGrowth-1)))
}

func (w *warmth) isCold(now time.Time) bool { return now.Sub(w.started) < w.cold }

func (w *warmth) view(now time.Time) (started time.Time, open int64, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started, w.open, w.isCold(now)
}
