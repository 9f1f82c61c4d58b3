package director

import (
	"time"

	"trefoilspring.example/trefoilspring/admitter"
	"trefoilspring.example/trefoilspring/aggregator"
)

// classOf returns the class that a new flow on a route competes in. key is the flow's flowKey.
func classOf(key uint64, route Route) aggregator.Class {
	return aggregator.Class{Service: pickService(key, route.Backends), Urgency: route.Urgency}
}

// admissionSalt makes the choice of the flows that are turned away independent of the
// ranking of targets.
const admissionSalt = 0x61646d6974

// turnsAway reports whether the first opening packet of a flow that isn't tracked is turned
// away, and counts the flow. The flow is then tracked, so that each further copy is turned
// away, too: the caller may have got the reset, and no copy has reached a target. A flow that can't be tracked, or that no target would accept,
// is not turned away.
//
// Load pattern: callers ask more of a service than its targets can answer; the least urgent
// flows are turned away first (package admitter).
func (d *Director) turnsAway(now time.Time, key uint64, p *Packet, class aggregator.Class) bool {
	turnedAway := false
	if !d.load.admitter.Admit(now, class, p.Source.Addr(), hashPair(key, admissionSalt)) && d.hasOpenTarget(class.Service) {
		if f := d.flows.add(now, key, p); f != nil {
			f.turnedAway, turnedAway = true, true
		}
	}
	d.recordOpening(now, class, turnedAway)
	return turnedAway
}

// refuseAdmission returns the decision on a flow that is turned away.
func refuseAdmission(class aggregator.Class) Decision {
	return Decision{Action: Reset, Reason: ReasonTurnedAway, Urgency: class.Urgency}
}

// Admission says how a new flow competes for the room of its service.
type Admission struct {
	Urgency int
	// Known reports whether the load of the service is known. Flows are only turned away
	// if it is.
	Known bool
	admitter.State
	// CallerFraction is the part of the caller's new flows that is admitted, from 0 to 1.
	CallerFraction float64
}

// explainAdmission returns how a new flow competes, and whether it is admitted.
func (d *Director) explainAdmission(now time.Time, key uint64, p *Packet, class aggregator.Class) (Admission, bool) {
	state, known := d.load.admitter.State(now, class)
	admitted := d.load.admitter.Admits(now, class, p.Source.Addr(), hashPair(key, admissionSalt))
	fraction := d.load.admitter.CallerFraction(now, class, p.Source.Addr())
	return Admission{Urgency: class.Urgency, Known: known, State: state, CallerFraction: fraction}, admitted || !d.hasOpenTarget(class.Service)
}
