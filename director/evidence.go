package director

import "time"

const (
	// suspectFor is how long a target that left an opening unanswered is chosen
	// last. A registration lapses after three heartbeats, 2.3 s on the platform of
	// our users, so a target that died is out of the table when this ends.
	suspectFor = 2500 * time.Millisecond
	// suspectForMost is the longest that repeated misses keep a target last.
	suspectForMost = 10 * time.Second
)

// evidence is what a balancer has seen of a target itself: openings that were
// taken, and openings whose copy came. It answers the load pattern of targets
// that die or are cut off while their registration still says ready.
type evidence struct {
	lastAnswer   time.Time
	suspectUntil time.Time
	misses       int
	pending      int
}

func (e *evidence) opened(time.Time) { e.pending++ }

func (e *evidence) answered(now time.Time) {
	e.lastAnswer = now
	e.suspectUntil = time.Time{}
	e.misses = 0
	e.pending = max(e.pending-1, 0)
}

// missed notes that an opening was not answered before its copy came.
func (e *evidence) missed(now time.Time) {
	e.misses++
	e.pending = max(e.pending-1, 0)
	e.suspectUntil = now.Add(min(suspectFor*time.Duration(e.misses), suspectForMost))
}

func (e *evidence) answeredSince(t time.Time) bool { return e.lastAnswer.After(t) }

func (e *evidence) suspect(now time.Time) bool { return now.Before(e.suspectUntil) }
