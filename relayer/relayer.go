// Package relayer spreads accepted revisions between balancers, so that only a
// few of an availability zone watch the platform.
//
// Watches decides who watches. Core decides what to tell and to ask; it has no
// clock and does no input or output. Message is what balancers tell each other.
//
// # Usage
//
//	if relayer.Watches(self, members) {
//		group.Go(func() error { return w.Run(ctx) })
//	}
//	core.Took(revision)
//	core.Heard(peer, revision)
//	for _, action := range core.Tick(now) {
//		send(action.Peer(), action.Message())
//	}
package relayer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerZone is how many balancers of an availability zone watch the
// platform.
const WatchersPerZone = 2

// Member is a live balancer of the own availability zone.
type Member struct {
	ID string
	// Failing says that its watch of the platform fails, so that another one
	// should try.
	Failing bool
}

// Watches reports whether the balancer self watches the platform, given all live
// members of its availability zone, itself included. Members whose watch fails
// rank last, which lets those try that may reach the platform; they keep trying
// if there is nobody else.
func Watches(self string, members []Member) bool {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		if a.Failing != b.Failing {
			if a.Failing {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(score(b.ID), score(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, member := range ranked[:min(len(ranked), WatchersPerZone)] {
		if member.ID == self {
			return true
		}
	}
	return false
}

// score is the rendezvous weight of a member.
func score(id string) uint64 { return xxhash.Sum64String("watcher/" + id) }
