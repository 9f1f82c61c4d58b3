package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Active returns the plan in force, or nil before the first plan.
func (t *Tracker) Active() *planner.Plan { return t.active }

// Prepared returns the plan that waits for its activation, or nil if there is none.
func (t *Tracker) Prepared() *planner.Plan { return t.prepared }

// Prepare takes a plan that is newer than the active and the prepared one, and ignores
// any other. Each bucket whose target changes in the plan becomes tracked. Its new flows
// still open on the earlier target until Activate. New services start at once, and the
// first plan is activated at once.
func (t *Tracker) Prepare(now time.Time, p *planner.Plan) {
	if t.active != nil && p.Revision() <= t.active.Revision() {
		return
	}
	if t.prepared != nil && p.Revision() <= t.prepared.Revision() {
		return
	}
	t.prepared = p
	t.preparedByAll = false
	for id, plan := range p.Services() {
		s := t.services[id]
		if s == nil {
			t.services[id] = newService(now, plan)
			continue
		}
		t.trackChanged(now, s, plan, p.Revision())
	}
	if t.active == nil {
		t.Activate(now)
	}
}

// newService returns the state of a service that a plan adds.
func newService(now time.Time, plan *planner.Service) *service {
	s := &service{
		plan:       plan,
		tracked:    make(map[int]*bucket),
		records:    make(map[uint64]record),
		emptySince: now,
	}
	if len(plan.Active()) == 0 {
		// No flow of a new service can have been forwarded, so openings are refused at
		// once.
		s.emptySince = now.Add(-refusalDelay)
	}
	return s
}

// trackChanged makes the buckets of a service tracked whose target differs in a newer
// plan.
func (t *Tracker) trackChanged(now time.Time, s *service, plan *planner.Service, revision uint64) {
	if plan.SharesTable(s.plan) {
		return
	}
	for i := range planner.Buckets {
		if plan.Lookup(i) == s.current(i) {
			continue
		}
		b := s.trackBucket(now, i)
		b.changedBy = revision
		b.rebased = false
	}
}

// trackBucket returns the state of a tracked bucket, and makes a plain bucket tracked.
func (s *service) trackBucket(now time.Time, index int) *bucket {
	b := s.tracked[index]
	if b == nil {
		b = &bucket{base: s.current(index), baseSince: now, baseUsed: now}
		s.tracked[index] = b
	}
	return b
}

// SetPreparedByAll sets whether all live balancers have prepared the plan that is
// prepared here. It has no effect while no plan is prepared.
func (t *Tracker) SetPreparedByAll(all bool) {
	t.preparedByAll = all && t.prepared != nil
}

// Activate puts the prepared plan in force: new flows open on its targets. Without a
// prepared plan it does nothing.
func (t *Tracker) Activate(now time.Time) {
	if t.prepared == nil {
		return
	}
	before := t.active
	t.active = t.prepared
	t.prepared = nil
	t.preparedByAll = false
	t.updateFresh(now, before)
	for id, s := range t.services {
		plan := t.active.ServiceByID(id)
		if plan == nil {
			t.removeService(id, s)
			continue
		}
		t.replacePlan(now, s, plan)
	}
}

// replacePlan sets the plan of a service, and deletes records on targets that no
// longer receive packets.
func (t *Tracker) replacePlan(now time.Time, s *service, plan *planner.Service) {
	if len(s.plan.Active()) > 0 && len(plan.Active()) == 0 {
		s.emptySince = now
	}
	s.plan = plan
	for flow, r := range s.records {
		if !t.mayReceive(plan.ID(), r.target) {
			t.deleteRecord(s, flow, r)
		}
	}
}

// removeService deletes a service with its records.
func (t *Tracker) removeService(id planner.ServiceID, s *service) {
	for flow, r := range s.records {
		t.deleteRecord(s, flow, r)
	}
	delete(t.services, id)
}

// updateFresh marks the targets as fresh that accept new flows in the active plan and
// did not in the earlier plan. The targets of the first plan count as warm, since no other
// targets could take their flows.
func (t *Tracker) updateFresh(now time.Time, before *planner.Plan) {
	for id, target := range t.active.Targets() {
		if !target.AcceptsNewFlows() {
			delete(t.fresh, id)
			continue
		}
		if before == nil {
			continue
		}
		earlier := before.Target(id)
		if earlier == nil || !earlier.AcceptsNewFlows() {
			t.fresh[id] = now
		}
	}
	for id := range t.fresh {
		if t.active.Target(id) == nil {
			delete(t.fresh, id)
		}
	}
}

// FreshSince returns when a fresh target began to accept new flows. It returns false for
// targets that count as warm, such as those of the first plan.
func (t *Tracker) FreshSince(target planner.TargetID) (time.Time, bool) {
	since, ok := t.fresh[target]
	return since, ok
}

// SetFresh marks a target as fresh since a point in time.
func (t *Tracker) SetFresh(target planner.TargetID, since time.Time) {
	t.fresh[target] = since
}

// EndFresh marks a target as warm.
func (t *Tracker) EndFresh(target planner.TargetID) {
	delete(t.fresh, target)
}
