// Package activator decides when a prepared revision may be put in force.
//
// A revision is active on a balancer only once every live balancer has prepared
// it: from then on all of them send the changed buckets to their resolvers, and
// none decides by an older table.
//
// # Usage
//
//	var a activator.Activator
//	if a.Allows(now, revision, members) {
//		t.Activate(now)
//	}
//
// An Activator reads no clock and is not safe for use from several goroutines.
package activator

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// PrepareTime is how long openings that a note holds back are dropped at least.
	// It covers the first gap between the copies of an opening, of 1 s.
	PrepareTime = time.Second
	// RecordTime is how long a revision stays prepared on all balancers at least, so
	// that an opening which is sent again within it finds the record of its first
	// copy. It covers the first two gaps of TCP and QUIC, of 1 s and 2 s (RFC 6298,
	// RFC 9002).
	RecordTime = 2 * time.Second
)

// Activator remembers since when a revision is prepared everywhere. Its zero value
// works.
type Activator struct {
	revision uint64
	// since is when the last balancer stopped to forward openings without a record.
	since time.Time
	// waited holds when the balancers that have not prepared were last heard.
	waited map[tracker.MemberID]time.Time
}

// Allows reports whether the prepared revision may be put in force now. The
// members are the live balancers besides this one. Those that are joining are not
// waited for: they decide nothing, and become ready only with what the others
// have prepared.
func (a *Activator) Allows(now time.Time, revision uint64, members []detector.Member) bool {
	if activeElsewhere(revision, members) {
		return true
	}
	if a.revision != revision {
		*a = Activator{revision: revision, since: now}
	}
	a.look(now, members)
	return len(a.waited) == 0 && now.Sub(a.since) >= RecordTime
}

// PreparedByAll reports whether all live balancers had prepared the revision when
// Allows was last called.
func (a *Activator) PreparedByAll() bool { return a.revision != 0 && len(a.waited) == 0 }

// look notes which balancers are still waited for. One that has prepared since the
// last look forwarded openings by its earlier table until now at the latest; one
// that was removed has lost its permission some time ago.
func (a *Activator) look(now time.Time, members []detector.Member) {
	waited := make(map[tracker.MemberID]time.Time)
	live := make(map[tracker.MemberID]bool)
	for _, m := range members {
		live[m.ID()] = true
		if !hasPrepared(m, a.revision) {
			waited[m.ID()] = m.Advanced()
		}
	}
	for id, heard := range a.waited {
		if _, still := waited[id]; still {
			continue
		}
		end := now
		if permitted := heard.Add(detector.PermitAge); !live[id] && permitted.Before(now) {
			end = permitted
		}
		if end.After(a.since) {
			a.since = end
		}
	}
	a.waited = waited
}

// activeElsewhere reports whether a balancer has found the revision prepared by
// all: the sooner the others follow, the shorter they open flows differently.
func activeElsewhere(revision uint64, members []detector.Member) bool {
	for _, m := range members {
		if m.State() != detector.Joining && m.Active() == revision {
			return true
		}
	}
	return false
}

// hasPrepared wants the very revision: a balancer that skipped it may hold a
// bucket for unchanged that it changes.
func hasPrepared(m detector.Member, revision uint64) bool {
	if m.State() == detector.Joining {
		return true
	}
	return m.Prepared() == revision || m.Active() == revision
}
