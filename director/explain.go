package director

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

// Explanation is what a Director would do with the packets of a flow.
type Explanation struct {
	// Route and Service are empty where no route has the address.
	Route   string
	Service string
	// Watched says that packets of the flow were seen in the last seconds.
	Watched bool
	// Opening is what would happen to the flow's opening, Established to a later
	// packet that carries the token of the watched flow, or else of the opening.
	Opening     Decision
	Established Decision
}

// Explain says what would happen to the packets of the flow of p, and changes
// nothing. A cold target may still be passed over, if its rate is used up.
func (d *Director) Explain(now time.Time, p *Packet) Explanation {
	route, ok := d.routes[p.Destination]
	if !ok {
		no := Decision{Action: Reset, Reason: ReasonNoRoute}
		if !d.known {
			no = Decision{Action: Drop, Reason: ReasonNoView}
		}
		return Explanation{Opening: no, Established: no}
	}
	key := flowKey(p)
	e := Explanation{Route: route.Name, Service: pickService(key, route.Backends)}
	f := d.flows.find(key)
	e.Watched = f != nil
	e.Opening = d.explainOpening(now, key, f, e.Service)
	token := e.Opening.Token
	if f != nil && f.settled != 0 {
		token = f.settled
	}
	switch m, ok := d.tokens.Find(token); {
	case token == 0:
		e.Established = Decision{Action: Drop, Reason: ReasonNoToken}
	case !ok:
		e.Established = d.followGone(now, &Packet{Token: token}, token, route)
	case d.mayReset(m, route):
		e.Established = Decision{Action: Reset, Reason: ReasonCutOff, Target: &m.Target, Token: token}
	default:
		e.Established = Decision{Action: Forward, Reason: ReasonFlow, Target: &m.Target, Token: token}
	}
	return e
}

func (d *Director) explainOpening(now time.Time, key uint64, f *flow, service string) Decision {
	if f != nil {
		for _, token := range [...]tokenizer.Token{f.settled, f.last} {
			if m, ok := d.tokens.Find(token); ok {
				return forwardOpening(m, ReasonRepeated)
			}
		}
	}
	p := d.pools[service]
	if p == nil {
		return Decision{Action: Reset, Reason: ReasonNoTarget}
	}
	m := d.local(now, key, p, nil)
	if m == nil {
		m = d.best(now, key, p, nil, nil)
	}
	if m != nil {
		return forwardOpening(m, ReasonOpening)
	}
	return Decision{Action: Reset, Reason: ReasonNoTarget}
}

// Suspicions is what a Director holds against targets and availability zones. The
// names are sorted.
type Suspicions struct {
	// Unreachable are targets whose last check failed, Zones those in which so many
	// failed that all of their targets are chosen last.
	Unreachable []string
	Zones       []string
	// Out are the zones that operators have taken out.
	Out []string
	// Crowded are the services of whose callers in the own zone some flows go to other
	// zones, because its targets have no room for all.
	Crowded []string
}

// Suspicions returns what is held against targets and zones now.
func (d *Director) Suspicions(now time.Time) Suspicions {
	var s Suspicions
	for name, m := range d.byName {
		if m.evidence.unreachable {
			s.Unreachable = append(s.Unreachable, name)
		}
	}
	for name, z := range d.zones {
		if z.suspect(now) {
			s.Zones = append(s.Zones, name)
		}
	}
	for name := range d.out {
		s.Out = append(s.Out, name)
	}
	for service, p := range d.pools {
		if d.homeShare(now, p) < 1 {
			s.Crowded = append(s.Crowded, service)
		}
	}
	slices.Sort(s.Crowded)
	slices.Sort(s.Unreachable)
	slices.Sort(s.Zones)
	slices.Sort(s.Out)
	return s
}
