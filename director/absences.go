package director

import "time"

const (
	// confirmationSlack allows for the granularity of the clocks that ages are measured by.
	confirmationSlack = 500 * time.Millisecond
	// maxConclusionAge is the age of the view above which nothing is concluded from what
	// it lacks. The view of a balancer with working sources is younger.
	maxConclusionAge = 2 * time.Second
	// maxAbsences bounds the memory for absent routes. Openings on further unknown routes
	// are dropped, not reset.
	maxAbsences = 4096
	// absenceTTL is how long an absence is remembered after it was last sought.
	absenceTTL = time.Minute
)

// absences holds the keys, of routes or of services, that callers sought and the view lacked,
// or that a change removed.
type absences[K comparable] struct {
	byKey map[K]*absence
}

type absence struct {
	// since is when callers first sought the key. It is zero if a change removed the key.
	since      time.Time
	lastSought time.Time
}

func newAbsences[K comparable]() *absences[K] { return &absences[K]{byKey: make(map[K]*absence)} }

// seek notes that a caller seeks a key that the view lacks, and returns since when callers
// have done so.
func (a *absences[K]) seek(now time.Time, key K) time.Time {
	entry := a.byKey[key]
	if entry == nil {
		if len(a.byKey) >= maxAbsences {
			return now
		}
		entry = &absence{since: now}
		a.byKey[key] = entry
	}
	entry.lastSought = now
	return entry.since
}

// sought returns since when callers have sought a key, and whether any has.
func (a *absences[K]) sought(key K) (since time.Time, sought bool) {
	entry := a.byKey[key]
	if entry == nil {
		return time.Time{}, false
	}
	return entry.since, true
}

// addRemoved notes that a change of the view removed a key.
func (a *absences[K]) addRemoved(key K) {
	if len(a.byKey) < maxAbsences {
		a.byKey[key] = &absence{}
	}
}

// end notes that the view has the key.
func (a *absences[K]) end(key K) { delete(a.byKey, key) }

// expire forgets the keys that nobody has sought for absenceTTL.
func (a *absences[K]) expire(now time.Time) {
	for key, entry := range a.byKey {
		if entry.lastSought.IsZero() {
			entry.lastSought = now
		}
		if now.Sub(entry.lastSought) > absenceTTL {
			delete(a.byKey, key)
		}
	}
}

// SetConfirmed notes that the store confirmed the view, including all changes applied so
// far, at the given time: what the view lacks didn't exist then. A confirmation from the time
// in which the store may lack what it lost (SetReturn) is ignored.
func (d *Director) SetConfirmed(at time.Time) {
	if !at.Before(d.returnEnd) {
		d.confirmedAt = maxTime(d.confirmedAt, at)
	}
}

// viewCovers reports whether the view was confirmed later than a moment. What existed at
// that moment, and the view lacks, has been removed since.
func (d *Director) viewCovers(moment time.Time) bool {
	return !d.confirmedAt.Before(moment.Add(confirmationSlack))
}

// refuse returns the decision on an opening packet that can't be forwarded: a reset for one
// reason if that is certain, else the packet is dropped for another, and a retransmission may
// be forwarded.
func refuse(certain bool, reason, uncertain Reason) Decision {
	if certain {
		return Decision{Action: Reset, Reason: reason}
	}
	return Decision{Action: Drop, Reason: uncertain}
}

// isAbsent reports whether a key that the view lacks, and that callers have sought since a
// moment, surely doesn't exist. Otherwise the view may lag behind a change that added it.
func (d *Director) isAbsent(now, since time.Time) bool {
	return d.viewCovers(since) && now.Sub(d.confirmedAt) <= maxConclusionAge
}
