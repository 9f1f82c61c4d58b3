package detector

import (
	"time"
)

// suspectsAllPeers reports whether no live peer's counter has advanced within
// SuspectTimeout. It is then more likely that this balancer is cut off than that all others
// failed at once, and it has no records of the flows that the others resolve.
func (d *Detector) suspectsAllPeers(now time.Time) bool {
	for _, p := range d.peers {
		if !d.isRemoved(now, p) && now.Sub(p.lastHeartbeat) <= SuspectTimeout {
			return false
		}
	}
	return true
}

// MayDecide reports whether this balancer may decide on packets: another balancer has
// echoed a heartbeat that was sent within the last PermissionTimeout, and not all live
// peers are suspected. A balancer without any live peer may decide too, since no other
// balancer can disagree with it, but only once it has sent heartbeats without a pause
// for long enough to hear of a peer (see RecentlyResumed).
func (d *Detector) MayDecide(now time.Time) bool {
	if d.heartbeatsPaused(now) {
		return false
	}
	if d.hasNoLivePeer(now) {
		return !d.RecentlyResumed(now)
	}
	return now.Sub(d.lastEchoed) <= PermissionTimeout && !d.suspectsAllPeers(now)
}

// RecentlyResumed reports whether this balancer has started, or resumed after a pause,
// too recently to be sure to have heard of the other balancers.
func (d *Detector) RecentlyResumed(now time.Time) bool {
	return d.heartbeatsPaused(now) || now.Sub(d.resumedAt) <= RemoveTimeout+PermissionTimeout
}

// heartbeatsPaused reports whether this balancer has sent no heartbeat within
// PermissionTimeout, because it has just started or its process was paused.
func (d *Detector) heartbeatsPaused(now time.Time) bool {
	return len(d.sentHeartbeats) == 0 || now.Sub(d.sentHeartbeats[len(d.sentHeartbeats)-1].sentAt) > PermissionTimeout
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
