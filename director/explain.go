package director

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

// Explanation says what a Director would do with the packets of a flow.
type Explanation struct {
	// Route and Service are empty if no route has the flow's destination address.
	Route   string
	Service string
	// Tracked reports whether the flow is tracked: one of its packets was seen in the
	// last few seconds.
	Tracked bool
	// Admission says how the flow competes for the room of Service.
	Admission Admission
	// Opening is the decision on an opening packet of the flow. Established is the
	// decision on a later packet, which carries the token that the tracked flow is
	// pinned to or else the token of Opening.
	Opening     Decision
	Established Decision
	// Placement says in which zone a new flow of this caller's address and port belongs.
	Placement Placement
	// Cold says what the limits of cold targets do to a new flow.
	Cold ColdLimits
	// Speed is the speed of the target of Opening, or of the highest-ranked target if all were
	// passed over; see aggregator.Summary. It is 0 if there is neither.
	Speed float64
}

// ColdLimits says what the limits of cold targets do to a new flow.
type ColdLimits struct {
	// Target reports whether the target of Explanation.Opening is cold. Passed is how many
	// cold targets rank before it, or before none, and accept no flow now.
	Target bool
	Passed int
	// Rate is how many new flows a second a cold target of the service may get from all
	// balancers together, 0 if it isn't limited. Balancers is the number that share it,
	// 0 if it isn't known; cold targets with a limit then get none from here.
	Rate      float64
	Balancers int
}

// Explain returns the decisions on the packets of the flow of p, and changes nothing.
func (d *Director) Explain(now time.Time, p *Packet) Explanation {
	if !d.configured {
		refusal := Decision{Action: Drop, Reason: ReasonNoView}
		return Explanation{Opening: refusal, Established: refusal}
	}
	key := flowKey(p)
	f := d.flows.find(key)
	e := Explanation{Tracked: f != nil}
	route, routed := d.routes[p.Destination]
	if routed {
		e.Route, e.Service = route.Name, pickService(key, route.Backends)
		e.Opening, e.Cold = d.explainOpening(now, key, f, e.Service)
		e.Placement = d.explainPlacement(now, key, e.Service)
		var admitted bool
		class := classOf(key, route)
		e.Admission, admitted = d.explainAdmission(now, key, p, class)
		if f == nil && !admitted || f != nil && f.turnedAway {
			e.Opening = refuseAdmission(class)
		}
	} else {
		since, sought := d.absentRoutes.sought(p.Destination)
		e.Opening = refuse(sought && d.isAbsent(now, since), ReasonNoRoute, ReasonUnknownRoute)
	}
	token := e.Opening.Token
	e.Speed = d.explainSpeed(now, key, &e)
	if f != nil && f.pinned != 0 {
		token = f.pinned
	}
	switch m, ok := d.tokens.Find(now, token); {
	case !routed && f != nil && d.viewCovers(f.firstSeen):
		e.Established = Decision{Action: Reset, Reason: ReasonNoRoute}
	case token == 0:
		e.Established = Decision{Action: Drop, Reason: ReasonNoToken}
	case !ok:
		e.Established = Decision{Action: Drop, Reason: ReasonUnknownToken}
	case d.removed.has(m):
		e.Established = d.decideRemoved(now, &Packet{Token: token}, token, m, route)
	case d.mayReset(m, route):
		e.Established = Decision{Action: Reset, Reason: ReasonTargetUnreachable, Target: &m.Target, Token: token}
	default:
		e.Established = Decision{Action: Forward, Reason: flowReason(routed), Target: &m.Target, Token: token}
	}
	return e
}

// explainSpeed returns Explanation.Speed.
func (d *Director) explainSpeed(now time.Time, key uint64, e *Explanation) float64 {
	var m *member
	switch {
	case e.Opening.Target != nil:
		m = d.byName[e.Opening.Target.Name]
	case e.Cold.Passed > 0:
		m = d.bestRanked(now, key, d.pools[e.Service], nil)
	}
	if m == nil {
		return 0
	}
	return m.speed()
}

