package director

import "time"

const (
	// suspectFor is how long a target that left an opening unanswered is chosen
	// last. A registration lapses after three heartbeats, 2.3 s on the platform of
	// our users, so a target that died is out of the table when this ends.
	suspectFor = 2500 * time.Millisecond
	// suspectForMost is the longest that repeated misses keep a target last.
	suspectForMost = 10 * time.Second
	// checkPause is the least time between two checks of a target that does not
	// answer. Checks are priced, and each takes up to 0.4 s.
	checkPause = 500 * time.Millisecond
	// recheckPause is the time between checks of a target that was found
	// unreachable.
	recheckPause = 2 * time.Second
	// silence is the time without an answer of a target to any flow after which a
	// repeated packet is taken for a sign that it is gone, and not for a loss. It
	// is the time after which callers repeat.
	silence = 200 * time.Millisecond
)

// evidence is what a balancer has seen of a target itself: packets that were
// answered or not, and checks. It answers the load pattern of targets that die or
// are cut off while their registration still says ready.
type evidence struct {
	lastAnswer   time.Time
	suspectUntil time.Time
	misses       int
	// unreachable says that the last check failed.
	unreachable bool
	checking    bool
	checkedAt   time.Time
}

func (e *evidence) answered(now time.Time) {
	e.lastAnswer = now
	if e.unreachable {
		// A packet that was on its way; only a check ends this state.
		return
	}
	e.suspectUntil = time.Time{}
	e.misses = 0
}

// missed notes that an opening was not answered before its copy came.
func (e *evidence) missed(now time.Time) {
	e.misses++
	e.suspectUntil = now.Add(min(suspectFor*time.Duration(e.misses), suspectForMost))
}

func (e *evidence) answeredSince(t time.Time) bool { return e.lastAnswer.After(t) }

func (e *evidence) suspect(now time.Time) bool {
	return e.unreachable || now.Before(e.suspectUntil)
}

// mayCheck reports whether a check may start now.
func (e *evidence) mayCheck(now time.Time) bool {
	pause := checkPause
	if e.unreachable {
		pause = recheckPause
	}
	return !e.checking && now.Sub(e.checkedAt) >= pause
}
