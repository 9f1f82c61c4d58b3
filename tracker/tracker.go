// Package tracker decides where each packet goes, so that an established flow stays
// on its target while forwarding tables and the set of balancers change.
//
// A flow's hash selects a bucket. A bucket is plain or tracked:
//
//   - The target of a plain bucket has not changed since the bucket was last tracked.
//     Every balancer forwards its packets by table, and keeps no state for it.
//   - A bucket whose target changes in a newer revision becomes tracked on every
//     balancer, before any balancer uses the new target. Its packets go to its
//     resolver, a balancer chosen by rendezvous hashing. The resolver records the
//     flows that open, and copies the records to the keepers, the balancers that rank
//     next. It forwards packets of flows without a record to the base target, on which
//     the flows opened that are older than the tracking.
//
// Once all remaining flows of a tracked bucket are on its current target, the bucket
// settles: it becomes plain again.
//
// # Usage
//
//	t := tracker.New(tracker.NewMemberID("ne-a-1"))
//	t.SetMembers(members)
//	t.Prepare(now, plan)
//	t.Activate(now)
//	d := t.Decide(now, tracker.Query{Service: id, Flow: flow, FlowEvent: parser.FlowOpens})
//	switch d.Action() {
//	case tracker.Forward:
//		send(d.Target())
//	case tracker.HandOn:
//		sendPeer(d.Member(), d.Hops())
//	}
//	for _, b := range t.TakeRecordBatches() {
//		peer.Send(b.Member(), b.Records())
//	}
//
// A Tracker starts no goroutines and reads no clock: the caller passes the current
// time. It is not safe for concurrent use.
package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
)

// MaxHops is the maximum number of times that a packet may be handed on between balancers.
const MaxHops = 2

// refusalDelay is how long a service must have had no targets before its openings are
// refused. Within that time, an earlier transmission of the same opening may have been
// forwarded to a target.
const refusalDelay = 30 * time.Second

// Query holds the properties of a packet that a decision depends on.
type Query struct {
	Service planner.ServiceID
	// Flow is the packet's flow hash; see parser.Packet.FlowHash.
	Flow uint64
	// FlowEvent says whether the packet opens a flow.
	FlowEvent parser.FlowEvent
	// Hops is how many times the packet has been handed on between balancers.
	Hops uint32
}

// Tracker holds one balancer's state of all buckets.
type Tracker struct {
	self     MemberID
	admit    func(now time.Time, target planner.TargetID, open int) bool
	assigned assignments
	active   *planner.Plan
	prepared *planner.Plan
	services map[planner.ServiceID]*service
	// openFlows counts the recorded flows of each target.
	openFlows map[planner.TargetID]int
	// fresh holds when each fresh target began to accept new flows.
	fresh map[planner.TargetID]time.Time
	// batches holds the records to send to each balancer.
	batches map[MemberID]*RecordBatch
	// earlyRecords holds the records that arrived before the first plan.
	earlyRecords []Record
	// gainedSlots holds the slots of which this balancer has become the resolver, and
	// whose idle times have not been restarted since.
	gainedSlots map[int]bool
	holds       map[planner.TargetID]Hold
	holdsAgreed bool
	stale       bool
	// preparedByAll is true only while there is a prepared plan.
	preparedByAll bool
	resumed       bool
}

// service holds the tracked buckets of a service by index, and the records of its flows
// by hash.
type service struct {
	plan    *planner.Service
	tracked map[int]*bucket
	records map[uint64]record
	// emptySince is when the service lost its last active target. It has no meaning
	// while the service has active targets.
	emptySince time.Time
}

// bucket holds the state of a tracked bucket. A plain bucket needs no state.
type bucket struct {
	// base is the target of flows without a record.
	base planner.TargetID
	// changedBy is the revision that last changed the bucket's target, or 0 if only
	// TrackTarget made the bucket tracked.
	changedBy uint64
	// baseSince is when this balancer last set base.
	baseSince time.Time
	// baseUsed is when a packet was last forwarded to base for want of a record.
	baseUsed time.Time
	// rebased is true once the Rebase phase has made the current target the base.
	rebased bool
}

// record holds the target of a flow. Its times are in Unix seconds, in 32 bits to save
// memory.
type record struct {
	target planner.TargetID
	// lastSeen is when this balancer last forwarded a packet of the flow by the record,
	// or received a copy of the record.
	lastSeen uint32
	// lastCopied is when the record was stored or its copies were last renewed.
	lastCopied uint32
}

// New returns a Tracker without a plan for the balancer self.
func New(self MemberID) *Tracker {
	return &Tracker{
		self:        self,
		services:    make(map[planner.ServiceID]*service),
		openFlows:   make(map[planner.TargetID]int),
		fresh:       make(map[planner.TargetID]time.Time),
		batches:     make(map[MemberID]*RecordBatch),
		gainedSlots: make(map[int]bool),
	}
}

// SetAdmit sets the function that reports whether this balancer may open one more flow
// on a target on which it has `open` recorded flows. The function is called for tracked
// buckets only. Without it, every target admits more flows.
func (t *Tracker) SetAdmit(admit func(now time.Time, target planner.TargetID, open int) bool) {
	t.admit = admit
}

// SetStale sets whether this balancer's state may be outdated. A stale balancer does not
// decide on packets while it knows of another balancer that can.
func (t *Tracker) SetStale(stale bool) { t.stale = stale }

// SetResumed sets whether this balancer has just started or resumed after a pause, so
// that packets may have waited for it for any length of time. While it is both resumed
// and stale, it drops openings, since a retransmitted opening may already have
// opened the flow on another balancer. It also drops packets that it can't hand on.
func (t *Tracker) SetResumed(resumed bool) { t.resumed = resumed }

