package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// startJoin begins an attempt to become ready, unless one is in progress.
func (c *Coordinator) startJoin(now time.Time) {
	if c.detector.State() != detector.Joining || c.joinRound.inProgress() || !c.detector.MayDecide(now) {
		return
	}
	donors := c.donors(now)
	if len(donors) == 0 {
		if c.mayBootstrap(now) {
			c.bootstrap(now)
		}
		return
	}
	c.startRound(&c.joinRound, donors, Request{Join: true})
}

// donors returns the balancers from which a joining balancer must get their
// state: all live ones that are not joining.
func (c *Coordinator) donors(now time.Time) []tracker.MemberID {
	var ids []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

// bootstrap makes this balancer ready without the state of any other one. It may
// be called only if all live balancers are joining.
func (c *Coordinator) bootstrap(now time.Time) {
	c.prepareLatest(now)
	if c.tracker.Active() != nil {
		c.becomeReady(now, 0)
	}
}

func (c *Coordinator) becomeReady(now time.Time, donors int) {
	c.detector.SetState(detector.Ready)
	c.updateMembers(now)
	c.reportRevisions()
	c.Log("ready", "revision", c.tracker.Active().Revision(), "donors", donors, "records", c.tracker.Records())
}

// finishJoin ends a round of startJoin and adopts the state that the donors sent.
// This balancer becomes ready only with the state of every donor, since any of
// them may hold the only records of a bucket.
func (c *Coordinator) finishJoin(now time.Time) {
	r := c.joinRound
	c.joinRound = requestRound{}
	if c.detector.State() != detector.Joining {
		return
	}
	if r.failed {
		c.Count("join-retried", 1)
		return
	}
	var active, latest *Record
	var snapshots []tracker.Snapshot
	for _, reply := range r.replies {
		if a := c.decodeRecord(reply.Active); a != nil {
			// A revision that one balancer has activated was prepared by all.
			active = newerRecord(active, a)
			latest = newerRecord(latest, a)
		}
		latest = newerRecord(latest, c.decodeRecord(reply.Prepared))
		if reply.Snapshot != nil {
			snapshots = append(snapshots, *reply.Snapshot)
		}
		c.mergeReports(now, reply.HealthReports)
		c.limiter.InheritHolders(now, reply.Holders)
	}
	if active == nil {
		return
	}
	c.active = active
	c.prepared = nil
	c.latest = newerRecord(c.latest, latest)
	c.tracker.Adopt(now, c.emptyPlan.Next(active.Revision, active.Document), snapshots)
	c.prepareLatest(now)
	c.applyReports(now)
	if c.peerIsAhead(now) {
		// The other balancers activate a revision without waiting for joining
		// ones. So this balancer must first get what they have prepared since they
		// replied.
		c.Count("join-retried", 1)
		return
	}
	c.becomeReady(now, len(r.replies))
}

// peerIsAhead reports whether a live balancer that is not joining has prepared a
// later revision than this one.
func (c *Coordinator) peerIsAhead(now time.Time) bool {
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining && m.PreparedRevision() > c.Revision() {
			return true
		}
	}
	return false
}

// decodeRecord decodes a record of a peer. It returns nil if the record is empty
// or malformed.
func (c *Coordinator) decodeRecord(encoded []byte) *Record {
	if len(encoded) == 0 {
		return nil
	}
	record, err := c.Decode(encoded)
	if err != nil {
		c.Count("malformed-document", 1)
		return nil
	}
	return &record
}

// newerRecord returns the record with the higher revision. Each may be nil.
func newerRecord(a, b *Record) *Record {
	if a == nil || (b != nil && b.Revision > a.Revision) {
		return b
	}
	return a
}

// HandleRequest processes a request of another balancer and returns the reply to
// send.
func (c *Coordinator) HandleRequest(now time.Time, from tracker.MemberID, r Request) Reply {
	reply := Reply{State: c.detector.State()}
	if r.Join || r.Document {
		reply.Active = encodingOf(c.active)
		reply.Prepared = encodingOf(newerRecord(c.prepared, c.latest))
	}
	if r.Join {
		// From here on, the joining balancer gets copies of the records of new flows.
		c.detector.AddPeer(now, from)
		c.updateMembers(now)
		snapshot := c.tracker.SnapshotFor(now, from)
		reply.Snapshot = &snapshot
		c.joinAnswered[from] = true
		c.updateMembers(now)
		reply.HealthReports = c.currentReports(now)
		reply.Holders = c.limiter.LastHolders()
		c.Log("sent state to a joining balancer", "records", c.tracker.Records())
	}
	if reply.State == detector.Joining {
		// This balancer may still adopt a snapshot with an earlier state of the
		// buckets, so it confirms no settlement.
		reply.Settled = make([]bool, len(r.Settlements))
		return reply
	}
	reply.Settled = c.tracker.SettleAll(now, r.Settlements)
	return reply
}

func encodingOf(r *Record) []byte {
	if r == nil {
		return nil
	}
	return r.Encoded
}

// HandleReply processes the outcome of a request. If ok is false, no reply came, and
// reply is not used.
func (c *Coordinator) HandleReply(now time.Time, p PeerRequest, reply Reply, ok bool) {
	switch {
	case c.joinRound.addOutcome(p, reply, ok):
		c.finishJoin(now)
	case c.settleRound.addOutcome(p, reply, ok):
		c.finishPhase(now)
	case c.fetchRound.addOutcome(p, reply, ok):
		c.finishFetch(now)
	}
}
