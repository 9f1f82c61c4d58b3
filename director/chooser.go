package director

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose returns the target for a new flow, or nil if no target accepts the flow. key is the
// flow's flowKey. Targets are ranked by weighted rendezvous hashing, so balancers with the
// same view choose the same target.
//
// A new flow stays in the own availability zone as far as the zone has capacity. A network
// partition between zones then doesn't break the flow.
func (d *Director) choose(now time.Time, key uint64, route Route) *member {
	p := d.pools[pickService(key, route.Backends)]
	if p == nil {
		return nil
	}
	if m := d.chooseLocal(now, key, p); m != nil {
		return m
	}
	var tried [maxColdTries]*member
	for n := range tried {
		m := d.bestRanked(now, key, p, tried[:n])
		if m == nil {
			return nil
		}
		if d.admitOpening(now, m) {
			return m
		}
		tried[n] = m
	}
	return nil
}

// maxColdTries bounds how many cold targets are tried in turn for a new flow.
const maxColdTries = 8

// admitOpening reports whether a target accepts one more new flow now. A cold target accepts
// only this balancer's share of the service's ColdRate, and each admitted flow counts against
// this share. It accepts none while the number of balancers is unknown. A target without a token of its own accepts none.
func (d *Director) admitOpening(now time.Time, m *member) bool {
	if d.tokens.Issue(m.ID) == 0 {
		return false
	}
	if !now.Before(m.coldUntil) {
		return true
	}
	rate := d.services[m.Service].ColdRate
	return rate <= 0 || !d.fleetUnknown && m.pacer.Take(now, rate, d.balancers, d.balancerOffset(m))
}

// balancerOffset returns a number between 0 and 1 for a target, which differs between
// balancers. It staggers the first flows that the balancers send to a cold target, and varies
// the order in which they check the targets of a zone.
func (d *Director) balancerOffset(m *member) float64 {
	return unitInterval(hashPair(d.seed, m.ID))
}

// bestRanked returns the highest-ranked target that isn't in tried, or nil if there is
// none. Targets of the own region come first, then targets of other regions, and
// suspect targets of any region last.
func (d *Director) bestRanked(now time.Time, key uint64, p *pool, tried []*member) *member {
	const sameRegion, otherRegion, suspect, classes = 0, 1, 2, 3
	var best [classes]*member
	var bestScore [classes]float64
	for _, m := range p.members {
		if !d.acceptsNewFlows(m) || contains(tried, m) {
			continue
		}
		class := otherRegion
		switch {
		case m.isSuspect(now):
			class = suspect
		case d.regions[m.AvailabilityZone] == d.regions[d.zone]:
			class = sameRegion
		}
		if s := score(key, m); s > bestScore[class] {
			best[class], bestScore[class] = m, s
		}
	}
	return cmp.Or(best[sameRegion], best[otherRegion], best[suspect])
}

// acceptsNewFlows reports whether a target isn't draining and operators haven't taken its
// availability zone out.
func (d *Director) acceptsNewFlows(m *member) bool {
	return !m.Draining && !d.zonesOut[m.AvailabilityZone]
}

// hasOpenTarget reports whether a target of the service accepts new flows, though its rate
// may be used up while it is cold.
func (d *Director) hasOpenTarget(service string) bool {
	p := d.pools[service]
	return p != nil && slices.ContainsFunc(p.members, d.acceptsNewFlows)
}

// score returns the score of a target for a flow, weighted by the target's capacity and speed. The
// target with the highest score ranks first.
func score(key uint64, m *member) float64 {
	return -m.weight() / math.Log(unitInterval(hashPair(key, m.ID)))
}

func contains(members []*member, m *member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}

// pickService picks the service for a flow by the weights of the route's backends.
func pickService(key uint64, backends []Backend) string {
	total := 0.0
	for _, b := range backends {
		total += b.Weight
	}
	at := unitInterval(hashPair(key, 0)) * total
	for _, b := range backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	if len(backends) == 0 {
		return ""
	}
	// Rounding errors can make at reach the last weight.
	return backends[len(backends)-1].Service
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var data [16]byte
	binary.BigEndian.PutUint64(data[:], a)
	binary.BigEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// unitInterval maps a hash to a number greater than 0 and less than 1.
func unitInterval(h uint64) float64 {
	const bits = 53 // the precision of a float64
	return (float64(h>>(64-bits)) + 0.5) / (1 << bits)
}
