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
)

// PrepareTime is how long a revision stays prepared at least, so that an opening
// which is sent again within it finds the record of its first copy.
const PrepareTime = time.Second

// Activator remembers since when a revision is prepared. Its zero value works.
type Activator struct {
	revision uint64
	since    time.Time
}

// Allows reports whether the prepared revision may be put in force now. The
// members are the live balancers besides this one. Those that are joining are not
// waited for: they decide nothing, and become ready only with what the others
// have prepared.
func (a *Activator) Allows(now time.Time, revision uint64, members []detector.Member) bool {
	if a.revision != revision {
		a.revision = revision
		a.since = now
	}
	if now.Sub(a.since) < PrepareTime {
		return false
	}
	for _, m := range members {
		if !hasPrepared(m, revision) {
			return false
		}
	}
	return true
}

// hasPrepared wants the very revision: a balancer that skipped it may hold a
// bucket for unchanged that it changes.
func hasPrepared(m detector.Member, revision uint64) bool {
	if m.State() == detector.Joining {
		return true
	}
	return m.Prepared() == revision || m.Active() == revision
}
