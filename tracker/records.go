package tracker

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Record says which target a flow opened on.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Service planner.ServiceID
	Flow    uint64
	Target  planner.TargetID
}

// Copy is a batch of records for one balancer.
type Copy struct {
	member  MemberID
	records []Record
}

// Member returns the balancer that the records are for.
func (c *Copy) Member() MemberID { return c.member }

// Records returns the records.
func (c *Copy) Records() []Record { return c.records }

// Copies returns the records to send to other balancers, in the order of their
// identifiers, and forgets them.
func (t *Tracker) Copies() []*Copy {
	if len(t.copies) == 0 {
		return nil
	}
	all := make([]*Copy, 0, len(t.copies))
	for _, c := range t.copies {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *Copy) int { return cmp.Compare(a.member, b.member) })
	clear(t.copies)
	return all
}

// Learn takes records that another balancer sent. A record that is already held
// stays as it is: the first decision on a flow holds.
func (t *Tracker) Learn(now time.Time, records []Record) {
	if t.active == nil {
		t.keepEarly(records)
		return
	}
	for _, r := range records {
		s := t.services[r.Service]
		if s == nil {
			continue
		}
		held, known := s.records[r.Flow]
		if known && t.mayReceive(r.Service, held.target) {
			held.seen = seconds(now)
			s.records[r.Flow] = held
			continue
		}
		t.keep(now, s, r.Flow, r.Target)
	}
}

// maxEarly bounds the records that wait for the first plan.
const maxEarly = 1 << 16

// keepEarly keeps records that arrive before the plan and the snapshots that a
// joining balancer asked for: they opened after the snapshots were taken.
func (t *Tracker) keepEarly(records []Record) {
	room := maxEarly - len(t.early)
	t.early = append(t.early, records[:min(room, len(records))]...)
}

// learnEarly takes the records that have waited.
func (t *Tracker) learnEarly(now time.Time) {
	early := t.early
	t.early = nil
	t.Learn(now, early)
}

// CopyAll copies all records that a balancer should keep to it once more, after
// some may have been lost on the way.
func (t *Tracker) CopyAll(m MemberID) {
	for id, s := range t.services {
		for flow, r := range s.records {
			slot := slotOf(id, planner.BucketOf(flow))
			if t.speaksFor(slot) && keeps(&t.ranks, slot, m) {
				t.copyTo(m, id, flow, r.target)
			}
		}
	}
}

// Open returns the number of recorded flows of a target on this balancer.
func (t *Tracker) Open(target planner.TargetID) int { return t.open[target] }

// Records returns the number of records held.
func (t *Tracker) Records() int {
	n := 0
	for _, s := range t.services {
		n += len(s.records)
	}
	return n
}

func (t *Tracker) record(now time.Time, s *service, index int, flow uint64, target planner.TargetID) {
	t.keep(now, s, flow, target)
	t.copyToKeepers(s.plan.ID(), index, flow, target)
}

func (t *Tracker) copyToKeepers(id planner.ServiceID, index int, flow uint64, target planner.TargetID) {
	for _, m := range t.ranks.keepersOf(slotOf(id, index), t.self) {
		t.copyTo(m, id, flow, target)
	}
}

func (t *Tracker) keep(now time.Time, s *service, flow uint64, target planner.TargetID) {
	if held, known := s.records[flow]; known {
		t.open[held.target]--
	}
	s.records[flow] = record{target: target, seen: seconds(now), copied: seconds(now)}
	t.open[target]++
}

func (t *Tracker) forget(s *service, flow uint64, r record) {
	delete(s.records, flow)
	t.open[r.target]--
	if t.open[r.target] <= 0 {
		delete(t.open, r.target)
	}
}

func (t *Tracker) copyTo(m MemberID, id planner.ServiceID, flow uint64, target planner.TargetID) {
	c := t.copies[m]
	if c == nil {
		c = &Copy{member: m}
		t.copies[m] = c
	}
	c.records = append(c.records, Record{Service: id, Flow: flow, Target: target})
}
