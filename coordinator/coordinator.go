// Package coordinator holds the logic of one balancer, without its sockets and
// clocks. It combines failure detection, the activation of revisions, flow records,
// target health and cold-start limits, and decides where each packet goes.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{Self: id, Incarnation: 1})
//	c.SetContacts(ids)
//	for _, a := range c.Tick(now) { // every detector.HeartbeatInterval
//		perform(a)
//	}
//	c.HandleHeartbeat(now, message)
//	c.Offer(now, record)
//	reply := c.HandleRequest(now, from, request)
//	c.HandleReply(now, a.PeerRequest(), reply, err == nil)
//	d := c.Decide(now, query)
//	for _, a := range c.Actions() {
//		perform(a)
//	}
//
// Each method that takes an input also takes the current time, and may queue
// messages to send, which Actions returns. A Coordinator reads no clock, starts no
// goroutines, and is not safe for use from several goroutines.
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

// Record is an accepted document with its revision.
type Record struct {
	// Revision counts from 1.
	Revision uint64
	Document *operator.Document
	// Encoded is the record as balancers send it to each other.
	Encoded []byte
}

// Config holds what a Coordinator must know from the start.
type Config struct {
	Self tracker.MemberID
	// Incarnation must grow with each start of the same balancer.
	Incarnation uint32
	// AvailabilityZones are the zones whose targets the group of balancers
	// serves. If it is empty, the group serves all zones.
	AvailabilityZones []string
}

// Coordinator holds the state of one balancer.
type Coordinator struct {
	// Decode decodes a record that a peer sent.
	Decode func(encoded []byte) (Record, error)
	// Log logs a change of state, with a constant message and pairs of keys and
	// values.
	Log func(message string, pairs ...any)
	// Count adds n to the counter of an event. Events lists the names.
	Count func(name string, n int64)

	self      tracker.MemberID
	emptyPlan *planner.Plan
	tracker   *tracker.Tracker
	detector  *detector.Detector
	limiter   *limiter.Limiter
	assessor  *assessor.Assessor
	// healthReports holds the newest health report of each target.
	healthReports map[planner.TargetID]datedReport
	// lostCopies holds the balancers to which copies of records may have been
	// lost.
	lostCopies map[tracker.MemberID]bool
	lastRecopy time.Time
	// bootstrapSince is when this balancer first found no other balancer to get
	// the state from.
	bootstrapSince time.Time
	// joinAnswered holds the joining balancers that have got the state from this
	// one.
	joinAnswered map[tracker.MemberID]bool
	agreement    agreement
	activator    activator.Activator
	// active and prepared are the documents of the plans that the tracker has active
	// and prepared.
	active   *Record
	prepared *Record
	// latest is the newest accepted document that this balancer knows. It may not
	// be prepared yet.
	latest     *Record
	members    []tracker.Member
	lastExpiry time.Time
	// laggingSince is since when this balancer has lacked a revision that at
	// least half of the ready ones have prepared. It is zero while the balancer
	// does not lag.
	laggingSince time.Time
	lastSettling time.Time
	joinRound    requestRound
	settleRound  requestRound
	fetchRound   requestRound
	lastRoundID  uint32
	actions      []Action
}

// New returns a Coordinator whose balancer is joining its group.
func New(config Config) *Coordinator {
	c := &Coordinator{
		Decode:        func([]byte) (Record, error) { return Record{}, nil },
		Log:           func(string, ...any) {},
		Count:         func(string, int64) {},
		self:          config.Self,
		emptyPlan:     planner.ForZones(config.AvailabilityZones...),
		tracker:       tracker.New(config.Self),
		detector:      detector.New(config.Self, config.Incarnation),
		limiter:       limiter.New(config.Self),
		assessor:      assessor.New(),
		healthReports: make(map[planner.TargetID]datedReport),
		lostCopies:    make(map[tracker.MemberID]bool),
		joinAnswered:  make(map[tracker.MemberID]bool),
	}
	c.tracker.SetAdmit(c.admitFlow)
	c.tracker.SetStale(true)
	return c
}

