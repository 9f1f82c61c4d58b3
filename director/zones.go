package director

import (
	"cmp"
	"slices"
	"time"
)

const (
	// zoneSuspectThreshold is how many targets of an availability zone must be found
	// unreachable in a row, with none reachable between them, for the whole zone to be
	// suspect. Three in a row are rare among the targets that fail on an ordinary day:
	// with one target of seven dead, it happens 0.3% of the time.
	zoneSuspectThreshold = 3
	// zoneSampleSize is how many other targets of a zone are checked when one is newly
	// found unreachable. It covers a whole zone of a small service, so that the next
	// request on any flow of these targets is reset at once, and takes two rounds of the
	// eight checks that a balancer makes at a time.
	zoneSampleSize = 16
	// zoneSuspectDuration is how long a zone stays suspect after one of its targets was
	// last found unreachable: two rounds of rechecks, and one that is late.
	zoneSuspectDuration = 3 * recheckInterval
)

// zoneHealth is what this balancer has observed of all targets of one availability zone
// together. Load pattern: a zone with hundreds of targets is cut off or loses power. The
// first few targets that are found unreachable make the whole zone suspect, so the failure
// of the other targets needn't be detected one by one, by their callers or by as many
// checks.
type zoneHealth struct {
	consecutiveUnreachable int
	suspectUntil           time.Time
}

// recordUnreachable records a target that was newly found unreachable, and reports whether
// the zone has become suspect because of it.
func (z *zoneHealth) recordUnreachable(now time.Time) bool {
	z.consecutiveUnreachable++
	if z.consecutiveUnreachable < zoneSuspectThreshold {
		return false
	}
	became := !z.isSuspect(now)
	z.suspectUntil = now.Add(zoneSuspectDuration)
	return became
}

// recordStillUnreachable records a target that another check found unreachable again.
func (z *zoneHealth) recordStillUnreachable(now time.Time) {
	if z.isSuspect(now) {
		z.suspectUntil = now.Add(zoneSuspectDuration)
	}
}

func (z *zoneHealth) isSuspect(now time.Time) bool { return now.Before(z.suspectUntil) }

// zoneHealthOf returns the health of an availability zone, and creates it if necessary.
func (d *Director) zoneHealthOf(name string) *zoneHealth {
	z := d.zones[name]
	if z == nil {
		z = &zoneHealth{}
		d.zones[name] = z
	}
	return z
}

// isSuspect reports whether the target or its zone is suspect. A suspect target ranks last.
func (m *member) isSuspect(now time.Time) bool {
	return m.health.isSuspect(now) || m.zone.isSuspect(now)
}

// handleUnreachable records a target that was newly found unreachable. It requests checks of a
// few other targets of the zone, unless the zone was suspect before. When the zone becomes
// suspect, it also requests checks of all targets of the zone that have tracked flows, since a
// target's flows are reset only after a failed check of that target itself.
func (d *Director) handleUnreachable(now time.Time, m *member) {
	z := m.zone
	became := z.recordUnreachable(now)
	if z.isSuspect(now) && !became {
		return
	}
	for n, other := range d.reachableNeighbours(m) {
		if n < zoneSampleSize || became && d.flows.hasFlows(other.token) {
			d.requestCheck(now, other)
		}
	}
}

// handleReachable records that a target of a zone was found reachable, which ends the zone's
// suspicion. If the zone was suspect, handleReachable requests checks of its unreachable
// targets, since most of them were not checked again in the meantime.
func (d *Director) handleReachable(now time.Time, z *zoneHealth) {
	wasSuspect := z.isSuspect(now)
	*z = zoneHealth{}
	if !wasSuspect {
		return
	}
	for _, m := range d.byName {
		if m.zone == z && m.health.unreachable {
			d.requestCheck(now, m)
		}
	}
}

// reachableNeighbours returns the other targets of m's zone that aren't known to be
// unreachable. The order differs between balancers, so that they don't all check the same
// targets.
func (d *Director) reachableNeighbours(m *member) []*member {
	var all []*member
	for _, other := range d.byName {
		if other != m && other.AvailabilityZone == m.AvailabilityZone && !other.health.unreachable {
			all = append(all, other)
		}
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(d.balancerOffset(a), d.balancerOffset(b)) })
	return all
}
