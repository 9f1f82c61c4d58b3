package director

import (
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// removedTargetTTL is how long a removed target is remembered, so that packets of its
	// flows can be answered with a reset.
	removedTargetTTL = tokenizer.Retention
	// lapseGrace is how long a target that wasn't draining may still be alive after its
	// registration was removed. The registration may have lapsed although the target runs;
	// the target then registers again within 2 s. Its flows are not reset in this time,
	// unless a check finds the target unreachable and the route's requests may be repeated.
	lapseGrace = 2500 * time.Millisecond
)

// removedTargets holds recently removed targets. Packets of their flows can then be
// answered with a reset, so that callers need not wait for a timeout.
type removedTargets struct {
	byID map[uint64]*removedTarget
}

// removedTarget is a target whose registration was removed.
type removedTarget struct {
	// confirmedAt is the time from which the target counts as gone for good.
	confirmedAt time.Time
	removedAt   time.Time
	member      *member
}

func newRemovedTargets() *removedTargets {
	return &removedTargets{byID: make(map[uint64]*removedTarget)}
}

// add records a target whose registration was removed at the given time.
func (t *removedTargets) add(m *member, at time.Time) {
	confirmedAt := at
	if !m.Draining {
		confirmedAt = at.Add(lapseGrace)
	}
	t.byID[m.ID] = &removedTarget{confirmedAt: confirmedAt, removedAt: at, member: m}
}

func (t *removedTargets) remove(id uint64) { delete(t.byID, id) }

// deferConfirmation moves each confirmedAt before the given time to that time. It is used
// in an outage of the store, when registrations may lapse although their targets run.
func (t *removedTargets) deferConfirmation(until time.Time) {
	for _, r := range t.byID {
		r.confirmedAt = maxTime(r.confirmedAt, until)
	}
}

// find returns the removed target with an ID, or nil if there is none.
func (t *removedTargets) find(id uint64) *member {
	if r := t.byID[id]; r != nil {
		return r.member
	}
	return nil
}

// has reports whether a target was removed.
func (t *removedTargets) has(m *member) bool { return t.find(m.ID) == m }

// confirmed reports whether a removed target counts as gone for good. A target that wasn't
// draining may have registered again after viewedAt, when the store last confirmed the view.
func (t *removedTargets) confirmed(now, viewedAt time.Time, m *member) bool {
	r := t.byID[m.ID]
	return !now.Before(r.confirmedAt) && (m.Draining || !viewedAt.Before(r.confirmedAt))
}

// expire forgets the targets that were removed more than removedTargetTTL ago.
func (t *removedTargets) expire(now time.Time) {
	for id, r := range t.byID {
		if now.Sub(r.removedAt) > removedTargetTTL {
			delete(t.byID, id)
		}
	}
}
