package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

// Load pattern: half of the balancers of a zone freeze at once, one of its two readers
// among them, while a target drains. Whichever balancers freeze, every running
// balancer gets an answer after at most two timeouts of 1.1 s.
// This guards against a fault that the scenario frozen-in-a-storm showed with seed
// 492693296007: a balancer queried three frozen peers in turn, 1.1 s each, and sent a
// new flow to a target 3.1 s after the target had started to drain.
func TestFrozenPeersDelayUpdatesByAtMostTwoTimeouts(t *testing.T) {
	peers := zone("a", 8)
	for frozen := range 1 << 8 {
		for i, c := range newCores(peers) {
			if frozen&(1<<i) != 0 {
				continue
			}
			is := is.New(t)
			now := start
			for range 3 {
				s, wait := c.Next(now)
				is.Equal(wait, time.Duration(0))
				if s.IsStore() || frozen&(1<<indexOf(peers, s.Peer)) == 0 {
					c.RecordResult(now, s, fresh, false)
					break
				}
				now = now.Add(1100 * time.Millisecond)
				c.RecordResult(now, s, 0, true)
			}
			if now.Sub(start) > 2200*time.Millisecond {
				t.Fatalf("balancer %d with %08b frozen has waited %v for an answer", i, frozen, now.Sub(start))
			}
		}
	}
}

// indexOf returns the index of p in peers, or -1 for the store.
func indexOf(peers []follower.Peer, p follower.Peer) int {
	for i := range peers {
		if peers[i] == p {
			return i
		}
	}
	return -1
}
