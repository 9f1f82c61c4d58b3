package follower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

// The balancers that query the store are those that others take for the readers of the zone,
// also when one of them doesn't respond.
func TestReadersAreThoseThatQueryTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var peers []follower.Peer
	for n := range 12 {
		peers = append(peers, follower.Peer{
			Name: fmt.Sprint("b-", n), AvailabilityZone: string(rune('a' + n%2)),
			Address: fmt.Sprintf("10.0.0.%d:1", n), Strength: n % 3,
		})
	}
	responds := func(follower.Peer) bool { return true }
	readers := follower.Readers(peers, "a", responds)
	is.Equal(len(readers), 2)
	for _, p := range peers {
		core := follower.NewCore(p)
		core.SetPeers(peers)
		source, _ := core.Next(now)
		is.Equal(source.IsStore(), p == readers[0] || p == readers[1] || p.AvailabilityZone == "b" && source.IsStore())
	}
	left := follower.Readers(peers, "a", func(p follower.Peer) bool { return p != readers[0] })
	is.Equal(left[0], readers[1])
	is.True(left[1] != readers[0])
	is.Equal(follower.PickReader(left, "b-1"), follower.PickReader(left, "b-1"))
	is.Equal(len(follower.Readers(peers, "c", responds)), 0)
}
