package director

import "time"

const (
	// homeUse is the part of the own zone's slots that its callers' requests may fill
	// before some of their flows go to other zones. With three slots a target and
	// half of them in use, one request in four waits, for 10 ms on average.
	homeUse = 0.5
	// demandWindow is how long requests are counted for one sample of the demand. A
	// small balancer sees ten requests in it.
	demandWindow = time.Second
	// demandWeight is the weight of the newest sample beside all earlier ones: with
	// a half, a burst is believed after two windows.
	demandWeight = 0.5
	// trustedShare is the part of an even share of all slots that the own zone must
	// have for its flows to stay before the demand has been measured. Callers open most
	// of their long flows in the first second, and those stay where they are.
	trustedShare = 0.5
	// homeSalt keeps the decision to stay in the zone apart from the ranking.
	homeSalt = 0x686f6d65
)

// demand estimates how many requests for a service are at its targets at a time, of
// those that pass this balancer. It is the product of their rate and of the time that
// targets take (Little's law). The zero demand has seen nothing.
type demand struct {
	since    time.Time
	requests int
	timed    int
	took     time.Duration
	// mean is the time of a request in the last window that had answers.
	mean       time.Duration
	concurrent float64
	known      bool
}

// observe counts a request that a packet begins, or the time of one that it ends.
func (m *demand) observe(now time.Time, seen observation) {
	m.roll(now)
	if seen.began {
		m.requests++
	}
	if seen.took > 0 {
		m.timed++
		m.took += seen.took
	}
}

// roll ends the window if it is over.
func (m *demand) roll(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	elapsed := now.Sub(m.since)
	if elapsed < demandWindow {
		return
	}
	if m.timed > 0 {
		m.mean = m.took / time.Duration(m.timed)
	}
	if m.mean > 0 {
		sample := float64(m.requests) * m.mean.Seconds() / elapsed.Seconds()
		if m.known {
			sample = demandWeight*sample + (1-demandWeight)*m.concurrent
		}
		m.concurrent, m.known = sample, true
	}
	m.since, m.requests, m.timed, m.took = now, 0, 0, 0
}

// local returns the ranking's first of the own zone that isn't avoided. It returns nil if
// none is ready, or if the flow is one of those that the zone has no room for. A copy of
// an opening, which avoids the first one's target, gets a local target in any case.
//
// It answers two load patterns: zones that are cut off from each other, where only flows
// that cross a cut are lost, and callers of one zone who ask for more than its targets
// bear.
func (d *Director) local(now time.Time, key uint64, p *pool, avoid *member) *member {
	if avoid == nil && unit(hash2(key, homeSalt)) >= d.homeShare(now, p) {
		return nil
	}
	var best *member
	var bestScore float64
	for _, m := range p.members {
		if m == avoid || !d.isHome(now, m) {
			continue
		}
		if s := score(key, m); s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// homeShare returns the part of new flows that the own zone has room for, from 0 to 1.
// The routers spread a zone's packets evenly over its balancers, so what passes here is
// a known part of what the zone's callers ask for.
func (d *Director) homeShare(now time.Time, p *pool) float64 {
	home := 0.0
	for _, m := range p.members {
		if d.isHome(now, m) {
			home += m.slots()
		}
	}
	if !p.demand.known {
		if home < trustedShare*d.evenShare(p) {
			return 0
		}
		return 1
	}
	asked, room := p.demand.concurrent*float64(d.zoneHolders), homeUse*home
	if asked > room {
		return room / asked
	}
	return min(home, 1)
}

// slots returns how many requests the target can work on at a time.
func (m *member) slots() float64 { return float64(max(m.Capacity, 1)) }

// evenShare returns how many slots each zone that has any would have, if all had as many.
func (d *Director) evenShare(p *pool) float64 {
	all := 0.0
	zones := make(map[*zoneEvidence]bool, len(d.zones))
	for _, m := range p.members {
		if d.usable(m) {
			all += m.slots()
			zones[m.zone] = true
		}
	}
	return all / float64(max(len(zones), 1))
}

// ServesZone reports whether the own zone has targets that take new flows, and isn't
// taken out itself.
func (d *Director) ServesZone() bool {
	for _, m := range d.byName {
		if m.AvailabilityZone == d.zone && d.usable(m) {
			return true
		}
	}
	return false
}

// isHome reports whether a target is in the own zone and ready for any flow: a cold one
// isn't.
func (d *Director) isHome(now time.Time, m *member) bool {
	return m.AvailabilityZone == d.zone && d.usable(m) && !m.suspect(now) && !now.Before(m.coldUntil)
}
