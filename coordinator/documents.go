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

// latestPlan returns the plan that a newer one would follow, or nil.
func (c *Coordinator) latestPlan() *planner.Plan {
	if p := c.tracker.Prepared(); p != nil {
		return p
	}
	return c.tracker.Active()
}

// Offer takes an accepted document, from the platform or a peer. One that is not
// newer than the latest known changes nothing.
func (c *Coordinator) Offer(now time.Time, record Record) {
	if c.offered != nil && record.Revision <= c.offered.Revision {
		return
	}
	c.offered = &record
	if c.detector.State() != detector.Joining {
		c.prepareOffered(now)
	}
}

// prepareOffered prepares the latest known document, if it is newer than what
// is prepared.
func (c *Coordinator) prepareOffered(now time.Time) {
	record := c.offered
	if record == nil || record.Revision <= c.Revision() {
		return
	}
	before := c.latestPlan()
	plan := cmp.Or(before, c.empty).Next(record.Revision, record.Document)
	c.startLimits(now, before, plan)
	c.tracker.Prepare(now, plan)
	if c.tracker.Prepared() == nil {
		c.active = record
	} else {
		c.prepared = record
	}
	// The others wait for this balancer's word before they activate.
	c.beat(now)
	c.Note("revision prepared", "revision", record.Revision)
}

// startFetch asks a peer that knows a newer revision for its document.
func (c *Coordinator) startFetch(now time.Time) {
	if c.fetch.open() {
		return
	}
	known := c.Revision()
	if c.offered != nil {
		known = max(known, c.offered.Revision)
	}
	var knowing []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		if m.Prepared() > known && !m.Suspect() {
			knowing = append(knowing, m.ID())
		}
	}
	if len(knowing) > 0 {
		// The path to one of them may be cut.
		next := int(c.lastRound) % len(knowing)
		c.start(&c.fetch, knowing[next:next+1], Request{Document: true})
	}
}

func (c *Coordinator) fetched(now time.Time) {
	r := c.fetch
	c.fetch = round{}
	if r.failed {
		c.Count("document-fetch-retried", 1)
		return
	}
	for _, reply := range r.replies {
		for _, encoded := range [][]byte{reply.Active, reply.Prepared} {
			if record := c.decode(encoded); record != nil {
				c.Count("documents-from-peers", 1)
				c.Offer(now, *record)
			}
		}
	}
}
