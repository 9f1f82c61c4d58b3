package director

import (
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/limiter"
)

// Backend is a service that a route sends flows to, with its weight.
type Backend struct {
	Service string
	// Weight is the share of new flows relative to the route's other backends.
	Weight float64
}

// Route maps an address to the services that its new flows go to.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Backends []Backend
	// Idempotent reports whether the requests on the route are idempotent, so that
	// callers may repeat a request that has already run.
	Idempotent bool
	// Urgency is the rank of the route's requests if there is too little room for all; 0 is
	// the most urgent.
	Urgency int
	// Goal is the time within which callers want an answer, and Timeout that after which an
	// answer is of no use. Both are 0 if the configuration doesn't say.
	Goal    time.Duration
	Timeout time.Duration
}

// Service holds the operators' settings of one service.
type Service struct {
	Name string
	// ColdRate is how many new flows per second a cold target (one that is warming up)
	// may get from all balancers together. It isn't limited if ColdRate is 0.
	ColdRate float64
}

// Configuration is one accepted version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
}

// Target is the registration of one target.
type Target struct {
	// Name is the key of the registration, ID the number that identifies the target in
	// packets.
	Name string
	ID   uint64
	// Started differs between two runs of a target under the same name.
	Started          int64
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	// Capacity is how many requests the target can work on at a time.
	Capacity int
	Draining bool
	// ColdFor is how much longer the target stayed cold when the registration was last
	// written. SetTarget counts it from the time of its call.
	ColdFor time.Duration
}

// member is a registered target with the balancer's own observations of it.
type member struct {
	Target
	coldUntil time.Time
	// addedAt is when this run of the target was added.
	addedAt time.Time
	// openingWeight is the target's weight; see setSpeed. slow reports whether the target
	// was last reported as slow.
	ownSpeed, openingWeight float64
	slow                    bool
	// lapsed reports whether the registration was removed during an outage of the store.
	lapsed bool
	pacer  limiter.Pacer
	health targetHealth
	zone   *zoneHealth
}

// pool holds the targets of one service.
type pool struct {
	members []*member
	demand  demand
	spread  spread
	// path is the mean time that packets travel between this balancer, a target and the
	// caller, or 0 if it isn't known.
	path time.Duration
}

func (p *pool) remove(m *member) {
	for i, other := range p.members {
		if other == m {
			p.members = append(p.members[:i], p.members[i+1:]...)
			return
		}
	}
}

// SetConfiguration puts a configuration into force and returns true. It ignores a
// configuration that is not newer than the one in force, and returns false.
func (d *Director) SetConfiguration(c Configuration) bool {
	if d.configured && c.Version <= d.version {
		return false
	}
	d.configured = true
	d.version = c.Version
	before := d.routes
	d.routes = make(map[netip.AddrPort]Route, len(c.Routes))
	for _, r := range c.Routes {
		d.routes[r.Address] = r
		d.absentRoutes.end(r.Address)
	}
	for address := range before {
		if _, kept := d.routes[address]; !kept {
			d.absentRoutes.addRemoved(address)
		}
	}
	d.goals = make(map[string]time.Duration)
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if shortest, known := d.goals[b.Service]; r.Goal > 0 && (!known || r.Goal < shortest) {
				d.goals[b.Service] = r.Goal
			}
		}
	}
	d.services = make(map[string]Service, len(c.Services))
	for _, s := range c.Services {
		d.services[s.Name] = s
	}
	return true
}

// Version returns the version of the configuration in force, and whether there is one.
func (d *Director) Version() (uint64, bool) { return d.version, d.configured }

// SetTarget adds a registered target, or updates it if it is known. A target under the same
// name with another Started, Service or ID replaces the known one. A target whose ID another
// registered target has is ignored.
//
// A run of a target that was draining stays so, also if the store came back from a copy that
// is older than its report.
func (d *Director) SetTarget(now time.Time, t Target) {
	old := d.byName[t.Name]
	d.drained.apply(now, &t)
	if old != nil && old.Started == t.Started && old.Service == t.Service && old.ID == t.ID {
		old.Target = t
		old.setSpeed(old.speed())
		old.zone = d.zoneHealthOf(t.AvailabilityZone)
		old.coldUntil = now.Add(t.ColdFor)
		old.lapsed = false
		return
	}
	if old != nil && old.ID != t.ID {
		d.removeMember(now, old)
		old = nil
	}
	if old == nil && d.idTaken(t.ID) {
		return
	}
	if old != nil {
		d.pools[old.Service].remove(old)
	}
	m := &member{Target: t, addedAt: now, coldUntil: now.Add(t.ColdFor), zone: d.zoneHealthOf(t.AvailabilityZone)}
	m.setSpeed(1)
	d.tokens.Add(now, t.ID, m)
	d.byName[t.Name] = m
	d.removed.remove(t.ID)
	p := d.pools[t.Service]
	if p == nil {
		p = &pool{}
		d.pools[t.Service] = p
	}
	p.members = append(p.members, m)
}

