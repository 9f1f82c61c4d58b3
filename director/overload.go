package director

import (
	"maps"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/admitter"
	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// maxPictureAge is how long a picture of the load is used. Pictures arrive every second.
	maxPictureAge = 3 * time.Second
	// minLoadWindow is the least time over which this balancer's own counts are made into
	// rates.
	minLoadWindow = 900 * time.Millisecond
	// minOwnRequests is how many requests for a service this balancer must see in a
	// window to extrapolate the load of all balancers. The error of 20 is about a quarter.
	minOwnRequests = 20
)

// load holds what is known of the load, and decides which new flows are turned away.
type load struct {
	admitter admitter.Admitter
	// pictureAt is when the first picture with the latest Summary arrived, which was combined at
	// combinedAt, and usedPictureAt when the last one did that was used.
	pictureAt     time.Time
	combinedAt    time.Time
	usedPictureAt time.Time
	// own holds what this balancer saw since ownSince.
	own      map[aggregator.Class]*ownLoad
	ownSince time.Time
	changes  []admitter.Change
}

// ownLoad counts what this balancer sees of a class.
type ownLoad struct {
	openings, turnedAway, requests int
}

// TakeAdmissionChanges returns the services that began or ended to turn new flows away since
// the last call.
func (d *Director) TakeAdmissionChanges() []admitter.Change {
	changes := d.load.changes
	d.load.changes = nil
	return changes
}

// pathSmoothing is the divisor of the newest sample in the moving average of the path's time.
const pathSmoothing = 32

// recordHandshake records the time from the opening of a flow until the caller's next packet,
// in which packets travel the same way as for a request. Callers send openings again after
// answerTimeout, so a longer time tells nothing.
func (p *pool) recordHandshake(took time.Duration) {
	switch {
	case took <= 0 || took >= answerTimeout:
	case p.path == 0:
		p.path = took
	default:
		p.path += (took - p.path) / pathSmoothing
	}
}

func (l *load) ownOf(class aggregator.Class) *ownLoad {
	own := l.own[class]
	if own == nil {
		if l.own == nil {
			l.own = make(map[aggregator.Class]*ownLoad)
		}
		own = &ownLoad{}
		l.own[class] = own
	}
	return own
}

// observeLoad tells the admitter the load of the time since the last call: from a new picture,
// or from what this balancer saw itself if there has been none for maxPictureAge.
func (d *Director) observeLoad(now time.Time) {
	l := &d.load
	elapsed := now.Sub(l.ownSince)
	if elapsed < minLoadWindow {
		return
	}
	current := len(d.picture.Zones) > 0 && now.Sub(l.pictureAt) <= maxPictureAge
	if current && !l.pictureAt.After(l.usedPictureAt) {
		return
	}
	demand := make(map[string]map[int]aggregator.Demand)
	if current {
		l.usedPictureAt = l.pictureAt
		for _, zone := range d.picture.Zones {
			for class, dm := range zone.Demand {
				addDemand(demand, class, dm)
			}
		}
		if _, known := d.picture.Zones[d.zone]; !known {
			d.addOwnLoad(demand, elapsed, d.zoneBalancers)
		}
	} else {
		d.addOwnLoad(demand, elapsed, d.balancers)
	}
	var observations []admitter.Observation
	for _, service := range slices.Sorted(maps.Keys(demand)) {
		if p := d.pools[service]; p != nil {
			o := admitter.Observation{Service: service, Goal: d.goals[service], Path: p.path, Demand: demand[service], Estimated: !current}
			d.addSlots(now, p, &o)
			observations = append(observations, o)
		}
	}
	l.changes = append(l.changes, l.admitter.Observe(now, observations)...)
	l.ownSince = now
	for class, own := range l.own {
		if *own == (ownLoad{}) {
			delete(l.own, class)
		}
		*own = ownLoad{}
	}
}

// addOwnLoad adds the demand at a number of balancers that all see as much as this one. It adds
// nothing of services of which this balancer sees few requests.
func (d *Director) addOwnLoad(demand map[string]map[int]aggregator.Demand, elapsed time.Duration, balancers int) {
	requests := make(map[string]int)
	for class, own := range d.load.own {
		requests[class.Service] += own.requests
	}
	factor := float64(balancers) / elapsed.Seconds()
	for class, own := range d.load.own {
		p := d.pools[class.Service]
		if p == nil || d.fleetUnknown || requests[class.Service] < minOwnRequests {
			continue
		}
		rate := factor * float64(own.requests)
		addDemand(demand, class, aggregator.Demand{
			Openings: factor * float64(own.openings), Rejected: factor * float64(own.turnedAway),
			Requests: rate, Answered: rate, Concurrency: rate * p.demand.meanTime.Seconds(),
		})
	}
}

func addDemand(demand map[string]map[int]aggregator.Demand, class aggregator.Class, more aggregator.Demand) {
	byUrgency := demand[class.Service]
	if byUrgency == nil {
		byUrgency = make(map[int]aggregator.Demand)
		demand[class.Service] = byUrgency
	}
	sum := byUrgency[class.Urgency]
	sum.Openings += more.Openings
	sum.Rejected += more.Rejected
	sum.Requests += more.Requests
	sum.Answered += more.Answered
	sum.Concurrency += more.Concurrency
	byUrgency[class.Urgency] = sum
}

// addSlots adds the slots of the targets that accept new flows and aren't suspect.
func (d *Director) addSlots(now time.Time, p *pool, o *admitter.Observation) {
	for _, m := range p.members {
		if !d.acceptsNewFlows(m) || m.isSuspect(now) {
			continue
		}
		if rate := d.services[m.Service].ColdRate; rate > 0 && now.Before(m.coldUntil) {
			o.ColdSlots += m.slots()
			o.ColdOpenings += rate
		} else {
			o.Slots += m.slots()
		}
	}
}
