package tracker

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Phase is a step of settling a bucket: of making a tracked bucket plain again.
type Phase uint8

// The phases. Rebase makes the current target the base. Release makes the bucket
// plain, and may start only when all balancers have rebased the bucket.
const (
	Rebase Phase = iota + 1
	Release
)

// Settlement is a request for one phase of settling a bucket. A balancer that tracks the
// bucket accepts the request only if its own state of the bucket has the same ChangedBy
// and the same current target: it may have skipped a revision that is active on the
// sender.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	Phase   Phase
	Service planner.ServiceID
	Bucket  uint16
	// ChangedBy is the revision that last changed the bucket's target, or 0 if the bucket
	// was plain when TrackTarget made it tracked.
	ChangedBy uint64
	// Target is the bucket's current target.
	Target planner.TargetID
}

// Tracked returns the number of tracked buckets.
func (t *Tracker) Tracked() int {
	n := 0
	for _, s := range t.services {
		n += len(s.tracked)
	}
	return n
}

// SettleAll applies the requests of another balancer, and reports for each whether this
// balancer accepted it. A balancer that was briefly disconnected may send requests for
// buckets with flows that it doesn't know of. Therefore, Rebase is rejected for buckets in
// which a flow on another target than the current one may still be alive.
func (t *Tracker) SettleAll(now time.Time, all []Settlement) []bool {
	busyBuckets := make(map[planner.ServiceID]*[planner.Buckets]bool)
	settled := make([]bool, 0, len(all))
	for _, settlement := range all {
		blocked := settlement.Phase == Rebase && t.hasOtherFlows(now, busyBuckets, settlement)
		settled = append(settled, !blocked && t.Settle(now, settlement))
	}
	return settled
}

// hasOtherFlows reports whether a flow that may still be alive has a record on another
// target than the bucket's current one. It scans the records of each service once, and
// stores the result for all the service's buckets in busyBuckets.
func (t *Tracker) hasOtherFlows(now time.Time, busyBuckets map[planner.ServiceID]*[planner.Buckets]bool, settlement Settlement) bool {
	s := t.services[settlement.Service]
	if s == nil || int(settlement.Bucket) >= planner.Buckets {
		return false
	}
	if busyBuckets[settlement.Service] == nil {
		// The resolver renews a copy every copyRenewal idle timeouts, so the copy of a
		// live flow may have been seen that long ago.
		liveSeconds := uint32(s.plan.IdleTimeout()/time.Second) * (copyRenewal + 1)
		busyBuckets[settlement.Service] = s.busyBuckets(unixSeconds(now) - liveSeconds)
	}
	return busyBuckets[settlement.Service][settlement.Bucket]
}

// Settle applies one phase to a bucket, and reports whether this balancer accepts it. It
// accepts requests for buckets that are already plain.
func (t *Tracker) Settle(now time.Time, settlement Settlement) bool {
	s := t.services[settlement.Service]
	if s == nil || int(settlement.Bucket) >= planner.Buckets {
		return true
	}
	index := int(settlement.Bucket)
	b := s.tracked[index]
	if b == nil {
		return true
	}
	if b.changedBy != settlement.ChangedBy || s.current(index) != settlement.Target || t.isInHolds(s.current(index)) || t.preparedChanges(s, index) {
		return false
	}
	if settlement.Phase == Rebase {
		b.base = s.current(index)
		b.rebased = true
		b.baseSince = now
		return true
	}
	if b.rebased {
		delete(s.tracked, index)
		return true
	}
	return false
}

// preparedChanges reports whether a bucket's target differs in the prepared plan.
func (t *Tracker) preparedChanges(s *service, index int) bool {
	if t.prepared == nil {
		return false
	}
	plan := t.prepared.ServiceByID(s.plan.ID())
	return plan != nil && plan.Lookup(index) != s.current(index)
}

// plainRecordSeconds is the time in seconds for which a record of a plain bucket is kept.
// The bucket may become tracked here later than on the balancer that sent the record.
const plainRecordSeconds = 10

