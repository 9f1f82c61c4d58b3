package coordinator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// startJoin begins an attempt to become ready, unless one is under way.
func (c *Coordinator) startJoin(now time.Time) {
	if c.detector.State() != detector.Joining || c.join.open() || !c.detector.Permitted(now) {
		return
	}
	donors := c.donors(now)
	if len(donors) == 0 {
		if c.mayBootstrap(now) {
			c.bootstrap(now)
		}
		return
	}
	c.start(&c.join, donors, Request{Join: true})
}

// donors returns the balancers whose state a joining one must have.
func (c *Coordinator) donors(now time.Time) []tracker.MemberID {
	var ids []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

// bootstrap makes the balancer ready without anyone's state, where no live
// balancer has any.
func (c *Coordinator) bootstrap(now time.Time) {
	c.prepareOffered(now)
	if c.tracker.Active() != nil {
		c.becomeReady(now, 0)
	}
}

func (c *Coordinator) becomeReady(now time.Time, donors int) {
	c.detector.SetState(detector.Ready)
	c.updateMembers(now)
	c.reportRevisions()
	c.Note("ready", "revision", c.tracker.Active().Revision(), "donors", donors, "records", c.tracker.Records())
}

// joined ends a round of joining. Only with the state of every ready balancer may
// this one resolve: any of them may hold the only records of a bucket.
func (c *Coordinator) joined(now time.Time) {
	r := c.join
	c.join = round{}
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
		if a := c.decode(reply.Active); a != nil {
			// Where one has activated a revision, all have prepared it.
			active = newer(active, a)
			latest = newer(latest, a)
		}
		latest = newer(latest, c.decode(reply.Prepared))
		if reply.Snapshot != nil {
			snapshots = append(snapshots, *reply.Snapshot)
		}
		c.takeNotes(now, reply.Notes)
		c.limiter.Inherit(now, reply.Holders)
	}
	if active == nil {
		return
	}
	c.active = active
	c.prepared = nil
	c.offered = newer(c.offered, latest)
	c.tracker.Adopt(now, c.empty.Next(active.Revision, active.Document), snapshots)
	c.prepareOffered(now)
	c.enforceNotes(now)
	if c.behind(now) {
		// The others wait for no joining balancer before they activate: this one
		// must hold what they have prepared since they answered.
		c.Count("join-retried", 1)
		return
	}
	c.becomeReady(now, len(r.replies))
}

// behind reports whether a live balancer has prepared a later revision.
func (c *Coordinator) behind(now time.Time) bool {
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining && m.Prepared() > c.Revision() {
			return true
		}
	}
	return false
}

func (c *Coordinator) decode(encoded []byte) *Record {
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

func newer(a, b *Record) *Record {
	if a == nil || (b != nil && b.Revision > a.Revision) {
		return b
	}
	return a
}

// Answer serves a request of another balancer.
func (c *Coordinator) Answer(now time.Time, from tracker.MemberID, r Request) Reply {
	reply := Reply{State: c.detector.State()}
	if r.Join || r.Document {
		reply.Active = encodedOf(c.active)
		reply.Prepared = encodedOf(newer(c.prepared, c.offered))
	}
	if r.Join {
		// From here on, the joining balancer gets copies of what is recorded.
		c.detector.Introduce(now, from)
		c.updateMembers(now)
		snapshot := c.tracker.SnapshotFor(now, from)
		reply.Snapshot = &snapshot
		c.answered[from] = true
		c.updateMembers(now)
		reply.Notes = c.spread(now)
		reply.Holders = c.limiter.Last()
		c.Note("handed state to a joining balancer", "records", c.tracker.Records())
	}
	if reply.State == detector.Joining {
		// It may yet adopt an earlier state of the buckets.
		reply.Settled = make([]bool, len(r.Settlements))
		return reply
	}
	reply.Settled = c.tracker.SettleAll(now, r.Settlements)
	return reply
}

func encodedOf(r *Record) []byte {
	if r == nil {
		return nil
	}
	return r.Encoded
}

// Replied takes the outcome of a request; ok is false if no reply came.
func (c *Coordinator) Replied(now time.Time, a Ask, reply Reply, ok bool) {
	switch {
	case c.join.take(a, reply, ok):
		c.joined(now)
	case c.settle.take(a, reply, ok):
		c.settled(now)
	case c.fetch.take(a, reply, ok):
		c.fetched(now)
	}
}
