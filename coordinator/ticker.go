package coordinator

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// expireInterval is how often idle records are forgotten.
	expireInterval = time.Second
	// copyInterval is how often lost copies are repeated at most.
	copyInterval = 5 * time.Second
	// settleInterval is how often quiet buckets are looked for.
	settleInterval = 2 * time.Second
)

// Tick does what is due by the clock, and returns what is to be done. It is to
// be called every detector.Interval.
func (c *Coordinator) Tick(now time.Time) []Action {
	c.beat(now)
	c.updateMembers(now)
	c.activate(now)
	c.startFetch(now)
	c.stepBack(now)
	c.startJoin(now)
	c.expire(now)
	c.copyAgain(now)
	c.startSettling(now)
	return c.Actions()
}

func (c *Coordinator) beat(now time.Time) {
	paused := c.detector.State() == detector.Ready && !c.detector.Permitted(now)
	c.reportRevisions()
	for _, d := range c.detector.Beat(now) {
		c.actions = append(c.actions, Action{kind: SendHeartbeat, to: d.To(), heartbeat: d.Message()})
	}
	if paused {
		c.Note("no longer permitted to decide", "cause", "no peer echoes this balancer's heartbeats")
		c.Count("permission-lost", 1)
		c.detector.SetState(detector.Joining)
	}
}

func (c *Coordinator) reportRevisions() {
	active := uint64(0)
	if p := c.tracker.Active(); p != nil {
		active = p.Revision()
	}
	latest := c.Revision()
	if c.offered != nil && c.detector.State() == detector.Joining {
		// It is not prepared, but others may ask for it.
		latest = max(latest, c.offered.Revision)
	}
	c.detector.SetRevisions(active, latest)
}

// updateMembers gives the tracker the live balancers, if they changed.
func (c *Coordinator) updateMembers(now time.Time) {
	c.agree(now)
	members := []tracker.Member{{
		ID:       c.self,
		Resolves: c.detector.State() == detector.Ready,
		Keeps:    c.detector.State() != detector.Leaving,
	}}
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining {
			delete(c.answered, m.ID())
		}
		members = append(members, tracker.Member{
			ID:       m.ID(),
			Asks:     m.State() == detector.Joining && !c.answered[m.ID()],
			Resolves: m.State() == detector.Ready && !m.Suspect(),
			Keeps:    m.State() != detector.Leaving,
		})
	}
	if slices.Equal(members, c.members) {
		return
	}
	c.members = members
	c.tracker.SetMembers(members)
	c.Note("members changed", "alive", len(members), "resolving", countResolving(members))
}

func countResolving(members []tracker.Member) int {
	n := 0
	for _, m := range members {
		if m.Resolves {
			n++
		}
	}
	return n
}

// activate puts the prepared revision in force once all live balancers have it.
func (c *Coordinator) activate(now time.Time) {
	p := c.tracker.Prepared()
	if p == nil || c.detector.State() == detector.Joining {
		return
	}
	if !c.activator.Allows(now, p.Revision(), c.detector.Members(now)) {
		c.tracker.SetPreparedByAll(c.activator.PreparedByAll())
		return
	}
	c.tracker.Activate(now)
	c.active = c.prepared
	c.prepared = nil
	c.reportRevisions()
	c.Note("revision active", "revision", p.Revision(), "tracked-buckets", c.tracker.Tracked())
}

func (c *Coordinator) expire(now time.Time) {
	if now.Sub(c.expiredAt) < expireInterval {
		return
	}
	c.expiredAt = now
	c.tracker.Expire(now)
	c.forgetNotes()
	c.endRamps(now)
}

// copyAgain repeats the copies that may have been lost.
func (c *Coordinator) copyAgain(now time.Time) {
	if len(c.lost) == 0 || now.Sub(c.copiedAt) < copyInterval {
		return
	}
	c.copiedAt = now
	for _, m := range c.members {
		if c.lost[m.ID] {
			c.tracker.CopyAll(m.ID)
		}
	}
	clear(c.lost)
}

// endRamps lifts the limits of targets whose ramp is over.
func (c *Coordinator) endRamps(now time.Time) {
	active := c.tracker.Active()
	if active == nil {
		return
	}
	for id, target := range active.Targets() {
		since, fresh := c.tracker.FreshSince(id)
		if !fresh {
			continue
		}
		service := active.ServiceByID(target.Service())
		if service == nil || c.limiter.Ended(service.ColdStart(), now.Sub(since)) {
			c.tracker.EndFresh(id)
			c.limiter.Stop(id)
			c.Note("target is warm", "target", target.Name())
		}
	}
}

// startSettling begins to settle the quiet buckets that this balancer resolves.
func (c *Coordinator) startSettling(now time.Time) {
	if c.settle.open() || c.detector.State() != detector.Ready || now.Sub(c.settledAt) < settleInterval {
		return
	}
	c.settledAt = now
	quiet := c.tracker.Quiet(now)
	if len(quiet) == 0 {
		return
	}
	c.settlePhase(now, c.settleTo(now), quiet[:min(len(quiet), maxSettlements)])
}

// settleTo returns the balancers that must agree on settling.
func (c *Coordinator) settleTo(now time.Time) []tracker.MemberID {
	var others []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		others = append(others, m.ID())
	}
	return others
}

// maxSettlements bounds the buckets of one round.
const maxSettlements = 256

// settlePhase asks the other live balancers for one phase.
func (c *Coordinator) settlePhase(now time.Time, others []tracker.MemberID, wanted []tracker.Settlement) {
	c.start(&c.settle, others, Request{Settlements: wanted})
	c.settle.wanted = wanted
	c.settle.asked = others
	if len(others) == 0 {
		c.settled(now)
	}
}

// settled ends a phase. The buckets on which every balancer agreed go on to the
// next one; the others are tried again in a later round.
func (c *Coordinator) settled(now time.Time) {
	r := c.settle
	c.settle = round{}
	if r.failed {
		c.Count("settling-retried", 1)
		return
	}
	var release []tracker.Settlement
	released := 0
	for i, settlement := range r.wanted {
		if !agreed(r.replies, i) || !c.tracker.Settle(now, settlement) {
			continue
		}
		if settlement.Phase == tracker.Release {
			released++
			continue
		}
		settlement.Phase = tracker.Release
		release = append(release, settlement)
	}
	c.Count("buckets-settled", int64(released))
	if len(release) == 0 {
		return
	}
	if !slices.Equal(r.asked, c.settleTo(now)) {
		// One that came meanwhile may hold the bucket's earlier state.
		c.Count("settling-retried", 1)
		return
	}
	c.settlePhase(now, r.asked, release)
}

func agreed(replies []Reply, index int) bool {
	for _, r := range replies {
		if index >= len(r.Settled) || !r.Settled[index] {
			return false
		}
	}
	return true
}