// copyLifetime is the time, in idle timeouts, after which a copy of a record expires
// unless its resolver renews it.
const copyLifetime = 4

// copyRenewal is the time, in idle timeouts, after which a resolver renews the copies of
// a record.
const copyRenewal = 2

// Expire deletes the records of flows that have sent nothing within their service's idle
// timeout, and renews the copies of the others. Call it about once per second.
func (t *Tracker) Expire(now time.Time) {
	t.restartIdleTimes(now)
	for id, s := range t.services {
		for flow, r := range s.records {
			t.expireRecord(now, id, s, flow, r)
		}
	}
}

// expireRecord deletes a record or renews its copies, if it is time for either.
func (t *Tracker) expireRecord(now time.Time, id planner.ServiceID, s *service, flow uint64, r record) {
	index := planner.BucketOf(flow)
	idle := uint32(s.plan.IdleTimeout() / time.Second)
	resolves := t.assigned.resolver(slotOf(id, index)) == t.self
	limit := idle
	if !resolves {
		limit = idle * copyLifetime
	}
	switch {
	case unixSeconds(now)-r.lastSeen > limit || (s.tracked[index] == nil && unixSeconds(now)-r.lastSeen > plainRecordSeconds):
		t.deleteRecord(s, flow, r)
	case resolves && unixSeconds(now)-r.lastCopied > idle*copyRenewal:
		r.lastCopied = unixSeconds(now)
		s.records[flow] = r
		t.queueForKeepers(id, index, flow, r.target)
	}
}

// RebaseRequests returns Rebase requests for the tracked buckets that this balancer
// resolves and in which all remaining flows are on the current target, sorted by service
// and bucket.
func (t *Tracker) RebaseRequests(now time.Time) []Settlement {
	t.restartIdleTimes(now)
	var rebases []Settlement
	for id, s := range t.services {
		if len(s.tracked) == 0 {
			continue
		}
		busy := s.busyBuckets(0)
		for i, b := range s.tracked {
			if busy[i] || t.assigned.resolver(slotOf(id, i)) != t.self {
				continue
			}
			if t.canSettle(now, s, b, i) {
				rebases = append(rebases, Settlement{Phase: Rebase, Service: id, Bucket: uint16(i), ChangedBy: b.changedBy, Target: s.current(i)})
			}
		}
	}
	slices.SortFunc(rebases, func(a, b Settlement) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Bucket, b.Bucket))
	})
	return rebases
}

// canSettle reports whether a bucket without records on other targets can settle. It can't
// while its current target has a hold or is fresh, or while the prepared plan changes the
// bucket. Flows without a record may still be on the base target. They are gone if the base
// is the current target, if the base may not receive packets, or if no packet was forwarded
// to the base for an idle timeout.
func (t *Tracker) canSettle(now time.Time, s *service, b *bucket, index int) bool {
	current := s.current(index)
	if t.isInHolds(current) || t.preparedChanges(s, index) {
		return false
	}
	if _, fresh := t.fresh[current]; fresh {
		return false
	}
	if b.base == current || !t.mayReceive(s.plan.ID(), b.base) {
		return now.Sub(b.baseSince) > minBaseAge
	}
	idle := s.plan.IdleTimeout()
	return now.Sub(b.baseUsed) > idle && now.Sub(b.baseSince) > idle
}

// minBaseAge is the minimum time between setting the base of a bucket and settling the
// bucket, so that the copies of records of new flows have reached their keepers.
const minBaseAge = 2 * time.Second

// busyBuckets returns, for each bucket, whether it has a record on another target than
// the current one that was last seen at `since` or later, in Unix seconds.
func (s *service) busyBuckets(since uint32) *[planner.Buckets]bool {
	var busy [planner.Buckets]bool
	for flow, r := range s.records {
		index := planner.BucketOf(flow)
		if r.lastSeen >= since && r.target != s.current(index) {
			busy[index] = true
		}
	}
	return &busy
}
