package director

import (
	"cmp"
	"slices"
	"time"
)

const (
	// zoneMisses is how many targets of an availability zone in a row must be found
	// unreachable, with none reachable between them, for the whole zone to be
	// suspect. Three of an ordinary day's dead targets in a row are rare: with one
	// target of seven dead, 0.3% of the time.
	zoneMisses = 3
	// zoneSamples is how many others of its zone are checked when a target is found
	// unreachable: all of a zone of a small service, so that the next request on any
	// of its flows is told at once, and two rounds of the eight checks that a
	// balancer makes at a time.
	zoneSamples = 16
	// zoneSuspectFor is how long a zone stays suspect after the last target that was
	// found unreachable: two rounds of checks of such targets, and one that is late.
	zoneSuspectFor = 3 * recheckPause
)

// zoneEvidence is what a balancer has found of the targets of one availability
// zone together. It answers the load pattern of a zone that is cut off or without
// power with hundreds of targets: the first few that are found unreachable speak
// for the others, so that neither their callers nor as many checks find out one by
// one.
type zoneEvidence struct {
	misses       int
	suspectUntil time.Time
}

// missed notes a target that was newly found unreachable, and reports whether the
// zone has become suspect by it.
func (z *zoneEvidence) missed(now time.Time) bool {
	z.misses++
	if z.misses < zoneMisses {
		return false
	}
	became := !z.suspect(now)
	z.suspectUntil = now.Add(zoneSuspectFor)
	return became
}

// confirmed notes that a target is still unreachable.
func (z *zoneEvidence) confirmed(now time.Time) {
	if z.suspect(now) {
		z.suspectUntil = now.Add(zoneSuspectFor)
	}
}

func (z *zoneEvidence) suspect(now time.Time) bool { return now.Before(z.suspectUntil) }

// zoneEvidenceOf returns the evidence of an availability zone.
func (d *Director) zoneEvidenceOf(name string) *zoneEvidence {
	z := d.zones[name]
	if z == nil {
		z = &zoneEvidence{}
		d.zones[name] = z
	}
	return z
}

// suspect reports whether something speaks against a target, so that it is chosen
// last.
func (m *member) suspect(now time.Time) bool {
	return m.evidence.suspect(now) || m.zone.suspect(now)
}

// found notes a target that was newly found unreachable. A few others of its zone
// are checked, unless the zone is suspect already; when it becomes so, those whose
// flows pass here, since only a check of its own lets a target's flows be reset.
func (d *Director) found(now time.Time, m *member) {
	z := m.zone
	became := z.missed(now)
	if z.suspect(now) && !became {
		return
	}
	for n, other := range d.neighbours(m) {
		if n < zoneSamples || became && d.flows.settledOn(other.token) {
			d.doubt(now, other)
		}
	}
}

// reached notes a target of a zone that was reached. If the zone was suspect, the
// targets that were found unreachable meanwhile are checked, since most of them were
// left alone.
func (d *Director) reached(now time.Time, z *zoneEvidence) {
	wasSuspect := z.suspect(now)
	*z = zoneEvidence{}
	if !wasSuspect {
		return
	}
	for _, m := range d.byName {
		if m.zone == z && m.evidence.unreachable {
			d.doubt(now, m)
		}
	}
}

// neighbours returns the targets of a zone that aren't known to be unreachable, in
// an order that differs between balancers, so that they don't all check the same.
func (d *Director) neighbours(m *member) []*member {
	var all []*member
	for _, other := range d.byName {
		if other != m && other.AvailabilityZone == m.AvailabilityZone && !other.evidence.unreachable {
			all = append(all, other)
		}
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(d.phase(a), d.phase(b)) })
	return all
}
