// Package follower decides where a balancer learns what the platform's store
// holds: from the store itself, or from a balancer that reads it.
//
// A few balancers of each availability zone read the store, those that come first
// in an order that follows from their names. The others ask one of them. Nobody is
// elected: a balancer reads the store if it knows of too few live balancers before
// it in that order, so the death of any of them needs no agreement. A source that
// fails, or whose knowledge is old, is left alone for a while.
//
// # Usage
//
//	core := follower.NewCore(self)
//	core.SetPeers(peers)
//	source := core.Next(now)
//	update, err := fetch(source)
//	core.Done(now, source, update.Age, err != nil)
//
// Core has no clock and does no input or output; it is not safe for use from
// several goroutines. Follower is the loop around it.
package follower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerZone is how many balancers of a zone read the store. With two, the
	// death of one delays no change for half of the zone.
	readersPerZone = 2
	// staleAge is the age from which on a peer's knowledge is not worth asking for:
	// twice what a follower of a live reader holds at most (1.6 s), rounded down.
	staleAge = 2500 * time.Millisecond
	// shunFor is how long a source that failed is left alone, doubled with each
	// failure in a row up to shunForMost.
	shunFor     = 2 * time.Second
	shunForMost = 16 * time.Second
	// maxMisses is how many peers in a row may not answer before a balancer asks the
	// store itself. Each takes 1.1 s to be given up, and a view must not be 3 s old.
	maxMisses = 2
	// alikeFor is how long the answer of a balancer that knows nothing newer counts:
	// it is asked again once it has been left alone for shunForMost.
	alikeFor = 20 * time.Second
	// isolationWitnesses is how many must find that nothing newer is to be had: as many
	// as read the store for a zone.
	isolationWitnesses = readersPerZone
	// readerRetry is how long a reader waits after a failed call to the store. A
	// balancer that reads only because the readers fail waits substituteRetry, so
	// that an outage doesn't make a fleet of callers.
	readerRetry     = 500 * time.Millisecond
	substituteRetry = 2 * time.Second
)

// Peer is another balancer.
type Peer struct {
	Name             string
	AvailabilityZone string
	// Address is where it answers its peers.
	Address string
	// Strength says how fit it is to read for others, see StrengthOf.
	Strength int
}

const (
	// readerMbps and readerCores are what one reader of a large zone needs: a
	// configuration of 400 routes that changes five times a second is 2 Mbit/s from
	// the store and 2 Mbit/s to 40 followers, beside callers' packets.
	readerMbps  = 50
	readerCores = 0.1
	// maxStrength is the strength from which on balancers are equally fit.
	maxStrength = 2
)

// StrengthOf returns the strength of a balancer with a link in Mbit/s and a share
// of the processor in cores, from 0 to 2.
func StrengthOf(linkMbps, cores float64) int {
	return int(min(linkMbps/readerMbps, cores/readerCores, maxStrength))
}

// Source is where to ask next. The zero Peer means the store.
type Source struct {
	Peer Peer
}

// Store reports whether the source is the store itself.
func (s Source) Store() bool { return s.Peer.Address == "" }

// String names the source for logs.
func (s Source) String() string {
	if s.Store() {
		return "store"
	}
	return cmp.Or(s.Peer.Name, s.Peer.Address)
}

// health is what is known of one source.
type health struct {
	failures  int
	shunUntil time.Time
	// alikeAt is when it last answered, a balancer of the own zone, with knowledge
	// that is old too.
	alikeAt time.Time
}

// Core is the decision.
type Core struct {
	self  Peer
	seeds []string
	peers []Peer
	// nearby are the balancers of the own zone, the own one included, in order.
	nearby  []Peer
	sources map[string]*health
	// starting says that no source has answered yet, and patientUntil is until when
	// the first view is expected from a reader, which may be starting itself.
	starting     bool
	patientUntil time.Time
	tries        int
	// misses counts the peers in a row that did not answer, the last at missedAt.
	misses   int
	missedAt time.Time
	// freshAt is when a source last had knowledge that isn't old, and informed the last
	// peer that had.
	freshAt  time.Time
	informed Peer
}

// NewCore returns the Core of one balancer, which knows no peers.
func NewCore(self Peer) *Core {
	c := &Core{self: self, sources: make(map[string]*health)}
	c.SetPeers(nil)
	return c
}

// SetSeeds sets addresses to ask as long as no peers are known.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// SetPeers sets the other balancers that are registered.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = c.peers[:0]
	c.nearby = append(c.nearby[:0], c.self)
	for _, p := range peers {
		if p.Name == c.self.Name || p.Address == c.self.Address {
			continue
		}
		c.peers = append(c.peers, p)
		if p.AvailabilityZone == c.self.AvailabilityZone {
			c.nearby = append(c.nearby, p)
		}
	}
	slices.SortFunc(c.peers, byRank)
	slices.SortFunc(c.nearby, byRank)
	c.readersFirst()
}

// readersFirst puts the balancers that read for the own zone first, and has the others
// follow from a place that differs between balancers, so that not all ask the same.
func (c *Core) readersFirst() {
	var readers, others []Peer
	for _, p := range c.peers {
		if slices.Contains(c.nearby[:min(len(c.nearby), readersPerZone)], p) {
			readers = append(readers, p)
		} else {
			others = append(others, p)
		}
	}
	if len(others) > 0 {
		first := rank(c.self.Name) % uint64(len(others))
		others = append(others[first:len(others):len(others)], others[:first]...)
	}
	c.peers = slices.Concat(readers, others)
}

