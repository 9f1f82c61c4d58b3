package director

import (
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

// Check is a target whose reachability is in doubt.
type Check struct {
	Name    string
	Started int64
	Target  Target
}

// lapseChecks is how many checks may run for targets that lapsed and have no flow
// that passes here: two rounds of the eight that a balancer makes at a time. When
// hundreds lapse together, the others are checked when a packet asks for them.
const lapseChecks = 16

// Checks returns the targets to check now, each once. Checked must be called with
// the outcome of each.
func (d *Director) Checks() []Check {
	checks := d.checks
	d.checks = nil
	return checks
}

// doubt has a target checked if that is due, and reports whether it is.
func (d *Director) doubt(now time.Time, m *member) bool {
	if !m.evidence.mayCheck(now) {
		return false
	}
	m.evidence.checking = true
	d.checking++
	d.checks = append(d.checks, Check{Name: m.Name, Started: m.Started, Target: m.Target})
	return true
}

// Verdict is the outcome of a check.
type Verdict uint8

// The verdicts.
const (
	// Reachable means that the target took a connection.
	Reachable Verdict = iota
	// Unreachable means that it did not, twice in a row.
	Unreachable
	// Inconclusive means that the check says nothing, as when this balancer was
	// held up.
	Inconclusive
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"reachable", "unreachable", "inconclusive"}[v]
}

// Checked notes the outcome of a check. It returns the flows to reset: those whose
// callers wait for a target that can't be reached and may repeat their request.
func (d *Director) Checked(now time.Time, c Check, v Verdict) []Packet {
	d.checking--
	m := d.checked(now, c)
	if m == nil {
		return nil
	}
	e := &m.evidence
	e.checking = false
	e.checkedAt = now
	switch v {
	case Reachable:
		e.unreachable = false
		d.reached(now, m.zone)
	case Inconclusive:
	case Unreachable:
		found := !e.unreachable
		e.unreachable = true
		if found {
			d.found(now, m)
			return d.waiting(m)
		}
		m.zone.confirmed(now)
	}
	return nil
}

// checked returns the target of a check, which may have been removed meanwhile.
func (d *Director) checked(now time.Time, c Check) *member {
	m := d.byName[c.Name]
	if m == nil {
		m, _ = d.gone.find(now, tokenizer.Of(c.Target.ID))
	}
	if m == nil || m.Name != c.Name || m.Started != c.Started {
		return nil
	}
	return m
}

// waiting returns the flows of a target whose callers wait for an answer and may
// repeat their request elsewhere.
func (d *Director) waiting(m *member) []Packet {
	var waiting []Packet
	for _, f := range d.flows.rows {
		if f.settled != m.token || f.waitingSince.IsZero() || !d.mayReset(m, d.routes[f.destination]) {
			continue
		}
		waiting = append(waiting, Packet{Source: f.source, Destination: f.destination, Acknowledged: f.acknowledged, Token: m.token})
	}
	return waiting
}

// mayReset reports whether flows of a target that can't be reached are reset. A
// request that may run once only is left alone, since its answer may still come by
// another way. So is one on a target that drains: it may live a little longer than
// its listening socket.
func (d *Director) mayReset(m *member, route Route) bool {
	return m.evidence.unreachable && !m.Draining && route.Repeatable
}

// recheck has targets checked again that were found unreachable: a few of a suspect
// zone, which speak for the others.
func (d *Director) recheck(now time.Time) {
	checked := make(map[*zoneEvidence]int)
	for _, m := range d.byName {
		if !m.evidence.unreachable || m.zone.suspect(now) && checked[m.zone] >= zoneMisses {
			continue
		}
		if d.doubt(now, m) {
			checked[m.zone]++
		}
	}
}
