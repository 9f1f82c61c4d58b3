package replicator

import (
	"bytes"
	"maps"
	"math"
	"time"
)

const (
	// RewriteGrace is the time after a new era was learned in which what the store lost may
	// be written again. The platform's stated time for this is about 2 s. Until then a key
	// that the older copy lacks is not reported as removed, and a key whose removal the copy
	// lacks is not reported as written.
	RewriteGrace = 2500 * time.Millisecond
	// firstEra is the era of a store that has never come back from an older copy.
	firstEra = 1
	// maxEraAge bounds the age of an era that is told to peers. Above RewriteGrace it makes
	// no difference.
	maxEraAge = time.Hour
)

// eraState is what a replica knows about the eras of the store.
type eraState struct {
	// number is the era of the content, and newest the newest era that an update had.
	number, newest uint64
	// risen is true if the era rose while the replica had content.
	risen bool
	// since is when a source first learned of the era. It is zero if no grace follows.
	since time.Time
	// inGrace is true from the begin of an era until the keys below are given up.
	inGrace bool
	// retained holds the keys of earlier eras that the store lacks in this one.
	retained map[string]Item
	// hidden holds the keys that the store has in this era as they were before a removal
	// of an earlier era.
	hidden map[string]bool
	// gone holds the last items of keys that were removed in earlier eras.
	gone map[string]Item
	// givenUp is the number of retained keys that were not written again.
	givenUp int
}

// mayHaveReturned reports whether the store may have come back from an older copy: a source
// that doesn't know the era may then be of an earlier one.
func (r *Replica) mayHaveReturned() bool { return r.era.risen || r.era.newest > firstEra }

// eraOf returns the era of an update.
func (r *Replica) eraOf(u Update) uint64 {
	if u.Era == 0 && !r.mayHaveReturned() {
		return r.era.newest
	}
	return u.Era
}

// IsOutdated reports whether an update is of an earlier era than the newest one that is
// known. Such an update confirms nothing.
func (r *Replica) IsOutdated(u Update) bool { return r.eraOf(u) < r.era.newest }

// admit reports whether an update can be merged. After changes of a newer era, which lack
// the other keys of that era, only a full update can.
func (r *Replica) admit(u Update) bool {
	if r.IsOutdated(u) {
		return false
	}
	r.era.newest = r.eraOf(u)
	return u.Full || r.era.newest == r.era.number
}

// beginEra replaces the content by a full update of a newer era, and returns the changes. Keys
// that the update lacks are retained, and keys that were removed before are hidden if the
// update has them as they were.
func (r *Replica) beginEra(u Update, era uint64, now time.Time) []Item {
	known, gone := r.shown(), make(map[string]Item, len(r.removals))
	if len(r.era.gone) <= maxRemovals {
		maps.Copy(gone, r.era.gone) // the store may return several times in a row
	}
	for key, rem := range r.removals {
		gone[key] = rem.last
	}
	for key := range r.era.hidden {
		gone[key] = r.items[key]
	}
	before := r.era
	r.era = eraState{number: era, newest: era, hidden: make(map[string]bool), gone: gone, givenUp: before.givenUp}
	r.era.risen = before.risen || r.revision > 0
	if r.mayHaveReturned() {
		r.era.since, r.era.inGrace = now.Add(-u.EraAge), true
	}
	r.items, r.removals = make(map[string]Item, len(u.Items)), make(map[string]removal)
	r.revision, r.removalsFrom = u.Revision, u.Revision
	r.confirmedAt = now.Add(-u.Age)
	var changed []Item
	for _, item := range u.Items {
		old, wasKnown := known[item.Key]
		if !r.mergeItem(item) || item.Removed {
			continue
		}
		delete(known, item.Key)
		switch {
		case !wasKnown && isSame(gone[item.Key], item):
			r.era.hidden[item.Key] = true
		case !wasKnown || !isSame(old, item):
			changed = append(changed, item)
		}
	}
	r.era.retained = known
	return changed
}

// shown returns the keys that Merge has reported as written and not as removed.
func (r *Replica) shown() map[string]Item {
	shown := make(map[string]Item, len(r.items)+len(r.era.retained))
	for key, item := range r.era.retained {
		shown[key] = item
	}
	for key, item := range r.items {
		if !r.era.hidden[key] {
			shown[key] = item
		}
	}
	return shown
}

// isSame reports whether two items hold the same value of the same revision, compressed or not.
func isSame(a, b Item) bool {
	if a.Revision != b.Revision {
		return false
	}
	if a.Compressed != b.Compressed {
		var errA, errB error
		a, errA = a.Decompress()
		b, errB = b.Decompress()
		if errA != nil || errB != nil {
			return false
		}
	}
	return bytes.Equal(a.Value, b.Value)
}

// endGrace ends the grace of an era once the store has confirmed the content later, and
// returns the changes: the store's word counts from now on.
func (r *Replica) endGrace() []Item {
	if !r.era.inGrace || r.confirmedAt.Before(r.GraceEnd()) {
		return nil
	}
	var changed []Item
	for key := range r.era.retained {
		changed = append(changed, Item{Key: key, Revision: r.revision, Removed: true})
	}
	for key := range r.era.hidden {
		changed = append(changed, r.items[key])
	}
	r.era.givenUp += len(r.era.retained)
	r.era.inGrace, r.era.retained, r.era.hidden = false, nil, nil
	return changed
}

// Era returns the era of the content, or 0 if it is unknown.
func (r *Replica) Era() uint64 { return r.era.number }

// After returns the revision after which changes are to be requested. It is 0 if only a
// full update can be merged.
func (r *Replica) After() uint64 {
	if r.era.newest > r.era.number {
		return 0
	}
	return r.revision
}

// AfterFor returns the revision after which a peer needs the changes that has the content of
// an era up to a revision. If the own era is unknown, the peer decides whether the changes are
// of its era.
func (r *Replica) AfterFor(era, revision uint64) uint64 {
	switch {
	case era < r.era.number:
		return 0
	case era > r.era.number && r.era.number > 0:
		return math.MaxUint64 // nothing of this era is of use to the peer
	}
	return revision
}

// InGrace reports whether what the content lacks may still be written again.
func (r *Replica) InGrace() bool { return r.era.inGrace }

// GraceEnd returns when what the store lost has had its time to be written again, or a time
// in the past without a grace.
func (r *Replica) GraceEnd() time.Time { return r.era.since.Add(RewriteGrace) }

// Retained returns the number of keys of earlier eras that the store lacks, and GivenUp how
// many of them were not written again in all eras.
func (r *Replica) Retained() int { return len(r.era.retained) }

// GivenUp returns the number of keys that the store lost and that were not written again.
func (r *Replica) GivenUp() int { return r.era.givenUp }

// eraAge returns the age of the era, to be told to peers.
func (r *Replica) eraAge(now time.Time) time.Duration {
	return min(max(now.Sub(r.era.since), 0), maxEraAge)
}