// idTaken reports whether a registered target has an ID.
func (d *Director) idTaken(id uint64) bool {
	m, known := d.tokens.Get(id)
	return known && !d.removed.has(m)
}

// RemoveTarget removes a target whose registration was removed or can't be read. During an
// outage of the store (SetOutage) the registration may have lapsed only because the store
// was unreachable. A target that isn't draining is then kept until the outage ends.
func (d *Director) RemoveTarget(now time.Time, name string) {
	m := d.byName[name]
	if m == nil {
		return
	}
	if !m.Draining && now.Before(d.outageEnd) {
		m.lapsed = true
		return
	}
	d.removeMember(now, m)
}

func (d *Director) removeMember(now time.Time, m *member) {
	delete(d.byName, m.Name)
	d.pools[m.Service].remove(m)
	d.tokens.Leave(now, m.ID)
	d.removed.add(m, now)
	if !m.Draining && (d.pendingChecks < maxLapseChecks || d.flows.hasFlows(m.ID)) {
		// The registration may have lapsed although the target runs. A check tells, while
		// callers may be waiting for the target's answers.
		d.requestCheck(now, m)
	}
}

// removeLapsed removes the targets that have not registered again by the end of an outage, as
// the store has confirmed since.
func (d *Director) removeLapsed(now time.Time) {
	if now.Before(d.outageEnd) || d.confirmedAt.Before(d.outageEnd) {
		return
	}
	for _, m := range d.byName {
		if m.lapsed {
			d.removeMember(now, m)
		}
	}
}

// SetZoneOut sets whether operators have taken an availability zone out.
func (d *Director) SetZoneOut(zone string, out bool) {
	if out {
		d.zonesOut[zone] = true
		return
	}
	delete(d.zonesOut, zone)
}

// SetRegions sets the region of each availability zone. It must be called before the first
// packet. Zones that are not in the map form one region together, whose name is empty.
func (d *Director) SetRegions(regions map[string]string) { d.regions = regions }

// SetBalancerCounts sets the number of balancers, which share the rate of new flows to a cold
// target, and how many of them are in the own availability zone.
func (d *Director) SetBalancerCounts(all, inZone int) {
	d.balancers = max(all, 1)
	d.zoneBalancers = max(inZone, 1)
}

// SetOutage notes an outage of the store, in which registrations may have lapsed although
// their targets run. Until the given time, targets without a registration are kept and
// flows of removed targets are not reset, so that the targets can register again.
func (d *Director) SetOutage(until time.Time) {
	d.outageEnd = maxTime(d.outageEnd, until)
	d.removed.deferConfirmation(until)
}

// SetReturn notes that the store may have come back from an older copy. Until the given time,
// what it lost may be written again, so nothing is concluded from what the view lacks.
func (d *Director) SetReturn(until time.Time) { d.returnEnd = maxTime(d.returnEnd, until) }

// Targets returns the number of known targets.
func (d *Director) Targets() int { return len(d.byName) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Change is one change of the configuration, of a registration or of the zones that are
// out. Exactly one of Configuration, Target, RemovedTarget and Zone is set.
type Change struct {
	Configuration *Configuration
	// Target is a new or changed registration, RemovedTarget the name of a target whose
	// registration was removed.
	Target        *Target
	RemovedTarget string
	// Zone is an availability zone that operators took out, or brought back in if Out is
	// false.
	Zone string
	Out  bool
}

// Apply applies a change.
func (d *Director) Apply(now time.Time, c Change) {
	switch {
	case c.Configuration != nil:
		d.SetConfiguration(*c.Configuration)
	case c.Target != nil:
		d.SetTarget(now, *c.Target)
	case c.RemovedTarget != "":
		d.RemoveTarget(now, c.RemovedTarget)
	case c.Zone != "":
		d.SetZoneOut(c.Zone, c.Out)
	}
}
