package follower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

var start = time.Unix(1_700_000_000, 0)

// zone returns n balancers of one zone, all of the same strength.
func zone(name string, n int) []follower.Peer {
	var peers []follower.Peer
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		peers = append(peers, follower.Peer{Name: id, AvailabilityZone: name, Address: id + ":1", Strength: 2})
	}
	return peers
}

// newCores returns one core for each of peers, with the others as its peers.
func newCores(peers []follower.Peer) []*follower.Core {
	var all []*follower.Core
	for _, self := range peers {
		c := follower.NewCore(self)
		c.SetPeers(peers)
		all = append(all, c)
	}
	return all
}

// storeReaders returns the names of the balancers whose core queries the store now.
func storeReaders(all []*follower.Core, peers []follower.Peer) map[string]bool {
	names := make(map[string]bool)
	for i, c := range all {
		if s, wait := c.Next(start); wait == 0 && s.IsStore() {
			names[peers[i].Name] = true
		}
	}
	return names
}

// At any zone size, two balancers of the zone query the store, and all others query one
// of these two, about half of them each.
func TestTwoBalancersPerZoneReadTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 4, 13, 114} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			peers := append(zone("a", n), zone("b", 3)...)
			all := newCores(peers)
			reading := storeReaders(all, peers)
			is.Equal(len(reading), min(n, 2)+2)
			asked := make(map[string]int)
			for i, c := range all {
				if s, _ := c.Next(start); !s.IsStore() {
					is.True(reading[s.Peer.Name])
					is.Equal(s.Peer.AvailabilityZone, peers[i].AvailabilityZone)
					asked[s.Peer.Name]++
				}
			}
			for name, times := range asked {
				if times > 2*n/3+2 {
					t.Fatalf("%s is queried by %d of %d balancers", name, times, n)
				}
			}
		})
	}
}

// Load pattern: the configuration has 100 KB and changes five times a second. If
// balancers with a link of 10 Mbit/s were readers, passing it on to other balancers would
// leave no link capacity for callers.
func TestStrongestBalancersAreReaders(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 30)
	for i := range peers {
		peers[i].Strength = follower.StrengthOf(10, 0.8)
	}
	peers[7].Strength = follower.StrengthOf(200, 0.4)
	peers[19].Strength = follower.StrengthOf(100, 0.2)
	is.Equal(storeReaders(newCores(peers), peers), map[string]bool{"a-7": true, "a-19": true})
	is.Equal(follower.StrengthOf(10_000, 64), follower.StrengthOf(100, 0.2))
}

// If both readers fail, every balancer that has queried both queries the store at once.
// Only the two balancers that come next in the order go on querying it.
func TestFailedReadersAreReplaced(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 5)
	all := newCores(peers)
	reading := storeReaders(all, peers)
	now := start
	replaced := 0
	for i, c := range all {
		if reading[peers[i].Name] {
			continue
		}
		// This balancer has queried both readers, and both failed.
		for _, p := range peers {
			if reading[p.Name] {
				c.RecordResult(now, follower.Source{Peer: p}, 0, true)
			}
		}
		s, _ := c.Next(now)
		is.True(s.IsStore())
		c.RecordResult(now, s, 0, false)
		if s, _ := c.Next(now); s.IsStore() {
			replaced++
		}
	}
	is.Equal(replaced, 2)
}

// A peer that gives a stale answer goes into backoff like one that fails, because it may
// be cut off from the store.
func TestStalePeerGoesIntoBackoff(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 9)
	for _, c := range newCores(peers) {
		s, _ := c.Next(start)
		if s.IsStore() {
			continue
		}
		c.RecordResult(start, s, 10*time.Second, false)
		next, _ := c.Next(start)
		is.True(next.Peer != s.Peer)
		c.RecordResult(start.Add(time.Minute), follower.Source{}, 0, false)
		later, _ := c.Next(start.Add(time.Minute))
		is.Equal(later.Peer, s.Peer) // the backoff is over
	}
}

// While the store refuses a reader's queries, the reader queries any peer, also one of
// another zone. It retries the store within a second.
func TestReaderQueriesPeersWhileStoreFails(t *testing.T) {
	is := is.New(t)
	self := zone("a", 1)[0]
	c := follower.NewCore(self)
	c.SetPeers(append(zone("b", 2), self))
	s, _ := c.Next(start)
	is.True(s.IsStore())
	c.RecordResult(start, s, 0, true)
	s, wait := c.Next(start)
	is.Equal(wait, time.Duration(0))
	is.Equal(s.Peer.AvailabilityZone, "b")
	s, _ = c.Next(start.Add(time.Second))
	is.True(s.IsStore())
}

// A balancer that starts during an outage of the store queries the seeds, its only known
// addresses. Some of them may not exist any more.
func TestSeedsAreQueriedWhenStoreFailsAtStart(t *testing.T) {
	is := is.New(t)
	self := follower.Peer{Name: "a-0", AvailabilityZone: "a", Address: "a-0:1"}
	c := follower.NewCore(self)
	c.SetSeeds([]string{"gone:1", self.Address, "b-1:1"})
	s, _ := c.Next(start)
	is.True(s.IsStore())
	c.RecordResult(start, s, 0, true)
	asked := make(map[string]bool)
	for {
		s, wait := c.Next(start)
		if wait > 0 {
			break
		}
		is.True(!s.IsStore())
		asked[s.Peer.Address] = true
		c.RecordResult(start, s, 0, true)
	}
	is.Equal(asked, map[string]bool{"gone:1": true, "b-1:1": true})
}

// An outage of the store must not make all balancers of a zone call it often: readers
// retry every 0.5 s, other balancers every 2 s.
func TestStoreOutageLimitsCalls(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 40)
	all := newCores(peers)
	calls := 0
	for ms := 0; ms < 5000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, c := range all {
			s, wait := c.Next(now)
			if wait > 0 {
				continue
			}
			if s.IsStore() {
				calls++
				c.RecordResult(now, s, 0, true)
			} else {
				c.RecordResult(now, s, time.Minute, false)
			}
		}
	}
	is.True(calls <= 2*11+38*3) // 2 readers and 38 others for 5 s
}
