package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Hold says which openings on a target are held, that is, sent to other targets instead.
type Hold uint8

// The holds.
const (
	// NoHold lets the target have all its openings. Its buckets still don't settle
	// while it is in the map of SetHolds.
	NoHold Hold = iota
	// HoldAll sends all openings to other targets.
	HoldAll
	// HoldToLimit sends openings to other targets once the target admits no more;
	// see SetAdmit.
	HoldToLimit
)

// TrackTarget makes all buckets tracked whose current target is the given one. Plain
// buckets get the target as their base. The openings of these buckets may go to other
// targets once every live balancer has made the buckets tracked too. Established flows
// stay with the target.
func (t *Tracker) TrackTarget(now time.Time, target planner.TargetID) {
	for _, s := range t.services {
		for i := range planner.Buckets {
			if s.current(i) != target {
				continue
			}
			// A bucket that was plain gets no revision in changedBy: balancers that
			// joined after the bucket's last change don't know that revision, and a
			// bucket settles only if changedBy is the same on every balancer.
			s.trackBucket(now, i).rebased = false
		}
	}
}

// SetHolds sets the holds on targets, and whether every live balancer has agreed on
// them. The buckets of these targets must have been tracked with TrackTarget, and don't
// settle while the target is in the map. Until all have agreed, openings on targets with
// a hold other than NoHold are dropped. The map must not be changed afterwards.
func (t *Tracker) SetHolds(holds map[planner.TargetID]Hold, agreed bool) {
	t.holds = holds
	t.holdsAgreed = agreed
}

// isInHolds reports whether a target is in the map of SetHolds, with any hold. Buckets
// whose current target is in the map don't settle.
func (t *Tracker) isInHolds(current planner.TargetID) bool {
	_, present := t.holds[current]
	return present
}

// awaitsAgreement reports whether openings on a target are dropped until every live
// balancer has agreed on its hold.
func (t *Tracker) awaitsAgreement(target planner.TargetID) bool {
	return !t.holdsAgreed && t.holds[target] != NoHold
}

// mayTakeOpenings reports whether the hold on a target lets it get any openings.
func (t *Tracker) mayTakeOpenings(target planner.TargetID) bool {
	return t.holds[target] != HoldAll && !t.awaitsAgreement(target)
}

// HasHold reports whether a target has a hold other than NoHold.
func (t *Tracker) HasHold(target planner.TargetID) bool { return t.holds[target] != NoHold }
