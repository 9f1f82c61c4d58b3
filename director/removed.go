package director

import (
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// removedTargetTTL is how long a removed target is remembered, so that packets of its
	// flows can be answered with a reset. No flow lasts longer than a minute on our users'
	// platform.
	removedTargetTTL = 90 * time.Second
	// lapseGrace is how long a target that wasn't draining may still be alive after its
	// registration was removed. The registration may have lapsed although the target runs;
	// the target then registers again within 2 s. Its flows are not reset in this time,
	// unless a check finds the target unreachable and the route's requests may be repeated.
	lapseGrace = 2500 * time.Millisecond
)

// removedTargets holds recently removed targets. Packets of their flows can then be
// answered with a reset, so that callers need not wait for a timeout.
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

// deferConfirmation moves each confirmedAt before the given time to that time. It is used
// in an outage of the store, when registrations may lapse although their targets run.
func (t *removedTargets) deferConfirmation(until time.Time) {
	for _, r := range t.byToken {
		r.confirmedAt = maxTime(r.confirmedAt, until)
	}
}

// find returns the removed target with a token, or nil if there is none, and whether the
// target counts as gone for good.
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
