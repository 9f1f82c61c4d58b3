package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// openFlow decides on a packet that opens a flow in a tracked bucket, and records the
// flow if the packet is forwarded.
func (t *Tracker) openFlow(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	current := t.openingTarget(s, index)
	if current == 0 {
		return drop(NoTarget)
	}
	if t.awaitsAgreement(current) {
		return drop(AwaitingAgreement)
	}
	// A rebased bucket may become plain at any time, and then sends all its flows to
	// the current target.
	target := current
	if !b.rebased {
		target = t.admittedTarget(now, s, current, q.Flow)
	}
	if target == 0 {
		return drop(OverLimit)
	}
	d := t.forward(q.Service, target)
	if d.Action() == Forward {
		t.recordFlow(now, s, index, q.Flow, target)
	}
	return d
}

// openingTarget returns the target on which new flows of a bucket open. This is the
// current target, unless the prepared plan takes the current target away. Then it is the
// bucket's target in the prepared plan, as soon as all live balancers have prepared that
// plan. The opening can't belong to an established flow on the current target, which
// receives no packets any more, so it need not wait for the activation. Where the next
// target does not accept new flows in the active plan, the opening does have to wait,
// since the limits of fresh targets start at the activation.
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
	if target == nil || !target.AcceptsNewFlows() {
		return current
	}
	return target.ID()
}

// admittedTarget returns the current target of the bucket if it admits one more flow, or
// otherwise another active target of the service that does, or 0 if there is none. The
// flow's hash determines where the search starts.
func (t *Tracker) admittedTarget(now time.Time, s *service, current planner.TargetID, flow uint64) planner.TargetID {
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

// admits reports whether one more flow may open on a target, according to its hold and
// to the function set by SetAdmit.
func (t *Tracker) admits(now time.Time, target planner.TargetID) bool {
	if !t.mayTakeOpenings(target) {
		return false
	}
	if t.admit == nil {
		return true
	}
	return t.admit(now, target, t.openFlows[target])
}