// Stale reports whether this balancer's state may be outdated, as set by SetStale.
func (t *Tracker) Stale() bool { return t.stale }

// Decide returns what to do with a packet.
func (t *Tracker) Decide(now time.Time, q Query) Decision {
	s := t.services[q.Service]
	if s == nil {
		return drop(UnknownService)
	}
	index := planner.BucketOf(q.Flow)
	b := s.tracked[index]
	if to := t.decider(b, slotOf(q.Service, index)); to != t.self {
		return t.handOnOrDrop(to, q)
	}
	if b == nil {
		return t.decidePlain(now, s, index, q)
	}
	return t.decideTracked(now, s, b, index, q)
}

// decider returns the balancer that must decide on the packets of a slot, as far as this
// balancer knows: itself for a plain bucket, unless it is stale, and otherwise usually the
// slot's resolver. Where no such balancer is known, decider returns this balancer, or 0
// if this balancer is both stale and resumed.
func (t *Tracker) decider(b *bucket, slot int) MemberID {
	if b == nil && !t.stale {
		return t.self
	}
	to := t.assigned.resolver(slot)
	if t.stale && to == t.self {
		// This balancer's state is from before it lost its permission to decide, so
		// the next keeper decides.
		to = t.assigned.firstKeeperExcept(slot, t.self)
	}
	if to == 0 && (!t.stale || !t.resumed) {
		return t.self
	}
	return to
}

// handOnOrDrop returns the decision on a packet that another balancer must decide on.
func (t *Tracker) handOnOrDrop(to MemberID, q Query) Decision {
	late := t.stale && t.resumed && q.FlowEvent == parser.FlowOpens
	if to == 0 || late || q.Hops >= MaxHops {
		return drop(Outdated)
	}
	return handOn(to, q.Hops+1)
}

// decidePlain decides on a packet of a plain bucket by the table.
func (t *Tracker) decidePlain(now time.Time, s *service, index int, q Query) Decision {
	if current := s.current(index); current != 0 {
		return t.forward(q.Service, current)
	}
	opening := q.FlowEvent == parser.FlowOpens
	if opening && !t.stale && now.Sub(s.emptySince) >= refusalDelay {
		return refuse(NoTarget)
	}
	return drop(NoTarget)
}

// decideTracked decides on a packet of a tracked bucket.
func (t *Tracker) decideTracked(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	r, known := s.records[q.Flow]
	if known && t.mayReceive(q.Service, r.target) {
		r.lastSeen = unixSeconds(now)
		s.records[q.Flow] = r
		return t.forward(q.Service, r.target)
	}
	if q.FlowEvent == parser.FlowOpens {
		return t.openFlow(now, s, b, index, q)
	}
	if known {
		return drop(TargetGone)
	}
	return t.forwardToBase(now, s, b, index, q)
}

// forwardToBase forwards a packet without a record to the target of the flows that are
// older than the tracking. For protocols whose openings can't be detected, it records each
// flow that it sees within the idle timeout after baseSince. A flow without a record
// after that time has just opened.
func (t *Tracker) forwardToBase(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	if s.detectsOpenings() {
		b.baseUsed = now
		return t.forward(q.Service, b.base)
	}
	if now.Sub(b.baseSince) > s.plan.IdleTimeout() {
		return t.openFlow(now, s, b, index, q)
	}
	d := t.forward(q.Service, b.base)
	if d.Action() == Forward {
		t.recordFlow(now, s, index, q.Flow, b.base)
	}
	return d
}

// forward returns the decision to forward a packet to a target, or to drop the packet if
// the target may not receive it.
func (t *Tracker) forward(id planner.ServiceID, target planner.TargetID) Decision {
	if target == 0 {
		return drop(NoTarget)
	}
	if !t.mayReceive(id, target) {
		return drop(TargetGone)
	}
	return Decision{action: Forward, target: target}
}

// mayReceive reports whether a target may receive packets of a service. It uses the
// prepared plan, if there is one, even before its activation. Therefore, targets that
// operators took out receive nothing, and flows stay on a new target on which a balancer
// with an earlier activation opened them.
func (t *Tracker) mayReceive(id planner.ServiceID, target planner.TargetID) bool {
	if t.prepared != nil {
		return servesService(t.prepared, id, target)
	}
	return servesService(t.active, id, target)
}

// Target returns a target of the prepared or the active plan, or nil if it is in neither.
// These plans contain every target that Decide may return.
func (t *Tracker) Target(id planner.TargetID) *planner.Target {
	for _, p := range [...]*planner.Plan{t.prepared, t.active} {
		if p == nil {
			continue
		}
		if target := p.Target(id); target != nil {
			return target
		}
	}
	return nil
}

// servesService reports whether, in a plan, a target belongs to a service and its
// availability zone is not out.
func servesService(p *planner.Plan, id planner.ServiceID, target planner.TargetID) bool {
	if p == nil {
		return false
	}
	planned := p.Target(target)
	return planned != nil && !planned.ZoneOut() && planned.Service() == id
}

// current returns the target that the service's plan gives to a bucket.
func (s *service) current(index int) planner.TargetID { return s.plan.Lookup(index) }

// detectsOpenings reports whether the service's protocol shows which packets open a
// flow.
func (s *service) detectsOpenings() bool {
	return s.plan.Protocol() != operator.ProtocolUDP
}

// unixSeconds returns a time in seconds since the Unix epoch.
func unixSeconds(now time.Time) uint32 {
	return uint32(now.Unix())
}
