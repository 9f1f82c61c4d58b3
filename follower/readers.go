package follower

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Readers returns the balancers of an availability zone that query the store, as far as a
// balancer can tell that has these peers: the first ones of the zone's order, without those
// that don't respond.
func Readers(peers []Peer, zone string, responds func(Peer) bool) []Peer {
	members := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.AvailabilityZone != zone || !responds(p)
	})
	slices.SortFunc(members, comparePeers)
	return members[:min(len(members), readersPerZone)]
}

// PickReader returns one of some readers, which differs between the balancers that ask. There
// must be at least one reader.
func PickReader(readers []Peer, asking string) Peer {
	return readers[xxhash.Sum64String(asking)%uint64(len(readers))]
}
