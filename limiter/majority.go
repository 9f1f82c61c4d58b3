package limiter

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// forgetTime is after how long without use of its shares a balancer no longer
// compares its view with earlier ones: most of a group was then replaced.
const forgetTime = 10 * time.Minute

// history holds the sets of holders with which shares were or may have been used:
// the last one that this balancer used, then those that it has agreed to since.
type history struct {
	views [][]tracker.MemberID
	since time.Time
}

// Majority reports whether the holders that this balancer sees include a majority
// of each set with which others may have used shares since it last did: more than
// half of them, or half with the lowest identifier (dynamic linear voting; Jajodia
// and Mutchler, 1990). Where a group is cut in two, only one part has that.
func (l *Limiter) Majority(now time.Time) bool {
	if now.Sub(l.history.since) > forgetTime {
		return true
	}
	for _, view := range l.history.views {
		if !isMajority(l.holders, view) {
			return false
		}
	}
	return true
}

func isMajority(holders, view []tracker.MemberID) bool {
	kept := 0
	for _, id := range view {
		if slices.Contains(holders, id) {
			kept++
		}
	}
	if kept*2 == len(view) {
		return slices.Contains(holders, view[0])
	}
	return kept*2 > len(view)
}

// Agreed reports whether this balancer has noted that shares may now be used with
// the holders that it sees. Only once all have noted it may any use them.
func (l *Limiter) Agreed() bool {
	return slices.ContainsFunc(l.history.views, func(view []tracker.MemberID) bool {
		return slices.Equal(view, l.holders)
	})
}

// Last returns the holders with which this balancer last used its shares.
func (l *Limiter) Last() []tracker.MemberID {
	if len(l.history.views) == 0 {
		return nil
	}
	return l.history.views[0]
}

// Inherit takes over what another balancer's Last returned, on joining.
func (l *Limiter) Inherit(now time.Time, last []tracker.MemberID) {
	if len(last) > 0 {
		l.history.views = append(l.history.views, slices.Sorted(slices.Values(last)))
		l.history.since = now
	}
}

// noteView notes that the shares may be used with the holders from now on.
func (l *Limiter) noteView(now time.Time) {
	if !l.Agreed() {
		l.history.views = append(l.history.views, l.holders)
		l.history.since = now
	}
}

// useView notes that the shares are used with the holders.
func (l *Limiter) useView(now time.Time) {
	l.history.views = append(l.history.views[:0], l.holders)
	l.history.since = now
}
