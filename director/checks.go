package director

import "time"

// Check is a request to test whether a target is reachable.
type Check struct {
	Name    string
	Started int64
	Target  Target
}

// maxLapseChecks is the number of pending checks from which on a target whose registration
// lapsed is checked only if it has tracked flows. It is two rounds of the eight checks that a
// balancer makes at a time. If hundreds of registrations lapse together, the other targets are
// checked when a packet for them arrives.
const maxLapseChecks = 16

// TakeChecks returns the checks requested since the last call. The caller must pass the verdict
// of each check to RecordVerdict.
func (d *Director) TakeChecks() []Check {
	checks := d.checkQueue
	d.checkQueue = nil
	return checks
}

// requestCheck requests a check of a target if one is due, and reports whether it did so.
func (d *Director) requestCheck(now time.Time, m *member) bool {
	if !m.health.checkDue(now) {
		return false
	}
	m.health.checkPending = true
	d.pendingChecks++
	d.checkQueue = append(d.checkQueue, Check{Name: m.Name, Started: m.Started, Target: m.Target})
	return true
}

// Verdict is the outcome of a check.
type Verdict uint8

// Verdicts of checks.
const (
	// Reachable means that the target accepted a connection.
	Reachable Verdict = iota
	// Unreachable means that two attempts to connect in a row failed.
	Unreachable
	// Inconclusive means that the check shows nothing about the target, for example
	// because this balancer itself was delayed.
	Inconclusive
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"reachable", "unreachable", "inconclusive"}[v]
}

// RecordVerdict records the verdict of a check. If the target is newly found unreachable,
// RecordVerdict returns the flows to reset: those whose callers wait for an answer and may
// repeat their requests.
func (d *Director) RecordVerdict(now time.Time, c Check, v Verdict) []Packet {
	d.pendingChecks--
	m := d.checkedMember(c)
	if m == nil {
		return nil
	}
	h := &m.health
	h.checkPending = false
	h.checkedAt = now
	switch v {
	case Reachable:
		h.unreachable = false
		d.handleReachable(now, m.zone)
	case Inconclusive:
	case Unreachable:
		newlyUnreachable := !h.unreachable
		h.unreachable = true
		if newlyUnreachable {
			d.handleUnreachable(now, m)
			return d.waitingFlows(now, m)
		}
		m.zone.recordStillUnreachable(now)
	}
	return nil
}

// checkedMember returns the target of a check. It returns nil if the target has restarted
// since or is no longer known.
func (d *Director) checkedMember(c Check) *member {
	m := d.byName[c.Name]
	if m == nil {
		m = d.removed.find(c.Target.ID)
	}
	if m == nil || m.Name != c.Name || m.Started != c.Started {
		return nil
	}
	return m
}

// waitingFlows returns the flows of an unreachable target whose callers wait for an answer
// and may repeat their requests elsewhere.
func (d *Director) waitingFlows(now time.Time, m *member) []Packet {
	var waiting []Packet
	for _, f := range d.flows.byKey {
		if f.waitingSince.IsZero() || !d.mayReset(m, d.routes[f.destination]) {
			continue
		}
		if pinned, ok := d.tokens.Find(now, f.pinned); !ok || pinned != m {
			continue
		}
		waiting = append(waiting, Packet{Source: f.source, Destination: f.destination, Acknowledged: f.acknowledged, Token: f.pinned})
	}
	return waiting
}

// mayReset reports whether a target's flows on a route may be reset because the target is
// unreachable. A request that may run only once is left alone, since its answer may still
// arrive by another path. Flows of a draining target are left alone too, since the target
// may outlive its listening socket by a moment.
func (d *Director) mayReset(m *member, route Route) bool {
	return m.health.unreachable && !m.Draining && route.Idempotent
}

// recheckUnreachable requests checks of the targets that were found unreachable. In a
// suspect zone each call checks at most zoneSuspectThreshold targets, which stand for the
// whole zone.
func (d *Director) recheckUnreachable(now time.Time) {
	rechecks := make(map[*zoneHealth]int)
	for _, m := range d.byName {
		if !m.health.unreachable || m.zone.isSuspect(now) && rechecks[m.zone] >= zoneSuspectThreshold {
			continue
		}
		if d.requestCheck(now, m) {
			rechecks[m.zone]++
		}
	}
}
