// Package assessor judges targets by the answers of their health endpoints.
//
// A target is down after several probes in a row that failed, and back after
// several that succeeded, so that one lost probe ejects nothing. It is cold when
// it reports a later start time than before; an earlier one comes from an
// endpoint that lags, and says nothing. What an endpoint says of its own state or
// load changes nothing by itself, since endpoints lag and mislead.
//
// # Usage
//
//	a := assessor.New()
//	verdict, changed := a.Observe(target, assessor.Probe{Answered: true, Started: started})
//	effective := assessor.Effective(len(active), notes)
//
// An Assessor reads no clock and is not safe for use from several goroutines.
package assessor

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
)

const (
	// failuresToDown is how many probes in a row must fail.
	failuresToDown = 2
	// successesToServe is how many probes in a row must succeed to end that.
	successesToServe = 2
	// clockSkew is how far in the future a start time may lie.
	clockSkew = 5 * time.Second
)

// Probe is the outcome of one probe.
type Probe struct {
	// At is when the probe ended.
	At       time.Time
	Answered bool
	// Started is the start time that the target reports; it may be zero.
	Started time.Time
}

// Verdict is what is known of a target.
type Verdict struct {
	condition detector.Condition
	started   time.Time
}

// Condition says whether the target serves, is down, or is cold since Started.
func (v Verdict) Condition() detector.Condition { return v.condition }

// Started returns the latest start time that the target has reported.
func (v Verdict) Started() time.Time { return v.started }

// evidence is what the probes of one target have shown.
type evidence struct {
	failures  int
	successes int
	verdict   Verdict
}

// Assessor holds the evidence about targets.
type Assessor struct {
	targets map[planner.TargetID]*evidence
}

// New returns an Assessor without evidence.
func New() *Assessor {
	return &Assessor{targets: make(map[planner.TargetID]*evidence)}
}

// Observe takes one probe of a target, and returns the verdict and whether the
// evidence for it is complete. A first answer shows only since when the target
// runs.
func (a *Assessor) Observe(target planner.TargetID, p Probe) (Verdict, bool) {
	e := a.targets[target]
	if e == nil {
		e = &evidence{}
		a.targets[target] = e
	}
	if !p.Answered {
		return e.fail()
	}
	return e.answer(p)
}

// Retain forgets all targets but those for which keep is true.
func (a *Assessor) Retain(keep func(planner.TargetID) bool) {
	for id := range a.targets {
		if !keep(id) {
			delete(a.targets, id)
		}
	}
}

func (e *evidence) fail() (Verdict, bool) {
	e.successes = 0
	e.failures++
	if e.failures < failuresToDown {
		return e.verdict, false
	}
	e.verdict.condition = detector.Down
	return e.verdict, true
}

func (e *evidence) answer(p Probe) (Verdict, bool) {
	e.failures = 0
	e.successes++
	if e.restarted(p) {
		e.verdict = Verdict{condition: detector.Cold, started: p.Started}
		return e.verdict, true
	}
	if e.verdict.started.IsZero() && e.plausible(p) {
		e.verdict.started = p.Started
	}
	if e.successes < successesToServe {
		return e.verdict, false
	}
	if e.verdict.condition == detector.Down {
		e.verdict.condition = detector.Serving
	}
	return e.verdict, true
}

// restarted reports whether the target has started again since it was first seen.
func (e *evidence) restarted(p Probe) bool {
	return !e.verdict.started.IsZero() && e.plausible(p) && p.Started.After(e.verdict.started)
}

func (e *evidence) plausible(p Probe) bool {
	return !p.Started.IsZero() && !p.Started.After(p.At.Add(clockSkew))
}
