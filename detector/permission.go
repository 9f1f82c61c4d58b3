package detector

import (
	"time"
)

// suspectsAll reports whether no live peer was heard of lately. It is more likely
// that this balancer was cut off than that all others died at once, and it has no
// records of what they resolve.
func (d *Detector) suspectsAll(now time.Time) bool {
	for _, p := range d.peers {
		if !d.dead(now, p) && now.Sub(p.advanced) <= SuspectAge {
			return false
		}
	}
	return true
}

// Permitted reports whether the others still count on this balancer. Without any
// live peer it is permitted, since nobody is left to disagree, once it has sent
// heartbeats without a pause for long enough to hear of one.
func (d *Detector) Permitted(now time.Time) bool {
	if d.paused(now) {
		return false
	}
	if d.alone(now) {
		return !d.Resumed(now)
	}
	return now.Sub(d.echoed) <= PermitAge && !d.suspectsAll(now)
}

// Resumed reports whether this balancer has not yet sent heartbeats for long enough
// to hear of others, since its start or since it was last paused.
func (d *Detector) Resumed(now time.Time) bool {
	return d.paused(now) || now.Sub(d.since) <= RemoveAge+PermitAge
}

func (d *Detector) paused(now time.Time) bool {
	return len(d.beats) == 0 || now.Sub(d.beats[len(d.beats)-1].sent) > PermitAge
}

// alone reports whether no other balancer is alive.
func (d *Detector) alone(now time.Time) bool {
	for _, p := range d.peers {
		if !d.dead(now, p) {
			return false
		}
	}
	return true
}
