package limiter

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// historyLifetime is how long a balancer keeps requiring a majority of earlier sets of
// holders after it last recorded one. Without this bound, a group of which most
// balancers were replaced could never use its shares again.
const historyLifetime = 10 * time.Minute

// holderHistory holds the sets of holders with which balancers may have used shares:
// first the set with which this balancer last used its shares, then the sets that it
// has agreed to since.
type holderHistory struct {
	sets [][]tracker.MemberID
	// updated is when a set was last recorded.
	updated time.Time
}

// HasMajority reports whether the current holders include a majority of each recorded
// set of holders: the set with which this balancer last used its shares, and the
// sets with which other balancers may have used theirs since. A majority is more
// than half of a set, or exactly half including its lowest identifier (dynamic
// linear voting; Jajodia and Mutchler, 1990). If a group is split in two, only one
// part has a majority.
func (l *Limiter) HasMajority(now time.Time) bool {
	if now.Sub(l.history.updated) > historyLifetime {
		return true
	}
	for _, set := range l.history.sets {
		if !includesMajority(l.holders, set) {
			return false
		}
	}
	return true
}

// includesMajority reports whether holders include a majority of set, which is in
// ascending order.
func includesMajority(holders, set []tracker.MemberID) bool {
	kept := 0
	for _, id := range set {
		if slices.Contains(holders, id) {
			kept++
		}
	}
	if kept*2 == len(set) {
		return slices.Contains(holders, set[0])
	}
	return kept*2 > len(set)
}

// HasAgreed reports whether this balancer has recorded that shares may be used with the
// current holders. No balancer may use its shares until all ready balancers have
// recorded this.
func (l *Limiter) HasAgreed() bool {
	return slices.ContainsFunc(l.history.sets, func(set []tracker.MemberID) bool {
		return slices.Equal(set, l.holders)
	})
}

// LastHolders returns the set of holders with which this balancer last used its
// shares, or the first set that it recorded if it has used none. It returns nil if it
// has recorded no set.
func (l *Limiter) LastHolders() []tracker.MemberID {
	if len(l.history.sets) == 0 {
		return nil
	}
	return l.history.sets[0]
}

// InheritHolders records the holders that LastHolders returned on another balancer. A
// balancer calls it when it joins the group.
func (l *Limiter) InheritHolders(now time.Time, last []tracker.MemberID) {
	if len(last) > 0 {
		l.history.sets = append(l.history.sets, slices.Sorted(slices.Values(last)))
		l.history.updated = now
	}
}

// recordAgreed records that balancers may use their shares with the current holders.
func (l *Limiter) recordAgreed(now time.Time) {
	if !l.HasAgreed() {
		l.history.sets = append(l.history.sets, l.holders)
		l.history.updated = now
	}
}

// recordUsed records that this balancer uses its shares with the current holders. It
// replaces all earlier sets.
func (l *Limiter) recordUsed(now time.Time) {
	l.history.sets = append(l.history.sets[:0], l.holders)
	l.history.updated = now
}