// SetContacts sets the balancers to send heartbeats to.
func (c *Coordinator) SetContacts(ids []tracker.MemberID) { c.detector.SetContacts(ids) }

// State returns the state that this balancer reports in its heartbeats.
func (c *Coordinator) State() detector.State { return c.detector.State() }

// Members returns the live balancers besides this one.
func (c *Coordinator) Members(now time.Time) []detector.Member { return c.detector.Members(now) }

// Tracker returns the tracker of this balancer, for reading only.
func (c *Coordinator) Tracker() *tracker.Tracker { return c.tracker }

// IsMember reports whether a balancer was alive when the list of members was last
// updated. This balancer counts as alive.
func (c *Coordinator) IsMember(id tracker.MemberID) bool {
	return slices.ContainsFunc(c.members, func(m tracker.Member) bool { return m.ID == id })
}

// Leave starts a planned stop: the other balancers take over the buckets that
// this balancer resolves.
func (c *Coordinator) Leave(now time.Time) {
	c.detector.SetState(detector.Leaving)
	c.Log("leaving")
	c.updateMembers(now)
	c.queueRecordCopies()
}

// Stop marks this balancer as gone and returns the heartbeats that report this state
// to each contact, so that the others need not wait for its heartbeats to time out.
// No decision may be made after Stop.
func (c *Coordinator) Stop(now time.Time) []Action {
	c.detector.SetState(detector.Gone)
	for range c.detector.HeartbeatsPerRound() {
		c.sendHeartbeats(now)
	}
	return c.Actions()
}

// Refresh updates whether this balancer may decide by its own state. It must be
// called before each batch of decisions: the other balancers may have removed a
// balancer whose process was paused, whose state is then outdated.
func (c *Coordinator) Refresh(now time.Time) {
	joining := c.detector.State() == detector.Joining
	c.tracker.SetStale(joining || !c.detector.MayDecide(now))
	c.tracker.SetResumed(c.detector.RecentlyResumed(now))
}

// Decide returns what to do with a packet.
func (c *Coordinator) Decide(now time.Time, q tracker.Query) tracker.Decision {
	return c.tracker.Decide(now, q)
}

// Service returns the service with the given address in the active or else the
// prepared plan, or 0.
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

// HandleHeartbeat processes a heartbeat of another balancer.
func (c *Coordinator) HandleHeartbeat(now time.Time, m detector.Message) {
	c.detector.Receive(now, m)
	c.updateAgreement(now)
	c.mergeReports(now, m.HealthReports)
	c.updateMembers(now)
	c.activateIfAllowed(now)
	c.queueRecordCopies()
}

// HandleRecords stores flow records that another balancer sent.
func (c *Coordinator) HandleRecords(now time.Time, records []tracker.Record) {
	c.tracker.MergeRecords(now, records)
}

// HandleRecordsLost remembers that flow records sent to a balancer may not have
// arrived. A later Tick sends all records for that balancer again, at most once per
// recopyInterval, since a path that stays cut loses many records.
func (c *Coordinator) HandleRecordsLost(id tracker.MemberID) {
	if c.IsMember(id) {
		c.lostCopies[id] = true
	}
}

// admitFlow reports whether a target may get one more flow from this balancer.
// Only freshly started targets are limited.
func (c *Coordinator) admitFlow(now time.Time, target planner.TargetID, _ int) bool {
	since, fresh := c.tracker.FreshSince(target)
	if !fresh {
		return true
	}
	if c.reportInForce(now, c.healthReports[target]) && !c.tracker.HasHold(target) {
		return true // The health report is not enforced: too many targets of the service have one.
	}
	if c.tracker.Stale() {
		return false
	}
	active := c.tracker.Active()
	service := active.ServiceByID(active.Target(target).Service())
	return c.limiter.TakeFlow(now, target, service.ColdStart(), now.Sub(since))
}
