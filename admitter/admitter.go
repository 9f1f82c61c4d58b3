// Package admitter decides which new flows are turned away when the demand for a service
// exceeds the room that its targets have.
//
// An Admitter is told about once a second how many requests callers begin and how many of
// them wait for answers (package aggregator), and how many requests the targets can work
// on at a time. While few requests wait, it admits every flow. Once too many wait, it
// divides the targets' room: the most urgent class gets what it asks, as far as there is
// room, and each further class gets what is left. Within a class, the room is shared
// evenly between callers, so that one that opens more flows than the others doesn't take
// theirs. Whether a flow is admitted follows from a hash of the flow, so the answer for
// one flow is the same as long as the fractions are.
//
// # Usage
//
//	var a admitter.Admitter
//	changes := a.Observe(now, observations) // about once a second
//	if !a.Admit(now, class, caller, flowHash) {
//		reset(flow)
//	}
//
// An Admitter has no clock and does no I/O. The zero Admitter admits everything. It is
// not safe for concurrent use.
package admitter

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// maxObservationAge is how long a fraction stays in force without a new observation.
	// Observations arrive every second and lag by one; after three seconds, the
	// load may be a different one, and everything is admitted.
	maxObservationAge = 3 * time.Second
	// maxClasses bounds the memory for classes and their callers. Flows of further
	// classes are always admitted.
	maxClasses = 128
)

// Observation is the load of one service over about a second.
type Observation struct {
	Service string
	// Slots is how many requests at a time the targets that accept new flows can work on.
	Slots float64
	// ColdSlots is the same of targets that are warming up, which are not among Slots.
	// They accept only ColdOpenings new flows per second together.
	ColdSlots    float64
	ColdOpenings float64
	// Goal is the shortest time within which callers of the service want an answer, or 0 if
	// that isn't known.
	Goal time.Duration
	// Path is how long packets travel between balancer, target and caller on the way of one
	// request. Demand.Concurrency includes the requests on their way, which take no slots.
	Path time.Duration
	// Demand is what callers ask, by urgency.
	Demand map[int]aggregator.Demand
	// Estimated reports whether Demand was extrapolated from what one balancer sees. Flows
	// are then turned away only if the excess is clear.
	Estimated bool
}

// State describes the admission to one class.
type State struct {
	// Limited reports whether flows of the service are turned away.
	Limited bool
	// Wanted is how many requests at a time the class would keep targets busy with if all
	// of its flows were admitted. Room is how many requests at a time all classes of the
	// service together may keep targets busy with.
	Wanted float64
	Room   float64
	// Waiting is how many requests of all classes wait for answers at a time, and Bound the
	// number above which flows begin to be turned away.
	Waiting float64
	Bound   float64
	// Fraction is the part of the class's new flows that is admitted, from 0 to 1.
	Fraction float64
}

// Change reports that a service began or ended to turn flows away.
type Change struct {
	Service string
	Began   bool
	// Wanted, Room, Waiting and Bound are those of State, for all classes together.
	Wanted, Room, Waiting, Bound float64
}

// Admitter decides which flows are admitted.
type Admitter struct {
	services map[string]*service
	classes  map[aggregator.Class]*class
}

// Observe takes the observations of a second, at most one for each service, and returns
// the services that began or ended to turn flows away, sorted by name. A service without
// an observation for maxObservationAge is forgotten.
func (a *Admitter) Observe(now time.Time, observations []Observation) []Change {
	if a.services == nil {
		a.services = make(map[string]*service)
	}
	var changes []Change
	for _, o := range observations {
		s := a.services[o.Service]
		if s == nil {
			s = &service{correction: 1}
			a.services[o.Service] = s
		}
		before := s.limited
		s.observedAt = now
		s.observe(o, a.classesOf(o))
		if s.limited != before {
			changes = append(changes, s.change(o.Service))
		}
	}
	for name, s := range a.services {
		if now.Sub(s.observedAt) < maxObservationAge {
			continue
		}
		if s.limited {
			s.limited = false
			changes = append(changes, s.change(name))
		}
		delete(a.services, name)
	}
	for name, c := range a.classes {
		c.callers.roll(c.fraction)
		if a.services[name.Service] == nil && c.callers.isEmpty() {
			delete(a.classes, name)
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Service, y.Service) })
	return changes
}

// classesOf returns the classes of an observation, the most urgent first.
func (a *Admitter) classesOf(o Observation) []*class {
	var all []*class
	for _, urgency := range slices.Sorted(maps.Keys(o.Demand)) {
		if c := a.class(aggregator.Class{Service: o.Service, Urgency: urgency}); c != nil {
			c.demand = sanitize(o.Demand[urgency])
			c.demand.Concurrency = max(c.demand.Concurrency-c.demand.Requests*o.Path.Seconds(), 0)
			all = append(all, c)
		}
	}
	return all
}

// class returns a class, and creates it if necessary. It returns nil if there are too many.
func (a *Admitter) class(name aggregator.Class) *class {
	c := a.classes[name]
	if c == nil && len(a.classes) < maxClasses {
		if a.classes == nil {
			a.classes = make(map[aggregator.Class]*class)
		}
		c = &class{fraction: 1}
		a.classes[name] = c
	}
	return c
}

// Admit reports whether a new flow of a caller is admitted, and counts the flow as the
// caller's. hash is a hash of the flow's addresses and ports.
func (a *Admitter) Admit(now time.Time, name aggregator.Class, caller netip.Addr, hash uint64) bool {
	c := a.class(name)
	if c == nil {
		return true
	}
	admitted := a.Admits(now, name, caller, hash)
	c.callers.count(caller)
	return admitted
}

// Admits returns what Admit would return, and counts nothing.
func (a *Admitter) Admits(now time.Time, name aggregator.Class, caller netip.Addr, hash uint64) bool {
	fraction := a.CallerFraction(now, name, caller)
	return fraction >= 1 || draw(hash) < fraction
}

// CallerFraction returns the part of a caller's new flows that is admitted, from 0 to 1. It is
// less than that of the class for a caller that opens many more flows than others.
func (a *Admitter) CallerFraction(now time.Time, name aggregator.Class, caller netip.Addr) float64 {
	c, s := a.classes[name], a.services[name.Service]
	if c == nil || s == nil || !s.limited || c.fraction >= 1 || now.Sub(s.observedAt) >= maxObservationAge {
		return 1
	}
	return c.callers.fraction(caller, c.fraction)
}

// State returns the state of a class, and whether its service has been observed lately.
func (a *Admitter) State(now time.Time, name aggregator.Class) (State, bool) {
	c, s := a.classes[name], a.services[name.Service]
	if c == nil || s == nil || now.Sub(s.observedAt) >= maxObservationAge {
		return State{Fraction: 1}, false
	}
	return State{
		Limited: s.limited, Wanted: c.wanted, Room: s.room, Waiting: s.waiting, Bound: s.bound, Fraction: c.fraction,
	}, true
}

// Limited returns the sorted names of the services that turn flows away.
func (a *Admitter) Limited(now time.Time) []string {
	var all []string
	for name, s := range a.services {
		if s.limited && now.Sub(s.observedAt) < maxObservationAge {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
