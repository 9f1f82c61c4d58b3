package follower_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/follower"
)

var start = time.Unix(1_700_000_000, 0)

// zone returns the balancers of one zone, all as fit to read.
func zone(name string, n int) []follower.Peer {
	var peers []follower.Peer
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		peers = append(peers, follower.Peer{Name: id, AvailabilityZone: name, Address: id + ":1", Strength: 2})
	}
	return peers
}

func cores(peers []follower.Peer) []*follower.Core {
	var all []*follower.Core
	for _, self := range peers {
		c := follower.NewCore(self)
		c.SetPeers(peers)
		all = append(all, c)
	}
	return all
}

// readers returns the names of those that read the store now.
func readers(all []*follower.Core, peers []follower.Peer) map[string]bool {
	names := make(map[string]bool)
	for i, c := range all {
		if s, wait := c.Next(start); wait == 0 && s.Store() {
			names[peers[i].Name] = true
		}
	}
	return names
}

// At any size two of a zone read the store, and all others ask one of them.
func TestTwoOfAZoneReadTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 4, 13, 114} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			peers := append(zone("a", n), zone("b", 3)...)
			all := cores(peers)
			reading := readers(all, peers)
			is.Equal(len(reading), min(n, 2)+2)
			asked := make(map[string]int)
			for i, c := range all {
				if s, _ := c.Next(start); !s.Store() {
					is.True(reading[s.Peer.Name])
					is.Equal(s.Peer.AvailabilityZone, peers[i].AvailabilityZone)
					asked[s.Peer.Name]++
				}
			}
			for name, times := range asked {
				if times > 2*n/3+2 {
					t.Fatalf("%s answers %d of %d balancers", name, times, n)
				}
			}
		})
	}
}

// Load pattern: a version of 100 KB five times a second. Balancers with a link of
// 10 Mbit/s would have no room left for callers if they passed it on.
func TestStrongBalancersRead(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 30)
	for i := range peers {
		peers[i].Strength = follower.StrengthOf(10, 0.8)
	}
	peers[7].Strength = follower.StrengthOf(200, 0.4)
	peers[19].Strength = follower.StrengthOf(100, 0.2)
	is.Equal(readers(cores(peers), peers), map[string]bool{"a-7": true, "a-19": true})
	is.Equal(follower.StrengthOf(10_000, 64), follower.StrengthOf(100, 0.2))
}

// A reader that fails is left alone, and the next in order takes its place with
// those that noticed. Who lost two in a row asks the store at once, and goes on reading
// it only if it comes next.
func TestReaderThatFailsIsReplaced(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 5)
	all := cores(peers)
	reading := readers(all, peers)
	now := start
	replaced := 0
	for i, c := range all {
		if reading[peers[i].Name] {
			continue
		}
		// Both readers are dead, and this balancer has asked both.
		for _, p := range peers {
			if reading[p.Name] {
				c.Done(now, follower.Source{Peer: p}, 0, true)
			}
		}
		s, _ := c.Next(now)
		is.True(s.Store())
		c.Done(now, s, 0, false)
		if s, _ := c.Next(now); s.Store() {
			replaced++
		}
	}
	is.Equal(replaced, 2)
}

// A peer whose knowledge is old counts as failed: it may be cut off from the store.
func TestStalePeerIsLeftAlone(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 9)
	for _, c := range cores(peers) {
		s, _ := c.Next(start)
		if s.Store() {
			continue
		}
		c.Done(start, s, 10*time.Second, false)
		next, _ := c.Next(start)
		is.True(next.Peer != s.Peer)
		later, _ := c.Next(start.Add(time.Minute))
		is.Equal(later.Peer, s.Peer) // it gets another chance
	}
}

// While the store refuses a reader, it learns from any peer, and tries the store
// again soon.
func TestReaderThatIsRefusedAsksPeers(t *testing.T) {
	is := is.New(t)
	self := zone("a", 1)[0]
	c := follower.NewCore(self)
	c.SetPeers(append(zone("b", 2), self))
	s, _ := c.Next(start)
	is.True(s.Store())
	c.Done(start, s, 0, true)
	s, wait := c.Next(start)
	is.Equal(wait, time.Duration(0))
	is.Equal(s.Peer.AvailabilityZone, "b")
	s, _ = c.Next(start.Add(time.Second))
	is.True(s.Store())
}

// A balancer that starts while the store is away knows no peers but the seeds, of
// which some may be gone.
func TestSeedsHelpABalancerThatStartsInAnOutage(t *testing.T) {
	is := is.New(t)
	self := follower.Peer{Name: "a-0", AvailabilityZone: "a", Address: "a-0:1"}
	c := follower.NewCore(self)
	c.SetSeeds([]string{"gone:1", self.Address, "b-1:1"})
	s, _ := c.Next(start)
	is.True(s.Store())
	c.Done(start, s, 0, true)
	asked := make(map[string]bool)
	for {
		s, wait := c.Next(start)
		if wait > 0 {
			break
		}
		is.True(!s.Store())
		asked[s.Peer.Address] = true
		c.Done(start, s, 0, true)
	}
	is.Equal(asked, map[string]bool{"gone:1": true, "b-1:1": true})
}

// An outage of the store must not turn each balancer into a frequent caller.
func TestOutageKeepsCallsFew(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 40)
	all := cores(peers)
	calls := 0
	for ms := 0; ms < 5000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, c := range all {
			s, wait := c.Next(now)
			if wait > 0 {
				continue
			}
			if s.Store() {
				calls++
				c.Done(now, s, 0, true)
			} else {
				c.Done(now, s, time.Minute, false)
			}
		}
	}
	is.True(calls <= 2*11+38*3) // readers every 0.5 s, the others every 2 s
}
