package tracker

import (
	"maps"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Explanation is the decision that Decide would make on a packet, with the state that
// the decision depends on. It is a copy, and does not change with the tracker.
type Explanation struct {
	decision Decision
	bucket   int
	tracked  bool
	recorded bool
	base     planner.TargetID
	current  planner.TargetID
	resolver MemberID
}

// Decision returns the decision that Decide would make.
func (e Explanation) Decision() Decision { return e.decision }

// Bucket returns the index of the flow's bucket.
func (e Explanation) Bucket() int { return e.bucket }

// Tracked reports whether the bucket is tracked.
func (e Explanation) Tracked() bool { return e.tracked }

// Recorded reports whether this balancer holds a record of the flow.
func (e Explanation) Recorded() bool { return e.recorded }

// Base returns the target of flows without a record, or 0 if there is none.
func (e Explanation) Base() planner.TargetID { return e.base }

// Current returns the target that the service's plan gives to the bucket, or 0 if there
// is none. New flows of the bucket open on it, unless it is held, limited or about to be
// taken away.
func (e Explanation) Current() planner.TargetID { return e.current }

// Resolver returns the balancer that decides on packets of the bucket while the bucket
// is tracked, or 0 if none is known.
func (e Explanation) Resolver() MemberID { return e.resolver }

// Explain returns the decision that Decide would make on a packet, and changes nothing:
// it runs Decide on a copy of the flow's bucket and record. It does not call the
// function set by SetAdmit, since a call may use up part of a target's limit. Instead,
// it assumes that every target admits one more flow.
func (t *Tracker) Explain(now time.Time, q Query) Explanation {
	index := planner.BucketOf(q.Flow)
	e := Explanation{bucket: index, resolver: t.assigned.resolver(slotOf(q.Service, index))}
	if s := t.services[q.Service]; s != nil {
		e.current = s.current(index)
		e.base = e.current
		if b := s.tracked[index]; b != nil {
			e.tracked = true
			e.base = b.base
		}
		_, e.recorded = s.records[q.Flow]
	}
	clone := t.cloneFor(q, index)
	e.decision = clone.Decide(now, q)
	return e
}

// cloneFor returns a tracker that makes the same decision on one packet, and shares no
// state with this one that a decision changes.
func (t *Tracker) cloneFor(q Query, index int) *Tracker {
	clone := *t
	clone.admit = nil
	clone.openFlows = maps.Clone(t.openFlows)
	clone.fresh = maps.Clone(t.fresh)
	clone.holds = maps.Clone(t.holds)
	clone.batches = make(map[MemberID]*RecordBatch)
	clone.services = make(map[planner.ServiceID]*service)
	if s := t.services[q.Service]; s != nil {
		clone.services[q.Service] = s.cloneFor(q, index)
	}
	return &clone
}

// cloneFor returns a copy of the service with only the bucket and the record of one
// flow.
func (s *service) cloneFor(q Query, index int) *service {
	clone := *s
	clone.tracked = make(map[int]*bucket)
	clone.records = make(map[uint64]record)
	if b := s.tracked[index]; b != nil {
		copied := *b
		clone.tracked[index] = &copied
	}
	if r, known := s.records[q.Flow]; known {
		clone.records[q.Flow] = r
	}
	return &clone
}
