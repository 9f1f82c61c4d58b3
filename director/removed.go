package director

import (
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// removedTargetTTL is how long a removed target is kept to reset its flows. No flow
	// lasts longer than a minute on our users' platform.
	removedTargetTTL = 90 * time.Second
	// lapseGrace is the time between the removal of the registration of a target that
	// wasn't draining and the reset of the target's flows. The registration may have lapsed
	// although the target runs; the target then registers again within 2 s.
	lapseGrace = 2500 * time.Millisecond
)

// removedTargets holds recently removed targets by token, so that the callers of their
// flows get a reset at once and need not wait for a timeout.
type removedTargets struct {
	byToken map[tokenizer.Token]*removedTarget
}

// removedTarget is a target whose registration was removed.
type removedTarget struct {
	// confirmedAt is the time from which the target counts as gone for good.
	confirmedAt time.Time
	removedAt   time.Time
	member      *member
}

func newRemovedTargets() *removedTargets {
	return &removedTargets{byToken: make(map[tokenizer.Token]*removedTarget)}
}

// add records a target whose registration was removed at the given time.
func (t *removedTargets) add(m *member, at time.Time) {
	confirmedAt := at
	if !m.Draining {
		confirmedAt = at.Add(lapseGrace)
	}
	t.byToken[m.token] = &removedTarget{confirmedAt: confirmedAt, removedAt: at, member: m}
}

func (t *removedTargets) remove(token tokenizer.Token) { delete(t.byToken, token) }

// deferConfirmation lets no target count as gone before the given time, since the
// registrations may have lapsed although the targets run.
func (t *removedTargets) deferConfirmation(until time.Time) {
	for _, r := range t.byToken {
		r.confirmedAt = maxTime(r.confirmedAt, until)
	}
}

// find returns the removed target with a token, and whether it is confirmed to be gone.
func (t *removedTargets) find(now time.Time, token tokenizer.Token) (m *member, confirmed bool) {
	r := t.byToken[token]
	if r == nil {
		return nil, false
	}
	return r.member, !now.Before(r.confirmedAt)
}

// expire forgets the targets that were removed more than removedTargetTTL ago.
func (t *removedTargets) expire(now time.Time) {
	for token, r := range t.byToken {
		if now.Sub(r.removedAt) > removedTargetTTL {
			delete(t.byToken, token)
		}
	}
}
