// Package coordinator joins the decisions of one balancer: which balancers are
// alive, which revision is in force, who holds which records, and where each
// packet goes. It is the whole of a balancer but for sockets and clocks.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{Self: id, Incarnation: 1})
//	c.SetContacts(ids)
//	for _, a := range c.Tick(now) { // every detector.Interval
//		perform(a)
//	}
//	c.Heartbeat(now, message)
//	c.Offer(now, record)
//	reply := c.Answer(now, from, request)
//	c.Replied(now, ask, reply, err == nil)
//	d := c.Decide(now, query)
//	for _, a := range c.Actions() {
//		perform(a)
//	}
//
// Every input takes the time and may leave actions, which Actions returns. A
// Coordinator reads no clock, starts nothing, and is not safe for use from
// several goroutines.
package coordinator

import (
	"net/netip"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/activator"
	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// Record is an accepted document.
type Record struct {
	// Revision counts from 1.
	Revision uint64
	Document *operator.Document
	// Encoded is the record as it travels between balancers.
	Encoded []byte
}

// Config is what a Coordinator must know from the start.
type Config struct {
	Self tracker.MemberID
	// Incarnation grows with each start of the same balancer.
	Incarnation uint32
	// AvailabilityZones are those whose targets the group serves; none stands for
	// all.
	AvailabilityZones []string
}

// Coordinator is the state of one balancer.
type Coordinator struct {
	// Decode reads a record that a peer sent.
	Decode func(encoded []byte) (Record, error)
	// Note is told of each change of state, with a constant message and pairs of
	// keys and values.
	Note func(message string, pairs ...any)
	// Count counts an event by its name.
	Count func(name string, n int64)

	self      tracker.MemberID
	empty     *planner.Plan
	tracker   *tracker.Tracker
	detector  *detector.Detector
	limiter   *limiter.Limiter
	assessor  *assessor.Assessor
	notes     map[planner.TargetID]heldNote
	lost      map[tracker.MemberID]bool
	copiedAt  time.Time
	vacantAt  time.Time
	answered  map[tracker.MemberID]bool
	agreement agreement
	activator activator.Activator
	active    *Record
	prepared  *Record
	offered   *Record
	members   []tracker.Member
	expiredAt time.Time
	// laggingSince is when the others were first seen to be ahead.
	laggingSince time.Time
	settledAt    time.Time
	join         round
	settle       round
	fetch        round
	lastRound    uint32
	actions      []Action
}

// New returns a Coordinator that is joining its group.
func New(config Config) *Coordinator {
	c := &Coordinator{
		Decode:   func([]byte) (Record, error) { return Record{}, nil },
		Note:     func(string, ...any) {},
		Count:    func(string, int64) {},
		self:     config.Self,
		empty:    planner.Within(config.AvailabilityZones...),
		tracker:  tracker.New(config.Self),
		detector: detector.New(config.Self, config.Incarnation),
		limiter:  limiter.New(config.Self),
		assessor: assessor.New(),
		notes:    make(map[planner.TargetID]heldNote),
		lost:     make(map[tracker.MemberID]bool),
		answered: make(map[tracker.MemberID]bool),
	}
	c.tracker.SetAdmit(c.admit)
	c.tracker.SetStale(true)
	return c
}

// SetContacts sets the balancers to send heartbeats to.
func (c *Coordinator) SetContacts(ids []tracker.MemberID) { c.detector.SetContacts(ids) }

// State returns what this balancer says of itself.
func (c *Coordinator) State() detector.State { return c.detector.State() }

// Members returns the other live balancers.
func (c *Coordinator) Members(now time.Time) []detector.Member { return c.detector.Members(now) }

// Tracker returns the state of the buckets, for reading.
func (c *Coordinator) Tracker() *tracker.Tracker { return c.tracker }

// IsMember reports whether a balancer was alive at the last change of members.
func (c *Coordinator) IsMember(id tracker.MemberID) bool {
	return slices.ContainsFunc(c.members, func(m tracker.Member) bool { return m.ID == id })
}

// Leave starts a planned stop: others take over what this balancer resolves.
func (c *Coordinator) Leave(now time.Time) {
	c.detector.SetState(detector.Leaving)
	c.Note("leaving")
	c.updateMembers(now)
	c.collectCopies()
}

// End returns the last words of this balancer, after which it decides nothing: the
// others need not wait until its heartbeats are missed.
func (c *Coordinator) End(now time.Time) []Action {
	c.detector.SetState(detector.Gone)
	for range c.detector.Part() {
		c.beat(now)
	}
	return c.Actions()
}

// Refresh must be called before a batch of decisions: a balancer that was paused
// finds out that it must not decide by itself.
func (c *Coordinator) Refresh(now time.Time) {
	joining := c.detector.State() == detector.Joining
	c.tracker.SetStale(joining || !c.detector.Permitted(now))
	c.tracker.SetResumed(c.detector.Resumed(now))
}

// Decide says what to do with a packet.
func (c *Coordinator) Decide(now time.Time, q tracker.Query) tracker.Decision {
	return c.tracker.Decide(now, q)
}

// Service returns the service with that address, or 0.
func (c *Coordinator) Service(address netip.AddrPort) planner.ServiceID {
	for _, p := range [...]*planner.Plan{c.tracker.Active(), c.tracker.Prepared()} {
		if p == nil {
			continue
		}
		if service, ok := p.Service(address); ok {
			return service.ID()
		}
	}
	return 0
}

// Heartbeat takes a message of another balancer.
func (c *Coordinator) Heartbeat(now time.Time, m detector.Message) {
	c.detector.Receive(now, m)
	c.agree(now)
	c.takeNotes(now, m.Notes)
	c.updateMembers(now)
	c.activate(now)
	c.collectCopies()
}

// Learn takes records of another balancer.
func (c *Coordinator) Learn(now time.Time, records []tracker.Record) {
	c.tracker.Learn(now, records)
}

// Lost is told that records sent to a balancer may not have arrived. They are
// copied again by a later Tick: a path that stays cut loses many.
func (c *Coordinator) Lost(id tracker.MemberID) {
	if c.IsMember(id) {
		c.lost[id] = true
	}
}

// admit limits the flows of a target that has just started.
func (c *Coordinator) admit(now time.Time, target planner.TargetID, _ int) bool {
	since, fresh := c.tracker.FreshSince(target)
	if !fresh {
		return true
	}
	if c.applies(now, c.notes[target]) && !c.tracker.Held(target) {
		return true // So many targets are cold that none of them is held back.
	}
	if c.tracker.Stale() {
		return false
	}
	active := c.tracker.Active()
	service := active.ServiceByID(active.Target(target).Service())
	return c.limiter.Take(now, target, service.ColdStart(), now.Sub(since))
}
