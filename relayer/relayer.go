// Package relayer distributes accepted revisions of the operators' document between
// balancers, so that only two balancers of an availability zone, the watchers, need to
// watch the platform for changes.
//
// ShouldWatch decides which balancers are watchers. Core decides which announcements and
// requests to send to which peers; it has no clock and does no input or output. Message
// is a message between balancers. Relay is the loop that runs a watch as long as
// ShouldWatch demands it, and exchanges the messages.
//
// # Usage
//
//	if relayer.ShouldWatch(self, members) {
//		group.Go(func() error { return w.Run(ctx) })
//	}
//	core.AdvanceAndAnnounce(revision)
//	core.ObserveRevision(peer, revision)
//	for _, envelope := range core.Tick(now) {
//		send(envelope.Peer(), envelope.Message())
//	}
package relayer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerZone is the number of balancers of an availability zone that watch the
// platform.
const WatchersPerZone = 2

// Member is a live balancer of the own availability zone.
type Member struct {
	ID string
	// Failing is true if the member's watch of the platform fails, so that another
	// member should watch in its place.
	Failing bool
}

// ShouldWatch reports whether the balancer self should watch the platform. The list
// members holds all live members of its availability zone, itself included. Members whose
// watch fails rank last, so that others, which may reach the platform, watch in their
// place. If the watches of all members fail, the first two go on trying.
func ShouldWatch(self string, members []Member) bool {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if a.Failing != b.Failing {
			if a.Failing {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(rendezvousWeight(b.ID), rendezvousWeight(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, member := range ranked[:min(len(ranked), WatchersPerZone)] {
		if member.ID == self {
			return true
		}
	}
	return false
}

// rendezvousWeight returns the weight of a member in rendezvous hashing. The members with
// the highest weights watch.
func rendezvousWeight(id string) uint64 { return xxhash.Sum64String("watcher/" + id) }
