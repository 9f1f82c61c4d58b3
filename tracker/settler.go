package tracker

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Phase is a step of settling a bucket.
type Phase uint8

// The phases. Rebase makes the current target the base on every balancer; only
// when all have done so does Release end the tracking.
const (
	Rebase Phase = iota + 1
	Release
)

// Settlement asks for one phase of settling a bucket, which holds only where the
// bucket was last changed by the same revision and has the same current target: a
// balancer may skip a revision that is active elsewhere.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	Phase   Phase
	Service planner.ServiceID
	Bucket  uint16
	Changed uint64
	Target  planner.TargetID
}

// Tracked returns the number of tracked buckets.
func (t *Tracker) Tracked() int {
	n := 0
	for _, s := range t.services {
		n += len(s.tracked)
	}
	return n
}

// SettleAll applies what another balancer asks for, and reports what holds here.
// One that was cut off for a moment may ask without knowing the flows of a bucket.
func (t *Tracker) SettleAll(now time.Time, all []Settlement) []bool {
	busy := make(map[planner.ServiceID]*[planner.Buckets]bool)
	settled := make([]bool, 0, len(all))
	for _, m := range all {
		blocked := m.Phase == Rebase && t.isBusy(now, busy, m)
		settled = append(settled, !blocked && t.Settle(now, m))
	}
	return settled
}

// isBusy reports whether a record that may still be alive is on another than the
// bucket's current target. It goes through the records of each service once.
func (t *Tracker) isBusy(now time.Time, busy map[planner.ServiceID]*[planner.Buckets]bool, m Settlement) bool {
	s := t.services[m.Service]
	if s == nil || int(m.Bucket) >= planner.Buckets {
		return false
	}
	if busy[m.Service] == nil {
		alive := uint32(s.plan.IdleTimeout()/time.Second) * (renewAge + 1)
		busy[m.Service] = s.busyBuckets(seconds(now) - alive)
	}
	return busy[m.Service][m.Bucket]
}

// Settle applies a phase and reports whether it holds here now.
func (t *Tracker) Settle(now time.Time, m Settlement) bool {
	s := t.services[m.Service]
	if s == nil || int(m.Bucket) >= planner.Buckets {
		return true
	}
	index := int(m.Bucket)
	b := s.tracked[index]
	if b == nil {
		return true
	}
	if b.changed != m.Changed || s.current(index) != m.Target || t.isNoted(s.current(index)) || t.changes(s, index) {
		return false
	}
	if m.Phase == Rebase {
		b.base = s.current(index)
		b.rebased = true
		b.since = now
		return true
	}
	if b.rebased {
		delete(s.tracked, index)
		return true
	}
	return false
}

// changes reports whether the prepared plan gives the bucket another target.
func (t *Tracker) changes(s *service, index int) bool {
	if t.prepared == nil {
		return false
	}
	plan := t.prepared.ServiceByID(s.plan.ID())
	return plan != nil && plan.Lookup(index) != s.current(index)
}

// plainAge is for how many seconds a record of a plain bucket is kept: the bucket
// may become tracked here later than where the record comes from.
const plainAge = 10

// copyAge is how many idle timeouts a copy is kept that is not renewed.
const copyAge = 4

// renewAge is after how many idle timeouts a resolver renews copies.
const renewAge = 2

// Expire forgets records of flows that sent nothing within their service's idle
// timeout, and renews the copies of the others. It is to be called every second
// or so.
func (t *Tracker) Expire(now time.Time) {
	t.takeOver(now)
	for id, s := range t.services {
		for flow, r := range s.records {
			t.expire(now, id, s, flow, r)
		}
	}
}

func (t *Tracker) expire(now time.Time, id planner.ServiceID, s *service, flow uint64, r record) {
	index := planner.BucketOf(flow)
	idle := uint32(s.plan.IdleTimeout() / time.Second)
	resolves := t.ranks.resolver(slotOf(id, index)) == t.self
	limit := idle
	if !resolves {
		limit = idle * copyAge
	}
	switch {
	case seconds(now)-r.seen > limit || (s.tracked[index] == nil && seconds(now)-r.seen > plainAge):
		t.forget(s, flow, r)
	case resolves && seconds(now)-r.copied > idle*renewAge:
		r.copied = seconds(now)
		s.records[flow] = r
		t.copyToKeepers(id, index, flow, r.target)
	}
}

// Quiet returns the tracked buckets that this balancer resolves and on which no
// flow is left but those on the current target, as rebase requests.
func (t *Tracker) Quiet(now time.Time) []Settlement {
	t.takeOver(now)
	var quiet []Settlement
	for id, s := range t.services {
		if len(s.tracked) == 0 {
			continue
		}
		busy := s.busyBuckets(0)
		for i, b := range s.tracked {
			if busy[i] || t.ranks.resolver(slotOf(id, i)) != t.self {
				continue
			}
			if t.quiet(now, s, b, i) {
				quiet = append(quiet, Settlement{Phase: Rebase, Service: id, Bucket: uint16(i), Changed: b.changed, Target: s.current(i)})
			}
		}
	}
	slices.SortFunc(quiet, func(a, b Settlement) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Bucket, b.Bucket))
	})
	return quiet
}

func (t *Tracker) quiet(now time.Time, s *service, b *bucket, index int) bool {
	current := s.current(index)
	if t.isNoted(current) || t.changes(s, index) {
		return false
	}
	if _, fresh := t.fresh[current]; fresh {
		return false
	}
	if b.base == current || !t.mayReceive(s.plan.ID(), b.base) {
		return now.Sub(b.since) > settleDelay
	}
	idle := s.plan.IdleTimeout()
	return now.Sub(b.lastBase) > idle && now.Sub(b.since) > idle
}

// settleDelay is how long a bucket is tracked at least, so that copies of an
// opening have reached everyone.
const settleDelay = 2 * time.Second

// busyBuckets marks the buckets with a record on another than the current target,
// seen since then.
func (s *service) busyBuckets(since uint32) *[planner.Buckets]bool {
	var busy [planner.Buckets]bool
	for flow, r := range s.records {
		index := planner.BucketOf(flow)
		if r.seen >= since && r.target != s.current(index) {
			busy[index] = true
		}
	}
	return &busy
}
