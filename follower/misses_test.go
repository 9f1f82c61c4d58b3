package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

// Load pattern: half of the balancers of a zone freeze at once, one of its two readers
// among them, while a target drains. No balancer that runs is without word for 3 s,
// whichever it asks. (frozen-in-a-storm, seed 492693296007: three frozen ones were asked
// in turn, 1.1 s each, and an opening went to a target 3.1 s after it had said that it
// leaves.)
func TestFrozenPeersDoNotKeepABalancerWaiting(t *testing.T) {
	peers := zone("a", 8)
	for frozen := range 1 << 8 {
		for i, c := range cores(peers) {
			if frozen&(1<<i) != 0 {
				continue
			}
			is := is.New(t)
			now := start
			for range 3 {
				s, wait := c.Next(now)
				is.Equal(wait, time.Duration(0))
				if s.Store() || frozen&(1<<indexOf(peers, s.Peer)) == 0 {
					c.Done(now, s, fresh, false)
					break
				}
				now = now.Add(1100 * time.Millisecond)
				c.Done(now, s, 0, true)
			}
			if now.Sub(start) > 2200*time.Millisecond {
				t.Fatalf("balancer %d with %08b frozen waits for %v", i, frozen, now.Sub(start))
			}
		}
	}
}

func indexOf(peers []follower.Peer, p follower.Peer) int {
	for i := range peers {
		if peers[i] == p {
			return i
		}
	}
	return -1
}
