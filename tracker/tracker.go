// Package tracker decides where each packet goes, such that an established flow
// stays with its target while tables and balancers change.
//
// A flow's hash names a bucket. A bucket whose target never changed is plain:
// every balancer sends it by table and keeps no state. A bucket that a newer
// revision changes becomes tracked on every balancer before the new target is
// used by any. Packets of a tracked bucket go to its resolver, a balancer picked
// by rendezvous hashing. The resolver records the flows that open, copies the
// records to the next balancers in rank, and sends what has no record to the
// base target, on which the flows opened that are older than the tracking. Once
// no flow is left but those on the current target, the bucket settles: it is
// plain again.
//
// # Usage
//
//	t := tracker.New(tracker.NewMemberID("ne-a-1"))
//	t.SetMembers(members)
//	t.Prepare(now, plan)
//	t.Activate(now)
//	d := t.Decide(now, tracker.Query{Service: id, Flow: flow, Mark: parser.MarkOpening})
//	switch d.Action() {
//	case tracker.Forward:
//		send(d.Target())
//	case tracker.HandOn:
//		sendPeer(d.Member(), d.Hops())
//	}
//	for _, c := range t.Copies() {
//		peer.Send(c.Member(), c.Records())
//	}
//
// A Tracker takes the time as an argument, starts nothing and reads no clock. It
// is not safe for use from several goroutines.
package tracker

import (
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
)

// MaxHops is how often a packet may be handed on between balancers.
const MaxHops = 2

// refusalDelay is how long a service must have been without any target before
// an opening is refused: an earlier copy of the opening may have been forwarded.
const refusalDelay = 30 * time.Second

// Query is what a decision needs to know of a packet.
type Query struct {
	Service planner.ServiceID
	Flow    uint64
	Mark    parser.Mark
	Hops    uint32
}

// Tracker holds the state of all buckets.
type Tracker struct {
	self     MemberID
	admit    func(now time.Time, target planner.TargetID, open int) bool
	ranks    ranks
	active   *planner.Plan
	prepared *planner.Plan
	services map[planner.ServiceID]*service
	open     map[planner.TargetID]int
	fresh    map[planner.TargetID]time.Time
	copies   map[MemberID]*Copy
	early    []Record
	gained   map[int]bool
	noted    map[planner.TargetID]Hold
	agreed   bool
	stale    bool
	// preparedByAll is true only while there is a prepared plan.
	preparedByAll bool
	resumed       bool
}

type service struct {
	plan    *planner.Service
	tracked map[int]*bucket
	records map[uint64]record
	empty   time.Time
}

// bucket is a tracked one; a plain bucket needs no state.
type bucket struct {
	base     planner.TargetID
	changed  uint64
	since    time.Time
	lastBase time.Time
	rebased  bool
}

// record holds times in seconds of Unix time, to stay small.
type record struct {
	target planner.TargetID
	seen   uint32
	copied uint32
}

// New returns a Tracker for the balancer self, with no plan yet.
func New(self MemberID) *Tracker {
	return &Tracker{
		self:     self,
		services: make(map[planner.ServiceID]*service),
		open:     make(map[planner.TargetID]int),
		fresh:    make(map[planner.TargetID]time.Time),
		copies:   make(map[MemberID]*Copy),
		gained:   make(map[int]bool),
	}
}

// SetAdmit sets the rule that says whether a target may open one more flow from
// this balancer, which has `open` recorded flows on it. It is asked for tracked
// buckets only; without a rule every target may.
func (t *Tracker) SetAdmit(admit func(now time.Time, target planner.TargetID, open int) bool) {
	t.admit = admit
}

// SetStale says whether this balancer's state may be outdated, so that it must
// not decide as long as another balancer can.
func (t *Tracker) SetStale(stale bool) { t.stale = stale }

// SetResumed says whether this balancer has just started or was paused: packets
// may have waited for it for any time. While it is also stale, it drops openings,
// of which a later copy may have opened the flow elsewhere, and what it can't hand
// on.
func (t *Tracker) SetResumed(resumed bool) { t.resumed = resumed }

