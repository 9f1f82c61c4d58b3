package director

import "time"

// drainedRunTTL is how long a run of a target is remembered that was seen draining. A store
// that comes back from an older copy may say for seconds that the run is ready.
const drainedRunTTL = 90 * time.Second

// targetRun identifies a run of a target.
type targetRun struct {
	name    string
	id      uint64
	started int64
}

func runOf(t *Target) targetRun { return targetRun{name: t.Name, id: t.ID, started: t.Started} }

// drainedRuns holds the runs of targets that were seen draining, with the time of that. They
// never become ready again.
type drainedRuns map[targetRun]time.Time

// apply marks a target as draining if its run was seen draining, and remembers the run if it
// drains. Runs without a time of their start can't be told apart, so none of them is remembered.
func (r drainedRuns) apply(now time.Time, t *Target) {
	if t.Started == 0 {
		return
	}
	run := runOf(t)
	if _, drained := r[run]; drained {
		t.Draining = true
	}
	if t.Draining {
		r[run] = now
	}
}

// expire forgets the runs that have not been seen draining for drainedRunTTL and whose
// targets are not registered.
func (r drainedRuns) expire(now time.Time, byName map[string]*member) {
	for run, seen := range r {
		m := byName[run.name]
		if now.Sub(seen) > drainedRunTTL && (m == nil || runOf(&m.Target) != run) {
			delete(r, run)
		}
	}
}
