package director

import (
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// Backend is a service that a route sends flows to, with its share.
type Backend struct {
	Service string
	// Weight is the share of new flows relative to the route's other backends.
	Weight float64
}

// Route says where new flows to an address go.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Backends []Backend
	// Repeatable says that callers may repeat a request on it that has run.
	Repeatable bool
}

// Service is what the operators say of one service.
type Service struct {
	Name string
	// ColdRate is how many openings a second a cold target bears.
	ColdRate float64
}

// Configuration is one accepted version of what the operators want.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
}

// Target is a registered target.
type Target struct {
	// Name is the key of the registration, ID the number that its packets carry.
	Name string
	ID   uint64
	// Started tells apart two runs under the same name.
	Started          int64
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	// Capacity is how many requests it works on at a time.
	Capacity int
	Draining bool
	// ColdFor is how much longer it stays cold, as of the registration's change.
	ColdFor time.Duration
}

// member is a target with what the balancer has seen of it.
type member struct {
	Target
	token     tokenizer.Token
	coldUntil time.Time
	// lapsed says that the registration was removed during an outage.
	lapsed   bool
	pacer    limiter.Pacer
	evidence evidence
	zone     *zoneEvidence
}

// pool holds the targets of one service.
type pool struct {
	members []*member
	demand  demand
}

func (p *pool) remove(m *member) {
	for i, other := range p.members {
		if other == m {
			p.members = append(p.members[:i], p.members[i+1:]...)
			return
		}
	}
}

// SetConfiguration brings a version in force. An earlier one than that in force is
// ignored, and false returned.
func (d *Director) SetConfiguration(c Configuration) bool {
	if d.known && c.Version <= d.version {
		return false
	}
	d.known = true
	d.version = c.Version
	d.routes = make(map[netip.AddrPort]Route, len(c.Routes))
	for _, r := range c.Routes {
		d.routes[r.Address] = r
	}
	d.services = make(map[string]Service, len(c.Services))
	for _, s := range c.Services {
		d.services[s.Name] = s
	}
	return true
}

// Version returns the version in force, and whether there is one.
func (d *Director) Version() (uint64, bool) { return d.version, d.known }

// SetTarget takes over a registration.
func (d *Director) SetTarget(now time.Time, t Target) {
	old := d.byName[t.Name]
	if old != nil && old.Started == t.Started && old.Service == t.Service && old.ID == t.ID {
		old.Target = t
		old.zone = d.zoneEvidenceOf(t.AvailabilityZone)
		old.coldUntil = now.Add(t.ColdFor)
		old.lapsed = false
		return
	}
	if old != nil {
		d.pools[old.Service].remove(old)
	}
	m := &member{Target: t, coldUntil: now.Add(t.ColdFor), zone: d.zoneEvidenceOf(t.AvailabilityZone)}
	m.token = d.tokens.Add(t.ID, m)
	d.byName[t.Name] = m
	d.gone.forget(m.token)
	if m.token == 0 {
		// Its token belongs to another target, so it can't get flows.
		return
	}
	p := d.pools[t.Service]
	if p == nil {
		p = &pool{}
		d.pools[t.Service] = p
	}
	p.members = append(p.members, m)
}

// RemoveTarget takes out a target whose registration was removed or can't be read.
// One that may have lapsed only because the store was away stays until the end of
// the time that SetOutage gave.
func (d *Director) RemoveTarget(now time.Time, name string) {
	m := d.byName[name]
	if m == nil {
		return
	}
	if !m.Draining && now.Before(d.outage) {
		m.lapsed = true
		return
	}
	d.remove(now, m)
}

func (d *Director) remove(now time.Time, m *member) {
	delete(d.byName, m.Name)
	if m.token == 0 {
		return
	}
	d.pools[m.Service].remove(m)
	d.tokens.Remove(m.ID)
	d.gone.bury(m, now)
	if !m.Draining && (d.checking < lapseChecks || d.flows.settledOn(m.token)) {
		// It may have lapsed although it lives. Its callers may wait.
		d.doubt(now, m)
	}
}

// dropLapsed takes out the targets that did not come back after an outage.
func (d *Director) dropLapsed(now time.Time) {
	if now.Before(d.outage) {
		return
	}
	for _, m := range d.byName {
		if m.lapsed {
			d.remove(now, m)
		}
	}
}

// SetOut says whether operators have taken an availability zone out.
func (d *Director) SetOut(zone string, out bool) {
	if out {
		d.out[zone] = true
		return
	}
	delete(d.out, zone)
}

// SetRegions says which region each availability zone is in. It is called before the
// first packet. Zones that it lacks are in one region together, whose name is empty.
func (d *Director) SetRegions(regions map[string]string) { d.regions = regions }

// SetHolders sets how many balancers there are, among which the rate of a cold target
// is divided, and how many of them are in the own availability zone.
func (d *Director) SetHolders(all, zone int) {
	d.holders = max(all, 1)
	d.zoneHolders = max(zone, 1)
}

// SetOutage says that registrations may have lapsed while the store was away, and
// until when their targets may come back. Targets that are missing are kept until
// then, and flows of removed ones are not reset before.
func (d *Director) SetOutage(until time.Time) {
	d.outage = maxTime(d.outage, until)
	d.gone.postpone(until)
}

// Targets returns the number of targets that are known.
func (d *Director) Targets() int { return len(d.byName) }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Change is one change of what a Director knows. One of its fields is set.
type Change struct {
	Configuration *Configuration
	// Target is a registration, Removed the name of one that ended.
	Target  *Target
	Removed string
	// Zone is an availability zone that is taken out, or back in if Out is false.
	Zone string
	Out  bool
}

// Apply takes over a change.
func (d *Director) Apply(now time.Time, c Change) {
	switch {
	case c.Configuration != nil:
		d.SetConfiguration(*c.Configuration)
	case c.Target != nil:
		d.SetTarget(now, *c.Target)
	case c.Removed != "":
		d.RemoveTarget(now, c.Removed)
	case c.Zone != "":
		d.SetOut(c.Zone, c.Out)
	}
}
