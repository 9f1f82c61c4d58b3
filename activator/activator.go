// Package activator decides when a balancer may activate a prepared revision.
//
// A balancer activates a revision only once every live balancer has prepared it.
// From that time on, all balancers hand the packets of changed buckets to the
// buckets' resolvers, and none decides on them by an older table.
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
	// AgreementTime is how long all live balancers must have agreed on the health reports
	// before they divert openings because of the reports. In the meantime, openings
	// that are to be diverted are dropped. AgreementTime covers the first
	// retransmission interval of an opening, 1 s, so that an opening is diverted
	// only if its first copy was dropped as well.
	AgreementTime = time.Second
	// PreparedTime is the minimum time that a revision stays prepared on all
	// balancers before it is activated, so that a retransmitted opening finds the
	// record of its first copy. PreparedTime covers the first two retransmission
	// intervals of TCP and QUIC, 1 s and 2 s (RFC 6298, RFC 9002).
	PreparedTime = 2 * time.Second
)

// Activator tracks since when all live balancers have prepared a revision. The
// zero value is ready for use.
type Activator struct {
	revision uint64
	// preparedSince is the latest time at which a balancer may have forwarded
	// openings by the earlier table, without a record.
	preparedSince time.Time
	// unprepared holds the live balancers that have not prepared the revision,
	// and when their heartbeat counter last advanced.
	unprepared map[tracker.MemberID]time.Time
}

// Allows reports whether the prepared revision may be activated now. The members
// are the live balancers besides this one. Joining members need not have prepared
// the revision: they decide nothing, and become ready only with what the other
// balancers have prepared.
func (a *Activator) Allows(now time.Time, revision uint64, members []detector.Member) bool {
	if activeOnPeer(revision, members) {
		return true
	}
	if a.revision != revision {
		*a = Activator{revision: revision, preparedSince: now}
	}
	a.updateUnprepared(now, members)
	return len(a.unprepared) == 0 && now.Sub(a.preparedSince) >= PreparedTime
}

// PreparedByAll reports whether all live balancers had prepared the revision when
// Allows last checked them.
func (a *Activator) PreparedByAll() bool { return a.revision != 0 && len(a.unprepared) == 0 }

// updateUnprepared updates unprepared and preparedSince. A balancer that has
// prepared the revision since the last call may have forwarded openings by its
// earlier table until now. A balancer that was removed since the last call could
// do so only until it lost its permission, detector.PermissionTimeout after its last
// heartbeat.
func (a *Activator) updateUnprepared(now time.Time, members []detector.Member) {
	unprepared := make(map[tracker.MemberID]time.Time)
	live := make(map[tracker.MemberID]bool)
	for _, m := range members {
		live[m.ID()] = true
		if !hasPrepared(m, a.revision) {
			unprepared[m.ID()] = m.LastHeartbeat()
		}
	}
	for id, lastHeartbeat := range a.unprepared {
		if _, still := unprepared[id]; still {
			continue
		}
		until := now
		if expiry := lastHeartbeat.Add(detector.PermissionTimeout); !live[id] && expiry.Before(now) {
			until = expiry
		}
		if until.After(a.preparedSince) {
			a.preparedSince = until
		}
	}
	a.unprepared = unprepared
}

// activeOnPeer reports whether a live peer that is not joining has activated the
// revision. That peer has found it prepared by all, so this balancer follows at
// once, to shorten the time during which the two open flows on different targets.
func activeOnPeer(revision uint64, members []detector.Member) bool {
	for _, m := range members {
		if m.State() != detector.Joining && m.ActiveRevision() == revision {
			return true
		}
	}
	return false
}

// hasPrepared reports whether a member has prepared or activated exactly this
// revision. A later one does not count: a balancer that skipped this revision may
// take a bucket for unchanged that this revision changes. Joining members count
// as prepared, since they decide nothing.
func hasPrepared(m detector.Member, revision uint64) bool {
	if m.State() == detector.Joining {
		return true
	}
	return m.PreparedRevision() == revision || m.ActiveRevision() == revision
}
