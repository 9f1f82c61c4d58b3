package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Active returns the plan that openings follow, or nil.
func (t *Tracker) Active() *planner.Plan { return t.active }

// Prepared returns the plan that waits for its activation, or nil.
func (t *Tracker) Prepared() *planner.Plan { return t.prepared }

// Prepare takes a newer plan. Each bucket that it changes becomes tracked; its
// openings still go to the earlier target. Services that are new start at once.
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
		t.track(now, s, plan, p.Revision())
	}
	if t.active == nil {
		t.Activate(now)
	}
}

func newService(now time.Time, plan *planner.Service) *service {
	s := &service{
		plan:    plan,
		tracked: make(map[int]*bucket),
		records: make(map[uint64]record),
		empty:   now,
	}
	if len(plan.Active()) == 0 {
		// No flow of a new service was ever forwarded.
		s.empty = now.Add(-refusalDelay)
	}
	return s
}

func (t *Tracker) track(now time.Time, s *service, plan *planner.Service, revision uint64) {
	if plan.SameTable(s.plan) {
		return
	}
	for i := range planner.Buckets {
		if plan.Lookup(i) == s.current(i) {
			continue
		}
		b := s.trackBucket(now, i)
		b.changed = revision
		b.rebased = false
	}
}

// trackBucket returns the state of a bucket, which becomes tracked if it is plain.
func (s *service) trackBucket(now time.Time, index int) *bucket {
	b := s.tracked[index]
	if b == nil {
		b = &bucket{base: s.current(index), since: now, lastBase: now}
		s.tracked[index] = b
	}
	return b
}

// SetPreparedByAll says whether all live balancers have prepared the plan that is
// prepared here.
func (t *Tracker) SetPreparedByAll(all bool) {
	t.preparedByAll = all && t.prepared != nil
}

// Activate puts the prepared plan in force: openings go to its targets.
func (t *Tracker) Activate(now time.Time) {
	if t.prepared == nil {
		return
	}
	before := t.active
	t.active = t.prepared
	t.prepared = nil
	t.preparedByAll = false
	t.noteFresh(now, before)
	for id, s := range t.services {
		plan := t.active.ServiceByID(id)
		if plan == nil {
			t.dropService(id, s)
			continue
		}
		t.switchOver(now, s, plan)
	}
}

func (t *Tracker) switchOver(now time.Time, s *service, plan *planner.Service) {
	if len(s.plan.Active()) > 0 && len(plan.Active()) == 0 {
		s.empty = now
	}
	s.plan = plan
	for flow, r := range s.records {
		if !t.mayReceive(plan.ID(), r.target) {
			t.forget(s, flow, r)
		}
	}
}

func (t *Tracker) dropService(id planner.ServiceID, s *service) {
	for flow, r := range s.records {
		t.forget(s, flow, r)
	}
	delete(t.services, id)
}

// noteFresh remembers since when a target takes flows. The targets of the first
// plan count as warm: there is nobody else who could take their flows.
func (t *Tracker) noteFresh(now time.Time, before *planner.Plan) {
	for id, target := range t.active.Targets() {
		if !target.TakesFlows() {
			delete(t.fresh, id)
			continue
		}
		if before == nil {
			continue
		}
		earlier := before.Target(id)
		if earlier == nil || !earlier.TakesFlows() {
			t.fresh[id] = now
		}
	}
	for id := range t.fresh {
		if t.active.Target(id) == nil {
			delete(t.fresh, id)
		}
	}
}

// FreshSince returns since when a target takes flows, and whether it is known:
// targets of the first plan count as warm.
func (t *Tracker) FreshSince(target planner.TargetID) (time.Time, bool) {
	since, ok := t.fresh[target]
	return since, ok
}

// SetFresh marks a target as freshly started at that time.
func (t *Tracker) SetFresh(target planner.TargetID, since time.Time) {
	t.fresh[target] = since
}

// EndFresh marks a target as warm.
func (t *Tracker) EndFresh(target planner.TargetID) {
	delete(t.fresh, target)
}
