package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

func (t *Tracker) place(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	current := t.openingTarget(s, index)
	if current == 0 {
		return drop(NoTarget)
	}
	if t.awaits(current) {
		return drop(AwaitingAgreement)
	}
	target := current
	if !b.rebased {
		target = t.choose(now, s, current, q.Flow)
	}
	if target == 0 {
		return drop(OverLimit)
	}
	d := t.forward(q.Service, target)
	if d.Action() == Forward {
		t.record(now, s, index, q.Flow, target)
	}
	return d
}

// openingTarget returns the target of a bucket's openings: the current one, or,
// where the prepared revision takes that away, the next one as soon as all live
// balancers have prepared it. No flow is left there that an opening could belong
// to, so there is nothing to wait for. Limits of fresh targets begin with the
// activation, so these must wait for it.
func (t *Tracker) openingTarget(s *service, index int) planner.TargetID {
	current := s.current(index)
	id := s.plan.ID()
	if !t.preparedByAll || t.mayReceive(id, current) {
		return current
	}
	next := t.prepared.ServiceByID(id)
	if next == nil {
		return current
	}
	target := t.active.Target(next.Lookup(index))
	if target == nil || !target.TakesFlows() {
		return current
	}
	return target.ID()
}

// choose returns the current target of the bucket, or another one that takes
// flows where the current one is at its limit.
func (t *Tracker) choose(now time.Time, s *service, current planner.TargetID, flow uint64) planner.TargetID {
	if t.admits(now, current) {
		return current
	}
	active := s.plan.Active()
	if len(active) == 0 {
		return 0
	}
	start := int((flow >> 32) % uint64(len(active)))
	for i := range active {
		candidate := active[(start+i)%len(active)]
		if t.admits(now, candidate) {
			return candidate
		}
	}
	return 0
}

func (t *Tracker) admits(now time.Time, target planner.TargetID) bool {
	if !t.mayOpen(target) {
		return false
	}
	if t.admit == nil {
		return true
	}
	return t.admit(now, target, t.open[target])
}
