package director

import (
	"cmp"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose picks the target of an opening, other than avoid, by weighted rendezvous
// hashing: balancers with the same view pick the same, so a copy of an opening
// that reaches another balancer goes to the same target. It returns nil if no
// target may take the flow.
//
// An opening goes to the own availability zone, which no cut between zones takes
// away, as far as the zone has room.
func (d *Director) choose(now time.Time, key uint64, route Route, avoid *member) *member {
	p := d.pools[pickService(key, route.Backends)]
	if p == nil {
		return nil
	}
	if m := d.local(now, key, p, avoid); m != nil {
		return m
	}
	var tried [maxColdTries]*member
	for n := range tried {
		m := d.best(now, key, p, avoid, tried[:n])
		if m == nil {
			return nil
		}
		if d.mayOpen(now, m) {
			return m
		}
		tried[n] = m
	}
	return nil
}

// maxColdTries bounds how many cold targets an opening is offered to in turn.
const maxColdTries = 8

// mayOpen reports whether a target takes one more opening: a cold one only within
// this balancer's share.
func (d *Director) mayOpen(now time.Time, m *member) bool {
	if !now.Before(m.coldUntil) {
		return true
	}
	rate := d.services[m.Service].ColdRate
	return rate <= 0 || m.pacer.Take(now, rate, d.holders, d.phase(m))
}

// phase spreads the first openings of the balancers on a cold target.
func (d *Director) phase(m *member) float64 {
	return unit(hash2(d.seed, m.ID))
}

// best returns the ranking's first that is neither avoided nor tried: of the own
// region, or else of others, or else of those that something speaks against.
func (d *Director) best(now time.Time, key uint64, p *pool, avoid *member, tried []*member) *member {
	const near, far, doubtful, classes = 0, 1, 2, 3
	var best [classes]*member
	var bestScore [classes]float64
	for _, m := range p.members {
		if m == avoid || !d.usable(m) || holds(tried, m) {
			continue
		}
		class := far
		switch {
		case m.suspect(now):
			class = doubtful
		case d.regions[m.AvailabilityZone] == d.regions[d.zone]:
			class = near
		}
		if s := score(key, m); s > bestScore[class] {
			best[class], bestScore[class] = m, s
		}
	}
	return cmp.Or(best[near], best[far], best[doubtful])
}

// usable reports whether a target takes new flows by what it and the operators say.
func (d *Director) usable(m *member) bool {
	return !m.Draining && !d.out[m.AvailabilityZone]
}

// score is a target's place in a flow's ranking, weighted by its capacity.
func score(key uint64, m *member) float64 {
	return -m.slots() / math.Log(unit(hash2(key, m.ID)))
}

func holds(members []*member, m *member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}

// pickService picks the service of a flow by the weights of the route's backends.
func pickService(key uint64, backends []Backend) string {
	total := 0.0
	for _, b := range backends {
		total += b.Weight
	}
	at := unit(hash2(key, 0)) * total
	for _, b := range backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	if len(backends) == 0 {
		return ""
	}
	return backends[len(backends)-1].Service
}

func hash2(a, b uint64) uint64 {
	var data [16]byte
	binary.BigEndian.PutUint64(data[:], a)
	binary.BigEndian.PutUint64(data[8:], b)
	return xxhash.Sum64(data[:])
}

// unit maps a hash into the open interval from 0 to 1.
func unit(h uint64) float64 {
	const bits = 53
	return (float64(h>>(64-bits)) + 0.5) / (1 << bits)
}