func byRank(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(b.Strength, a.Strength),
		cmp.Compare(rank(a.Name), rank(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }

const (
	// crowd is the number of balancers from which on a starting one asks a reader for
	// its first view. Below it, all can read the store at once: 60 views of 200 KB
	// take 0.1 s of a link of 1 Gbit/s.
	crowd = 60
	// firstPatience is how long a reader may take to give the first view. VMs start
	// within 0.3 s of each other, and a reader of 3,000 targets takes 0.2 s.
	firstPatience = 500 * time.Millisecond
)

// Begin notes that the balancer starts, with the balancers that the store lists.
// Load pattern: hundreds of balancers start at once, and if each read everything,
// the store's link would be full for seconds.
func (c *Core) Begin(now time.Time, peers []Peer) {
	c.SetPeers(peers)
	c.starting = true
	if len(peers) >= crowd {
		c.patientUntil = now.Add(firstPatience)
	}
}

// Patient reports whether the first view is still expected from a reader.
func (c *Core) Patient(now time.Time) bool { return c.starting && now.Before(c.patientUntil) }

// Next returns the source to ask now, or how long to wait before there is one.
func (c *Core) Next(now time.Time) (Source, time.Duration) {
	readers := c.readers(now)
	retry := c.healthOf("").shunUntil
	misses := c.misses
	if now.Sub(c.missedAt) > shunForMost {
		misses = 0
	}
	lost := misses >= maxMisses && !now.Before(retry)
	if (!c.starting || c.Patient(now)) && !slices.Contains(readers, c.self) && !lost {
		if misses > 0 {
			// The first that is left has most likely read for the zone before.
			return Source{Peer: readers[0]}, 0
		}
		// Halves of the zone ask different readers.
		return Source{Peer: readers[(rank(c.self.Name)+uint64(c.tries))%uint64(len(readers))]}, 0
	}
	if !now.Before(retry) {
		return Source{}, 0
	}
	if p, ok := c.anyPeer(now); ok {
		return Source{Peer: p}, 0
	}
	return Source{}, retry.Sub(now)
}

// readers returns who reads the store in the own zone, as far as this balancer
// can tell.
func (c *Core) readers(now time.Time) []Peer {
	readers := make([]Peer, 0, readersPerZone)
	for _, p := range c.nearby {
		if p != c.self && c.shunned(now, p.Address) {
			continue
		}
		readers = append(readers, p)
		if len(readers) == readersPerZone {
			break
		}
	}
	return readers
}

// anyPeer returns a peer to ask while the store doesn't answer: the one that knew
// something new, or the first that isn't left alone, of those that read for the own zone
// and then of any.
func (c *Core) anyPeer(now time.Time) (Peer, bool) {
	candidates := c.peers
	if i := slices.Index(candidates, c.informed); i >= 0 && !c.shunned(now, c.informed.Address) {
		return candidates[i], true
	}
	if len(candidates) == 0 {
		for _, address := range c.seeds {
			if address != c.self.Address {
				candidates = append(candidates, Peer{Address: address})
			}
		}
	}
	for _, p := range candidates {
		if !c.shunned(now, p.Address) {
			return p, true
		}
	}
	return Peer{}, false
}

// Done notes what came of asking a source: how old its knowledge was, or that it
// failed.
func (c *Core) Done(now time.Time, s Source, age time.Duration, failed bool) {
	h := c.healthOf(s.Peer.Address)
	if !failed {
		c.starting = false
		c.tries = 0
	}
	if !failed && age <= staleAge {
		*h = health{}
		c.freshAt = now
		c.misses = 0
		if !s.Store() {
			c.informed = s.Peer
		}
		return
	}
	if !failed && s.Peer.AvailabilityZone == c.self.AvailabilityZone {
		h.alikeAt = now
	}
	if !s.Store() && c.Patient(now) {
		// It may be starting too.
		c.tries++
		return
	}
	h.failures++
	if s.Store() {
		h.shunUntil = now.Add(c.storeRetry())
		return
	}
	if failed {
		c.misses++
		c.missedAt = now
	}
	h.shunUntil = now.Add(min(shunFor<<min(h.failures-1, 8), shunForMost))
}

// Isolated reports whether the own zone as a whole seems to be without the store: two
// others of the zone answer and know nothing newer, or one does and the store fails for
// this balancer too. Load pattern: a zone is cut off from the store and the other zones
// while its callers and targets still reach each other.
func (c *Core) Isolated(now time.Time) bool {
	if now.Sub(c.freshAt) <= staleAge {
		return false
	}
	witnesses := 0
	for _, h := range c.sources {
		if h.alikeAt.After(c.freshAt) && now.Sub(h.alikeAt) <= alikeFor {
			witnesses++
		}
	}
	if witnesses > 0 && c.healthOf("").failures > 0 {
		witnesses++
	}
	return witnesses >= isolationWitnesses
}

// storeRetry is how long to leave the store alone after a failure.
func (c *Core) storeRetry() time.Duration {
	if slices.Index(c.nearby, c.self) < readersPerZone {
		return readerRetry
	}
	return substituteRetry
}

func (c *Core) shunned(now time.Time, address string) bool {
	h := c.sources[address]
	return h != nil && now.Before(h.shunUntil)
}

func (c *Core) healthOf(address string) *health {
	h := c.sources[address]
	if h == nil {
		h = &health{}
		c.sources[address] = h
	}
	return h
}
