package director

import (
	"time"

	"trefoilspring.example/trefoilspring/spreader"
)

const (
	// demandWindow is how long requests are counted for one sample of the demand. A
	// small balancer sees ten requests in it.
	demandWindow = time.Second
	// demandSmoothing is the weight of the newest sample in the moving average. With
	// 0.5, the average follows a burst within two windows.
	demandSmoothing = 0.5
	// minUnmeasuredShare decides where new flows go before the demand has been measured:
	// they stay in the own zone if its slots are at least this part of the mean over all
	// zones (evenZoneShare). Callers open most of their long flows in the first second, and an
	// open flow never moves to another target.
	minUnmeasuredShare = 0.5
	// localitySalt makes the choice between the own zone and all zones independent of the
	// ranking of targets.
	localitySalt = 0x686f6d65
)

// demand estimates how many requests for a service its targets work on at a time. It
// counts only requests that pass this balancer. The estimate is the rate of requests
// times the time per request (Little's law). The zero demand has measured nothing.
type demand struct {
	windowStart   time.Time
	requests      int
	timedRequests int
	totalTime     time.Duration
	// meanTime is the mean time per request in the last window that had timed requests.
	meanTime time.Duration
	// concurrency is the moving average of requests at a time. It is valid if measured is
	// true.
	concurrency float64
	measured    bool
}

// record counts a request that a packet begins, or adds the time of one that it ends.
func (dm *demand) record(now time.Time, seen observation) {
	dm.rollWindow(now)
	if seen.requestBegan {
		dm.requests++
	}
	if seen.requestTime > 0 {
		dm.timedRequests++
		dm.totalTime += seen.requestTime
	}
}

// rollWindow adds the window's sample to the estimate and starts a new window, if the window
// is over.
func (dm *demand) rollWindow(now time.Time) {
	if dm.windowStart.IsZero() {
		dm.windowStart = now
	}
	elapsed := now.Sub(dm.windowStart)
	if elapsed < demandWindow {
		return
	}
	if dm.timedRequests > 0 {
		dm.meanTime = dm.totalTime / time.Duration(dm.timedRequests)
	}
	if dm.meanTime > 0 {
		sample := float64(dm.requests) * dm.meanTime.Seconds() / elapsed.Seconds()
		if dm.measured {
			sample = demandSmoothing*sample + (1-demandSmoothing)*dm.concurrency
		}
		dm.concurrency, dm.measured = sample, true
	}
	dm.windowStart, dm.requests, dm.timedRequests, dm.totalTime = now, 0, 0, 0
}

// chooseLocal returns the highest-ranked target of the zone that the flow goes to: the own
// zone or, by the plan of its service, another one. It returns nil if no target of the zone is
// ready, or if there is no plan and the flow is among those that the own zone lacks capacity
// for.
//
// Load patterns: zones are cut off from each other, and only flows that cross between zones
// are lost; and callers of one zone send more requests than its targets can handle.
func (d *Director) chooseLocal(now time.Time, key uint64, p *pool) *member {
	zone := d.zoneFor(now, key, p)
	if zone == nil {
		return nil
	}
	var best *member
	var bestScore float64
	for _, m := range p.members {
		if !d.isReadyIn(now, m, zone) {
			continue
		}
		if s := score(key, m); s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// zoneFor returns the zone that a flow goes to, or nil if it may go to any. The plan may be older
// than the regions and targets: no flow leaves the region by it while the region has targets.
func (d *Director) zoneFor(now time.Time, key uint64, p *pool) *zoneHealth {
	position := unitInterval(hashPair(key, localitySalt))
	if s := &p.spread; s.share.Known {
		if i := s.share.Index(position); i >= 0 {
			if !d.sameRegion(s.share.Away[i].Zone) && d.hasRegionalTarget(now, p) {
				return nil
			}
			return s.zones[i]
		}
		return d.ownZone
	}
	if position >= d.localShare(now, p) {
		return nil
	}
	return d.ownZone
}

// localShare returns the part of new flows that stays in the own zone, from 0 to 1. Without a
// plan it is the part that the zone has capacity for by the demand that this balancer sees.
// The routers spread a zone's packets evenly over its balancers. The demand of the zone is
// therefore the demand that this balancer sees times the number of balancers in the zone.
func (d *Director) localShare(now time.Time, p *pool) float64 {
	if p.spread.share.Known {
		return p.spread.share.Home()
	}
	localSlots := 0.0
	for _, m := range p.members {
		if d.isReadyIn(now, m, d.ownZone) {
			localSlots += m.slots()
		}
	}
	if !p.demand.measured {
		if localSlots < minUnmeasuredShare*d.evenZoneShare(p) {
			return 0
		}
		return 1
	}
	demanded, available := p.demand.concurrency*float64(d.zoneBalancers), spreader.MaxLocalUse*localSlots
	if demanded > available {
		return available / demanded
	}
	return min(localSlots, 1)
}

// slots returns how many requests the target can work on at a time.
func (m *member) slots() float64 { return float64(max(m.Capacity, 1)) }

// weight returns the target's share of new flows in relation to other targets: its slots times
// its speed.
func (m *member) weight() float64 { return m.openingWeight }

// evenZoneShare returns the mean number of slots per zone, over the zones that have targets
// accepting new flows.
func (d *Director) evenZoneShare(p *pool) float64 {
	all := 0.0
	zones := make(map[*zoneHealth]bool, len(d.zones))
	for _, m := range p.members {
		if d.acceptsNewFlows(m) {
			all += m.slots()
			zones[m.zone] = true
		}
	}
	return all / float64(max(len(zones), 1))
}

// HasLocalTargets reports whether the own zone has targets that accept new flows. It has none if
// operators have taken the zone out.
func (d *Director) HasLocalTargets() bool {
	for _, m := range d.byName {
		if m.AvailabilityZone == d.zone && d.acceptsNewFlows(m) {
			return true
		}
	}
	return false
}

// isReadyIn reports whether a target is in a zone and ready for any new flow: it accepts new
// flows and is neither suspect nor cold.
func (d *Director) isReadyIn(now time.Time, m *member, zone *zoneHealth) bool {
	return m.zone == zone && d.acceptsNewFlows(m) && !m.isSuspect(now) && !now.Before(m.coldUntil)
}
