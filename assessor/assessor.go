// Package assessor derives the health of targets from the results of their health
// probes.
//
// A target is down after several consecutive failed probes, and serving again
// after several consecutive successful ones, so that one lost probe changes
// nothing. It is cold when it reports a later start time than before. An earlier
// start time comes from an endpoint with outdated data and is ignored. The state
// and load that an endpoint reports are not used, since they may be outdated or
// wrong.
//
// # Usage
//
//	a := assessor.New()
//	health, established := a.Observe(target, assessor.Probe{Answered: true, Started: started})
//	enforced := assessor.Enforced(len(active), reports)
//
// An Assessor reads no clock and is not safe for use from several goroutines.
package assessor

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
)

const (
	// failureThreshold is how many consecutive probes must fail before a target
	// is down.
	failureThreshold = 2
	// successThreshold is how many consecutive probes must succeed before a
	// target that is down serves again.
	successThreshold = 2
	// maxClockSkew is how far a target's start time may lie after the time of the
	// probe; a later one is ignored.
	maxClockSkew = 5 * time.Second
)

// Probe is the result of one health probe.
type Probe struct {
	// At is when the probe ended.
	At       time.Time
	Answered bool
	// Started is the start time that the target reported, or zero if it reported
	// none.
	Started time.Time
}

// Health is the condition and the start time of a target, as its probes have
// shown them.
type Health struct {
	condition detector.Condition
	started   time.Time
}

// Condition returns whether the target serves, is down, or is cold since Started.
func (h Health) Condition() detector.Condition { return h.condition }

// Started returns the latest plausible start time that the target has reported,
// or zero.
func (h Health) Started() time.Time { return h.started }

// probeHistory counts the consecutive failures and successes of the probes of one
// target, and holds the health that follows from them.
type probeHistory struct {
	failures  int
	successes int
	health    Health
}

// Assessor holds the probe history of each target.
type Assessor struct {
	targets map[planner.TargetID]*probeHistory
}

// New returns an Assessor without any probe history.
func New() *Assessor {
	return &Assessor{targets: make(map[planner.TargetID]*probeHistory)}
}

// Observe records one probe of a target. It returns the health of the target, and
// whether enough consecutive probes agree to act on it. The first answer of a
// target only sets its start time: it does not make the target cold.
func (a *Assessor) Observe(target planner.TargetID, p Probe) (Health, bool) {
	h := a.targets[target]
	if h == nil {
		h = &probeHistory{}
		a.targets[target] = h
	}
	if !p.Answered {
		return h.addFailure()
	}
	return h.addAnswer(p)
}

// Retain drops the history of all targets but those for which keep returns true.
func (a *Assessor) Retain(keep func(planner.TargetID) bool) {
	for id := range a.targets {
		if !keep(id) {
			delete(a.targets, id)
		}
	}
}

func (h *probeHistory) addFailure() (Health, bool) {
	h.successes = 0
	h.failures++
	if h.failures < failureThreshold {
		return h.health, false
	}
	h.health.condition = detector.Down
	return h.health, true
}

func (h *probeHistory) addAnswer(p Probe) (Health, bool) {
	h.failures = 0
	h.successes++
	if h.restarted(p) {
		h.health = Health{condition: detector.Cold, started: p.Started}
		return h.health, true
	}
	if h.health.started.IsZero() && h.hasPlausibleStart(p) {
		h.health.started = p.Started
	}
	if h.successes < successThreshold {
		return h.health, false
	}
	if h.health.condition == detector.Down {
		h.health.condition = detector.Serving
	}
	return h.health, true
}

// restarted reports whether the probe shows a later start time than the one known
// for the target.
func (h *probeHistory) restarted(p Probe) bool {
	return !h.health.started.IsZero() && h.hasPlausibleStart(p) && p.Started.After(h.health.started)
}

// hasPlausibleStart reports whether the probe has a start time that does not lie
// in the future, apart from clock skew.
func (h *probeHistory) hasPlausibleStart(p Probe) bool {
	return !p.Started.IsZero() && !p.Started.After(p.At.Add(maxClockSkew))
}
