package coordinator

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// expireInterval is the minimum time between two removals of idle flow
	// records, health reports on removed targets, and ended ramps.
	expireInterval = time.Second
	// recopyInterval is the minimum time between two resends of copies that may
	// have been lost.
	recopyInterval = 5 * time.Second
	// settleInterval is the minimum time between two searches for buckets to
	// settle.
	settleInterval = 2 * time.Second
)

// Tick sends heartbeats, does all other work that depends on the time, and
// returns the messages to send. It must be called every detector.HeartbeatInterval.
func (c *Coordinator) Tick(now time.Time) []Action {
	c.sendHeartbeats(now)
	c.updateMembers(now)
	c.activateIfAllowed(now)
	c.startFetch(now)
	c.rejoinIfLagging(now)
	c.startJoin(now)
	c.expireState(now)
	c.resendLostCopies(now)
	c.startSettling(now)
	return c.Actions()
}

// sendHeartbeats queues the heartbeats that are due. It sets this balancer back
// to joining if it is ready but no longer permitted to decide.
func (c *Coordinator) sendHeartbeats(now time.Time) {
	permissionLost := c.detector.State() == detector.Ready && !c.detector.MayDecide(now)
	c.reportRevisions()
	for _, d := range c.detector.Heartbeat(now) {
		c.actions = append(c.actions, Action{kind: SendHeartbeat, to: d.To(), heartbeat: d.Message()})
	}
	if permissionLost {
		c.Log("no longer permitted to decide", "cause", "no peer echoes this balancer's heartbeats")
		c.Count("permission-lost", 1)
		c.detector.SetState(detector.Joining)
	}
}

// reportRevisions sets the active and the latest revision that the heartbeats
// report.
func (c *Coordinator) reportRevisions() {
	active := uint64(0)
	if p := c.tracker.Active(); p != nil {
		active = p.Revision()
	}
	latest := c.Revision()
	if c.latest != nil && c.detector.State() == detector.Joining {
		// A joining balancer has not prepared the document, but can send it to
		// others that ask.
		latest = max(latest, c.latest.Revision)
	}
	c.detector.SetRevisions(active, latest)
}

// updateMembers recomputes the live balancers, and gives them to the tracker if
// they have changed.
func (c *Coordinator) updateMembers(now time.Time) {
	c.updateAgreement(now)
	members := []tracker.Member{{
		ID:           c.self,
		Resolves:     c.detector.State() == detector.Ready,
		KeepsRecords: c.detector.State() != detector.Leaving,
	}}
	for _, m := range c.detector.Members(now) {
		if m.State() != detector.Joining {
			delete(c.joinAnswered, m.ID())
		}
		members = append(members, tracker.Member{
			ID:               m.ID(),
			RequestsSnapshot: m.State() == detector.Joining && !c.joinAnswered[m.ID()],
			Resolves:         m.State() == detector.Ready && !m.Suspect(),
			KeepsRecords:     m.State() != detector.Leaving,
		})
	}
	if slices.Equal(members, c.members) {
		return
	}
	c.members = members
	c.tracker.SetMembers(members)
	c.Log("members changed", "alive", len(members), "resolving", countResolving(members))
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

// activateIfAllowed activates the prepared revision if the activator allows it.
func (c *Coordinator) activateIfAllowed(now time.Time) {
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
	c.Log("revision activated", "revision", p.Revision(), "tracked-buckets", c.tracker.Tracked())
}

// expireState removes idle flow records, health reports on removed targets and ended
// ramps.
func (c *Coordinator) expireState(now time.Time) {
	if now.Sub(c.lastExpiry) < expireInterval {
		return
	}
	c.lastExpiry = now
	c.tracker.Expire(now)
	c.dropStaleReports()
	c.endRamps(now)
}

// resendLostCopies sends all records again to the balancers to which copies may
// have been lost.
func (c *Coordinator) resendLostCopies(now time.Time) {
	if len(c.lostCopies) == 0 || now.Sub(c.lastRecopy) < recopyInterval {
		return
	}
	c.lastRecopy = now
	for _, m := range c.members {
		if c.lostCopies[m.ID] {
			c.tracker.ResendRecords(m.ID)
		}
	}
	clear(c.lostCopies)
}

// endRamps removes the limits of targets whose cold-start ramp is over.
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
		if service == nil || c.limiter.RampEnded(service.ColdStart(), now.Sub(since)) {
			c.tracker.EndFresh(id)
			c.limiter.StopRamp(id)
			c.Log("cold-start ramp ended", "target", target.Name())
		}
	}
}

// startSettling begins to settle the buckets that this balancer resolves and
// whose remaining flows are all on the current target.
func (c *Coordinator) startSettling(now time.Time) {
	if c.settleRound.inProgress() || c.detector.State() != detector.Ready || now.Sub(c.lastSettling) < settleInterval {
		return
	}
	c.lastSettling = now
	rebases := c.tracker.RebaseRequests(now)
	if len(rebases) == 0 {
		return
	}
	c.startPhase(now, c.settlingPeers(now), rebases[:min(len(rebases), maxSettlements)])
}

// settlingPeers returns the balancers that must agree before a bucket settles:
// all other live ones.
func (c *Coordinator) settlingPeers(now time.Time) []tracker.MemberID {
	var peers []tracker.MemberID
	for _, m := range c.detector.Members(now) {
		peers = append(peers, m.ID())
	}
	return peers
}

// maxSettlements is how many buckets one round settles at most.
const maxSettlements = 256

// startPhase asks the other live balancers to apply a phase of settling.
func (c *Coordinator) startPhase(now time.Time, peers []tracker.MemberID, settlements []tracker.Settlement) {
	c.startRound(&c.settleRound, peers, Request{Settlements: settlements})
	c.settleRound.settlements = settlements
	c.settleRound.peers = peers
	if len(peers) == 0 {
		c.finishPhase(now)
	}
}

// finishPhase ends a phase of settling. Buckets on which every balancer agreed go
// on from Rebase to Release, and are settled after Release. A later round tries
// the remaining buckets again.
func (c *Coordinator) finishPhase(now time.Time) {
	r := c.settleRound
	c.settleRound = requestRound{}
	if r.failed {
		c.Count("settling-retried", 1)
		return
	}
	var release []tracker.Settlement
	released := 0
	for i, settlement := range r.settlements {
		if !allSettled(r.replies, i) || !c.tracker.Settle(now, settlement) {
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
	if !slices.Equal(r.peers, c.settlingPeers(now)) {
		// A balancer that joined in the meantime may hold the bucket's state from
		// before the rebase.
		c.Count("settling-retried", 1)
		return
	}
	c.startPhase(now, r.peers, release)
}

// allSettled reports whether every reply confirms the settlement with the given
// index.
func allSettled(replies []Reply, index int) bool {
	for _, r := range replies {
		if index >= len(r.Settled) || !r.Settled[index] {
			return false
		}
	}
	return true
}
