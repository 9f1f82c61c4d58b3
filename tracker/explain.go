package tracker

import (
	"maps"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Explanation says what Decide would do with a packet and from which state. It
// is a copy: it does not change with the tracker.
type Explanation struct {
	decision Decision
	bucket   int
	tracked  bool
	recorded bool
	base     planner.TargetID
	current  planner.TargetID
	resolver MemberID
}

// Decision returns what would be done with the packet.
func (e Explanation) Decision() Decision { return e.decision }

// Bucket returns the bucket of the flow.
func (e Explanation) Bucket() int { return e.bucket }

// Tracked reports whether the bucket is tracked.
func (e Explanation) Tracked() bool { return e.tracked }

// Recorded reports whether this balancer holds a record of the flow.
func (e Explanation) Recorded() bool { return e.recorded }

// Base returns where flows without a record go, or 0.
func (e Explanation) Base() planner.TargetID { return e.base }

// Current returns where flows of the bucket open, or 0.
func (e Explanation) Current() planner.TargetID { return e.current }

// Resolver returns the balancer that decides for the bucket while it is tracked,
// or 0 where none is known.
func (e Explanation) Resolver() MemberID { return e.resolver }

// Explain says what Decide would do with a packet, and changes nothing: it runs
// Decide on a copy of the flow's bucket and record. The rule of SetAdmit is left
// out, since asking it may use up what it admits: a target is taken to admit one
// more flow.
func (t *Tracker) Explain(now time.Time, q Query) Explanation {
	index := planner.BucketOf(q.Flow)
	e := Explanation{bucket: index, resolver: t.ranks.resolver(slotOf(q.Service, index))}
	if s := t.services[q.Service]; s != nil {
		e.current = s.current(index)
		e.base = e.current
		if b := s.tracked[index]; b != nil {
			e.tracked = true
			e.base = b.base
		}
		_, e.recorded = s.records[q.Flow]
	}
	trial := t.trialOf(q, index)
	e.decision = trial.Decide(now, q)
	return e
}

// trialOf returns a tracker whose decision on one packet equals this one's, and
// which shares nothing with it that a decision changes.
func (t *Tracker) trialOf(q Query, index int) *Tracker {
	trial := *t
	trial.admit = nil
	trial.open = maps.Clone(t.open)
	trial.fresh = maps.Clone(t.fresh)
	trial.noted = maps.Clone(t.noted)
	trial.copies = make(map[MemberID]*Copy)
	trial.services = make(map[planner.ServiceID]*service)
	if s := t.services[q.Service]; s != nil {
		trial.services[q.Service] = s.trialOf(q, index)
	}
	return &trial
}

// trialOf copies what decides on one flow.
func (s *service) trialOf(q Query, index int) *service {
	trial := *s
	trial.tracked = make(map[int]*bucket)
	trial.records = make(map[uint64]record)
	if b := s.tracked[index]; b != nil {
		copied := *b
		trial.tracked[index] = &copied
	}
	if r, known := s.records[q.Flow]; known {
		trial.records[q.Flow] = r
	}
	return &trial
}
