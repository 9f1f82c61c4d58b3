package director

import (
	"cmp"
	"slices"
	"time"
)

const (
	// zoneSuspectThreshold is how many targets of an availability zone must be found
	// unreachable in a row, with none reachable between them, for the whole zone to be
	// suspect. Three in a row are rare unless the zone itself fails: if one target of
	// seven is dead, three checks in a row find a dead target 0.3% of the time.
	zoneSuspectThreshold = 3
	// zoneSampleSize is how many other targets of a zone are checked when one is newly
	// found unreachable. A zone of a small service has fewer targets, so all of them are
	// checked, and the next request on any flow of an unreachable one is reset at once. A
	// balancer makes eight checks at a time, so the sample takes two rounds.
	zoneSampleSize = 16
	// zoneSuspectDuration is how long a zone stays suspect after one of its targets was
	// last found unreachable. It covers two rounds of rechecks, and a third for the case
	// that one is late.
	zoneSuspectDuration = 3 * recheckInterval
)

// zoneHealth is what this balancer has observed of all targets of one availability zone
// together. Load pattern: a zone with hundreds of targets is cut off or loses power. The
// first few targets that are found unreachable make the whole zone suspect. The failure of
// each other target then need not be detected separately, by a check of that target or by
// callers that get no answer.
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

// recordStillUnreachable records that a further check of an unreachable target failed. It
// prolongs the suspicion of a suspect zone.
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

// handleUnreachable records a target that was newly found unreachable. Unless the zone was
// suspect before, it requests checks of up to zoneSampleSize other targets of the zone. If the
// zone becomes suspect, it also requests checks of all targets of the zone that have tracked
// flows, since a target's flows are reset only after a failed check of that target itself.
func (d *Director) handleUnreachable(now time.Time, m *member) {
	z := m.zone
	became := z.recordUnreachable(now)
	if z.isSuspect(now) && !became {
		return
	}
	for n, other := range d.reachableNeighbours(m) {
		if n < zoneSampleSize || became && d.flows.hasFlows(other.ID) {
			d.requestCheck(now, other)
		}
	}
}

// handleReachable records that a target of a zone was found reachable, which ends the zone's
// suspicion. If the zone was suspect, handleReachable requests checks of its unreachable
// targets, since only a few targets of a suspect zone are rechecked regularly.
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
