package coordinator

import (
	"cmp"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// Revision returns the latest revision that is prepared or active here.
func (c *Coordinator) Revision() uint64 {
	latest := uint64(0)
	for _, p := range [...]*planner.Plan{c.tracker.Active(), c.tracker.Prepared()} {
		if p != nil {
			latest = max(latest, p.Revision())
		}
	}
	return latest
}

// newestPlan returns the prepared plan, the active one if none is prepared, or
// nil. The next revision is planned as a change of it.
func (c *Coordinator) newestPlan() *planner.Plan {
	if p := c.tracker.Prepared(); p != nil {
		return p
	}
	return c.tracker.Active()
}

// Offer takes an accepted document from the platform or a peer. It ignores a
// revision that is not newer than the latest one it knows.
func (c *Coordinator) Offer(now time.Time, record Record) {
	if c.latest != nil && record.Revision <= c.latest.Revision {
		return
	}
	c.latest = &record
	if c.detector.State() != detector.Joining {
		c.prepareLatest(now)
	}
}

// prepareLatest prepares the latest known document, if it is newer than the
// prepared and the active one.
func (c *Coordinator) prepareLatest(now time.Time) {
	record := c.latest
	if record == nil || record.Revision <= c.Revision() {
		return
	}
	before := c.newestPlan()
	plan := cmp.Or(before, c.emptyPlan).Next(record.Revision, record.Document)
	c.startRampLimits(now, before, plan)
	c.tracker.Prepare(now, plan)
	if c.tracker.Prepared() == nil {
		c.active = record
	} else {
		c.prepared = record
	}
	// Report the revision at once: the other balancers activate it only after
	// this balancer reports it as prepared.
	c.sendHeartbeats(now)
	c.Log("revision prepared", "revision", record.Revision)
}

// startFetch asks one of the peers that have prepared a newer revision for its
// document.
func (c *Coordinator) startFetch(now time.Time) {
	if c.fetchRound.inProgress() {
		return
	}
	known := c.Revision()
	if c.latest != nil {
		known = max(known, c.latest.Revision)
	}
	var peers []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		if m.PreparedRevision() > known && !m.Suspect() {
			peers = append(peers, m.ID())
		}
	}
	if len(peers) > 0 {
		// Successive attempts take different peers, since the path to one may be cut.
		next := int(c.lastRoundID) % len(peers)
		c.startRound(&c.fetchRound, peers[next:next+1], Request{Document: true})
	}
}

// finishFetch ends a round of startFetch and offers the documents that the peer
// sent. A failed round is repeated by a later Tick.
func (c *Coordinator) finishFetch(now time.Time) {
	r := c.fetchRound
	c.fetchRound = requestRound{}
	if r.failed {
		c.Count("document-fetch-retried", 1)
		return
	}
	for _, reply := range r.replies {
		for _, encoded := range [][]byte{reply.Active, reply.Prepared} {
			if record := c.decodeRecord(encoded); record != nil {
				c.Count("documents-from-peers", 1)
				c.Offer(now, *record)
			}
		}
	}
}
