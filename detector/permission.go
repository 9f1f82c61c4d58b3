package detector

import (
	"time"
)

// suspectsAllPeers reports whether no live peer's counter has advanced within
// SuspectAge. It is then more likely that this balancer is cut off than that all others
// failed at once, and it has no records of the flows that the others resolve.
func (d *Detector) suspectsAllPeers(now time.Time) bool {
	for _, p := range d.peers {
		if !d.isRemoved(now, p) && now.Sub(p.lastAdvance) <= SuspectAge {
			return false
		}
	}
	return true
}

// Permitted reports whether this balancer may decide on packets: another balancer has
// echoed a heartbeat that was sent within the last PermitAge, and not all live peers
// are suspected. A balancer without any live peer is permitted too, since no other
// balancer can disagree with it, but only once it has sent heartbeats without a pause
// for long enough to hear of a peer (see Resumed).
func (d *Detector) Permitted(now time.Time) bool {
	if d.heartbeatsPaused(now) {
		return false
	}
	if d.hasNoLivePeer(now) {
		return !d.Resumed(now)
	}
	return now.Sub(d.lastEchoed) <= PermitAge && !d.suspectsAllPeers(now)
}

// Resumed reports whether this balancer has started, or resumed after a pause, too
// recently to be sure to have heard of the other balancers.
func (d *Detector) Resumed(now time.Time) bool {
	return d.heartbeatsPaused(now) || now.Sub(d.resumedAt) <= RemoveAge+PermitAge
}

// heartbeatsPaused reports whether this balancer has sent no heartbeat within
// PermitAge, because it has just started or its process was paused.
func (d *Detector) heartbeatsPaused(now time.Time) bool {
	return len(d.sentHeartbeats) == 0 || now.Sub(d.sentHeartbeats[len(d.sentHeartbeats)-1].sentAt) > PermitAge
}

// hasNoLivePeer reports whether no other balancer is known to be alive.
func (d *Detector) hasNoLivePeer(now time.Time) bool {
	for _, p := range d.peers {
		if !d.isRemoved(now, p) {
			return false
		}
	}
	return true
}
