package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Hold says how openings of a noted target are held back.
type Hold uint8

// The holds. NoHold is a noted target that gets its openings all the same.
const (
	NoHold Hold = iota
	// HoldAll gives all openings to other targets.
	HoldAll
	// HoldToLimit gives openings to other targets beyond the admitted ones.
	HoldToLimit
)

// Track makes all buckets of a target tracked, with it as their base, so that
// their openings may go elsewhere once every live balancer has done the same.
// Established flows stay with the target.
func (t *Tracker) Track(now time.Time, target planner.TargetID) {
	for _, s := range t.services {
		for i := range planner.Buckets {
			if s.current(i) != target {
				continue
			}
			// A bucket that was plain keeps no revision of its last change:
			// balancers that joined since don't know it, and settling compares it.
			s.trackBucket(now, i).rebased = false
		}
	}
}

// SetNoted sets the noted targets, whose buckets must have been tracked here, and
// whether every live balancer has agreed on them. Until then openings that are
// held back are dropped. The map must not be changed afterwards.
func (t *Tracker) SetNoted(noted map[planner.TargetID]Hold, agreed bool) {
	t.noted = noted
	t.agreed = agreed
}

// isNoted reports whether a bucket's current target is noted, which keeps the bucket from
// settling.
func (t *Tracker) isNoted(current planner.TargetID) bool {
	_, noted := t.noted[current]
	return noted
}

// awaits reports whether openings of a target wait for the agreement.
func (t *Tracker) awaits(target planner.TargetID) bool {
	return !t.agreed && t.noted[target] != NoHold
}

// mayOpen reports whether a noted target may get openings at all.
func (t *Tracker) mayOpen(target planner.TargetID) bool {
	return t.noted[target] != HoldAll && !t.awaits(target)
}

// Held reports whether openings of a noted target are held back.
func (t *Tracker) Held(target planner.TargetID) bool { return t.noted[target] != NoHold }