// explainOpening returns the decision on an opening packet of the flow with this key.
func (d *Director) explainOpening(now time.Time, key uint64, f *flow, service string) (Decision, ColdLimits) {
	limits := ColdLimits{Rate: d.services[service].ColdRate}
	if !d.fleetUnknown {
		limits.Balancers = d.balancers
	}
	if f != nil {
		for _, token := range [...]tokenizer.Token{f.pinned, f.openingToken} {
			if m, ok := d.registered(now, token); ok {
				limits.Target = now.Before(m.coldUntil)
				return d.forwardOpening(m, ReasonOpeningRepeated), limits
			}
		}
	}
	if p := d.pools[service]; p != nil {
		m := d.chooseLocal(now, key, p)
		if m == nil {
			m, limits.Passed = d.explainRanked(now, key, p)
		}
		if m != nil {
			limits.Target = now.Before(m.coldUntil)
			return d.forwardOpening(m, ReasonOpening), limits
		}
	}
	since, sought := d.absentTargets.sought(service)
	certain := d.hasOpenTarget(service) || sought && d.isAbsent(now, since)
	return refuse(certain, ReasonNoTarget, ReasonUnknownTarget), limits
}

// explainRanked returns the highest-ranked target of any zone that accepts a new flow now, or
// nil, and how many cold targets that don't were tried before. It counts no flow.
func (d *Director) explainRanked(now time.Time, key uint64, p *pool) (*member, int) {
	var tried []*member
	cold := 0
	for len(tried) < maxColdTries {
		m := d.bestRanked(now, key, p, tried)
		if m == nil {
			break
		}
		if probe := *m; d.admitOpening(now, &probe) {
			return m, cold
		}
		tried = append(tried, m)
		if now.Before(m.coldUntil) {
			cold++
		}
	}
	return nil, cold
}

// HealthSummary lists the targets and availability zones that get no new flows or get them
// only as a last resort, and the services whose flows leave the own zone. All names are sorted.
type HealthSummary struct {
	// UnreachableTargets lists the targets whose last check failed.
	UnreachableTargets []string
	// SuspectZones lists the zones where so many checks in a row failed that all targets of
	// the zone rank last.
	SuspectZones []string
	// ZonesOut lists the zones that operators have taken out.
	ZonesOut []string
	// CrowdedServices lists the services whose targets in the own zone lack the capacity
	// for all callers of the zone, so that some flows go to other zones.
	CrowdedServices []string
	// SlowTargets lists the targets that get fewer new flows since they answer slowly.
	SlowTargets []string
	// LimitedServices lists the services that turn some new flows away, since callers ask
	// for more than all of their targets can do.
	LimitedServices []string
}

// HealthSummary returns the lists as of now.
func (d *Director) HealthSummary(now time.Time) HealthSummary {
	var s HealthSummary
	for name, m := range d.byName {
		if m.health.unreachable {
			s.UnreachableTargets = append(s.UnreachableTargets, name)
		}
		if m.slow {
			s.SlowTargets = append(s.SlowTargets, name)
		}
	}
	for name, z := range d.zones {
		if z.isSuspect(now) {
			s.SuspectZones = append(s.SuspectZones, name)
		}
	}
	for name := range d.zonesOut {
		s.ZonesOut = append(s.ZonesOut, name)
	}
	for service, p := range d.pools {
		if d.localShare(now, p) < 1 {
			s.CrowdedServices = append(s.CrowdedServices, service)
		}
	}
	s.LimitedServices = d.load.admitter.Limited(now)
	slices.Sort(s.CrowdedServices)
	slices.Sort(s.SlowTargets)
	slices.Sort(s.UnreachableTargets)
	slices.Sort(s.SuspectZones)
	slices.Sort(s.ZonesOut)
	return s
}