// Stale reports what SetStale set.
func (t *Tracker) Stale() bool { return t.stale }

// Decide says what to do with a packet.
func (t *Tracker) Decide(now time.Time, q Query) Decision {
	s := t.services[q.Service]
	if s == nil {
		return drop(UnknownService)
	}
	index := planner.BucketOf(q.Flow)
	b := s.tracked[index]
	if to := t.decider(b, slotOf(q.Service, index)); to != t.self {
		return t.passOn(to, q)
	}
	if b == nil {
		return t.byTable(now, s, index, q)
	}
	return t.resolve(now, s, b, index, q)
}

// decider returns the balancer that must decide on a slot's packets, as far as
// this one knows: itself where there is no other.
func (t *Tracker) decider(b *bucket, slot int) MemberID {
	if b == nil && !t.stale {
		return t.self
	}
	to := t.ranks.resolver(slot)
	if t.stale && to == t.self {
		// What this balancer believes is from before it lost its permission.
		to = t.ranks.nextTo(slot, t.self)
	}
	if to == 0 && (!t.stale || !t.resumed) {
		return t.self
	}
	return to
}

func (t *Tracker) passOn(to MemberID, q Query) Decision {
	late := t.stale && t.resumed && q.Mark == parser.MarkOpening
	if to == 0 || late || q.Hops >= MaxHops {
		return drop(Outdated)
	}
	return handOn(to, q.Hops+1)
}

func (t *Tracker) byTable(now time.Time, s *service, index int, q Query) Decision {
	if current := s.current(index); current != 0 {
		return t.forward(q.Service, current)
	}
	opening := q.Mark == parser.MarkOpening
	if opening && !t.stale && now.Sub(s.empty) >= refusalDelay {
		return refuse(NoTarget)
	}
	return drop(NoTarget)
}

func (t *Tracker) resolve(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	r, known := s.records[q.Flow]
	if known && t.mayReceive(q.Service, r.target) {
		r.seen = seconds(now)
		s.records[q.Flow] = r
		return t.forward(q.Service, r.target)
	}
	if q.Mark == parser.MarkOpening {
		return t.place(now, s, b, index, q)
	}
	if known {
		return drop(TargetGone)
	}
	return t.toBase(now, s, b, index, q)
}

// toBase sends a packet without a record to the target of the flows that are
// older than the tracking. A protocol without an opening mark gets a record for
// each flow seen within the idle timeout; what comes later has just opened.
func (t *Tracker) toBase(now time.Time, s *service, b *bucket, index int, q Query) Decision {
	if s.marksOpenings() {
		b.lastBase = now
		return t.forward(q.Service, b.base)
	}
	if now.Sub(b.since) > s.plan.IdleTimeout() {
		return t.place(now, s, b, index, q)
	}
	d := t.forward(q.Service, b.base)
	if d.Action() == Forward {
		t.record(now, s, index, q.Flow, b.base)
	}
	return d
}

func (t *Tracker) forward(id planner.ServiceID, target planner.TargetID) Decision {
	if target == 0 {
		return drop(NoTarget)
	}
	if !t.mayReceive(id, target) {
		return drop(TargetGone)
	}
	return Decision{action: Forward, target: target}
}

// mayReceive goes by the latest known revision, before it is active: what operators
// took out gets nothing, and flows that a balancer which activated earlier opened
// on a new target stay there.
func (t *Tracker) mayReceive(id planner.ServiceID, target planner.TargetID) bool {
	if t.prepared != nil {
		return serves(t.prepared, id, target)
	}
	return serves(t.active, id, target)
}

// Target returns a target that Decide may name, or nil.
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

func serves(p *planner.Plan, id planner.ServiceID, target planner.TargetID) bool {
	if p == nil {
		return false
	}
	found := p.Target(target)
	return found != nil && !found.Out() && found.Service() == id
}

// current returns the target of a bucket's openings.
func (s *service) current(index int) planner.TargetID { return s.plan.Lookup(index) }

func (s *service) marksOpenings() bool {
	return s.plan.Protocol() != operator.ProtocolUDP
}

func seconds(now time.Time) uint32 {
	return uint32(now.Unix())
}
