// Package follower keeps a balancer's copy of the platform's store, its view, up to
// date. It chooses the source to query: the store itself, or another balancer.
//
// Two balancers of each availability zone, the readers, query the store; the others
// query a reader. Every balancer sorts the balancers of its zone by strength, and by a
// hash of their names among equals, so that all arrive at the same order. The first two
// that respond are the readers. There is no election: a balancer queries the store if
// fewer than two balancers before it in that order respond, so the failure of a reader
// needs no agreement. A source that fails or returns stale data is not queried again
// until a backoff has passed.
//
// Whatever its sources do, a balancer whose own view becomes stale queries the store next.
// The age of a view is an upper bound: each answer counts as old as it can be.
//
// # Usage
//
//	core := follower.NewCore(self)
//	core.SetPeers(peers)
//	source, _ := core.Next(now)
//	update, err := fetch(source, core.Wait(now, source))
//	core.RecordResult(now, source, update.Age, err != nil)
//
// Core makes the decisions. It has no clock, does no input or output, and is not safe
// for concurrent use. Follower is the loop that queries the sources that Core chooses.
package follower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerZone is the number of balancers of a zone that query the store. With
	// two, the failure of one delays no change for the half of the zone that queries
	// the other.
	readersPerZone = 2
	// staleAge is the age above which an answer or the own view is stale. It exceeds
	// maxReaderAge plus peerWait, and leaves time for a query that fails and one to the
	// store before a view is 3 s old.
	staleAge = 1800 * time.Millisecond
	// maxReaderAge is the age that a reader's view may reach before the store's next answer.
	maxReaderAge = 1250 * time.Millisecond
	// minStoreWait is the least time that a query lets the store wait for a change.
	minStoreWait = 100 * time.Millisecond
	// answerMargin is the time beyond the wait in which a peer's answer is expected, so
	// that it arrives before the own view is stale.
	answerMargin = 200 * time.Millisecond
	// initialBackoff is how long a peer is not queried after its first failure or stale
	// answer. The backoff doubles with each consecutive one, up to maxBackoff.
	initialBackoff = 2 * time.Second
	maxBackoff     = 16 * time.Second
	// maxPeerFailures is the number of consecutive failed queries to peers after which
	// a balancer queries the store itself. Each query to an unresponsive peer takes
	// 1.1 s, and a view must not become 3 s old.
	maxPeerFailures = 2
	// staleAnswerTTL is how long a stale answer counts as an indication that the zone
	// is isolated. It exceeds maxBackoff, after which the peer is queried again.
	staleAnswerTTL = 20 * time.Second
	// isolationThreshold is the number of indications from which on the zone counts as
	// isolated, see Core.ZoneIsolated. It equals the number of readers of a zone.
	isolationThreshold = readersPerZone
	// readerRetryDelay is how long a reader waits after a failed query to the store. A
	// balancer that queries the store only because the readers fail waits for
	// substituteRetryDelay, so that in an outage not all balancers of the fleet query
	// the store often.
	readerRetryDelay     = 500 * time.Millisecond
	substituteRetryDelay = 2 * time.Second
)

// Peer is another balancer.
type Peer struct {
	Name             string
	AvailabilityZone string
	// Address is the host and port at which the balancer answers its peers.
	Address string
	// Strength is the balancer's capacity to serve as a reader, from 0 to MaxStrength;
	// see StrengthOf.
	Strength int
}

const (
	// readerMbps and readerCores are the link rate and the processor share that the
	// reader of a large zone needs beside its callers' packets. A configuration of
	// 400 routes that changes five times a second takes 2 Mbit/s from the store and
	// 2 Mbit/s to 40 balancers that query the reader.
	readerMbps  = 50
	readerCores = 0.1
	// MaxStrength caps the strength: above it, more capacity gives no precedence.
	MaxStrength = 2
)

// StrengthOf returns the strength, from 0 to 2, of a balancer that has a link of
// linkMbps Mbit/s and a processor share of cores: how many times over it has the
// capacity that a reader needs.
func StrengthOf(linkMbps, cores float64) int {
	return int(min(linkMbps/readerMbps, cores/readerCores, MaxStrength))
}

// Source is a source of updates: a peer, or the store if Peer is the zero Peer.
type Source struct {
	Peer Peer
}

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.Peer.Address == "" }

// String returns the name of the source for logs: "store", or the peer's name or
// address.
func (s Source) String() string {
	if s.IsStore() {
		return "store"
	}
	return cmp.Or(s.Peer.Name, s.Peer.Address)
}

// sourceState holds the results of the queries to one source.
type sourceState struct {
	// failures is the number of consecutive failures and stale answers.
	failures     int
	backoffUntil time.Time
	// staleAnswerAt is the time of the last stale answer of a balancer of the own
	// zone. It is zero for other sources.
	staleAnswerAt time.Time
}

// Core chooses the source to query next, from the registered balancers and the results
// of earlier queries.
type Core struct {
	self  Peer
	seeds []string
	peers []Peer
	// zoneMembers holds the balancers of the own zone, this one included, in the order
	// in which they become readers.
	zoneMembers []Peer
	// sources holds the states of the sources by address; the store's address is "".
	sources map[string]*sourceState
	// starting is true until a source has answered.
	starting bool
	// firstViewDeadline is the time up to which a starting balancer queries only the
	// readers for its first view; they may be starting too. firstViewAttempts is the
	// number of these queries that failed.
	firstViewDeadline time.Time
	firstViewAttempts int
	// peerFailures is the number of consecutive failed queries to peers, and
	// lastPeerFailure the time of the last one.
	peerFailures    int
	lastPeerFailure time.Time
	// confirmedAt is when the store last confirmed the view, or zero before the first view.
	confirmedAt time.Time
	// lastFreshAnswer is the time of the last answer that was not stale, and
	// lastFreshPeer the last peer that gave such an answer.
	lastFreshAnswer time.Time
	lastFreshPeer   Peer
}

// NewCore returns the Core of the balancer self. It has no peers yet.
func NewCore(self Peer) *Core {
	c := &Core{self: self, sources: make(map[string]*sourceState)}
	c.SetPeers(nil)
	return c
}

// SetSeeds sets the addresses of balancers to query while no peers are known and the
// store fails.
func (c *Core) SetSeeds(seeds []string) { c.seeds = seeds }

// SetPeers sets the registered balancers. An entry for this balancer is ignored.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = c.peers[:0]
	c.zoneMembers = append(c.zoneMembers[:0], c.self)
	for _, p := range peers {
		if p.Name == c.self.Name || p.Address == c.self.Address {
			continue
		}
		c.peers = append(c.peers, p)
		if p.AvailabilityZone == c.self.AvailabilityZone {
			c.zoneMembers = append(c.zoneMembers, p)
		}
	}
	slices.SortFunc(c.peers, comparePeers)
	slices.SortFunc(c.zoneMembers, comparePeers)
	c.orderPeers()
}

// orderPeers puts the readers of the own zone first. It rotates the other peers by an
// offset that differs between balancers, so that not all balancers query the same peer.
func (c *Core) orderPeers() {
	var readers, others []Peer
	for _, p := range c.peers {
		if slices.Contains(c.zoneMembers[:min(len(c.zoneMembers), readersPerZone)], p) {
			readers = append(readers, p)
		} else {
			others = append(others, p)
		}
	}
	if len(others) > 0 {
		first := nameHash(c.self.Name) % uint64(len(others))
		others = append(others[first:len(others):len(others)], others[:first]...)
	}
	c.peers = slices.Concat(readers, others)
}

// comparePeers orders peers by descending strength, then by a hash of the name, and
// then by the name.
func comparePeers(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(b.Strength, a.Strength),
		cmp.Compare(nameHash(a.Name), nameHash(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// nameHash returns the hash that orders balancers of equal strength and that spreads
// balancers over sources.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

const (
	// largeFleet is the number of registered balancers from which on a starting
	// balancer asks a reader for its first view. In a smaller fleet all balancers can
	// read the store at once: 60 views of 200 KB take 0.1 s on a link of 1 Gbit/s.
	largeFleet = 60
	// firstViewTimeout is how long a starting balancer of a large fleet waits for the
	// first view from a reader. VMs start within 0.3 s of each other, and a reader
	// with 3,000 targets takes 0.2 s.
	firstViewTimeout = 500 * time.Millisecond
)

// Start notes that the balancer starts at now and that the store lists peers. In a
// large fleet, only the readers get their first view from the store.
// Load pattern: hundreds of balancers start at once. If each read the whole store, the
// store's link would be saturated for seconds.
func (c *Core) Start(now time.Time, peers []Peer) {
	c.SetPeers(peers)
	c.starting = true
	if len(peers) >= largeFleet {
		c.firstViewDeadline = now.Add(firstViewTimeout)
	}
}

// AwaitsFirstView reports whether a starting balancer still waits for its first view
// from a reader. After that, it queries the store.
func (c *Core) AwaitsFirstView(now time.Time) bool {
	return c.starting && now.Before(c.firstViewDeadline)
}

// Next returns the source to query now. If there is none, it returns a positive
// duration to wait before the next call.
func (c *Core) Next(now time.Time) (Source, time.Duration) {
	readers := c.activeReaders(now)
	retry := c.stateOf("").backoffUntil
	if c.viewAge(now) > staleAge && !now.Before(retry) {
		return Source{}, 0
	}
	peerFailures := c.peerFailures
	if now.Sub(c.lastPeerFailure) > maxBackoff {
		peerFailures = 0
	}
	peersFailing := peerFailures >= maxPeerFailures && !now.Before(retry)
	if (!c.starting || c.AwaitsFirstView(now)) && !slices.Contains(readers, c.self) && !peersFailing {
		if peerFailures > 0 {
			// The first remaining reader was most likely a reader before the
			// failure, so it has recent data.
			return Source{Peer: readers[0]}, 0
		}
		// The hash splits the zone evenly between the readers. Each failed attempt
		// to get the first view moves on to the next reader.
		return Source{Peer: readers[(nameHash(c.self.Name)+uint64(c.firstViewAttempts))%uint64(len(readers))]}, 0
	}
	if !now.Before(retry) {
		return Source{}, 0
	}
	if p, ok := c.fallbackPeer(now); ok {
		return Source{Peer: p}, 0
	}
	return Source{}, retry.Sub(now)
}

// Wait returns how long the source s may wait for a change before it answers a query that
// begins now. The wait is shorter if the view is old already.
func (c *Core) Wait(now time.Time, s Source) time.Duration {
	age := c.viewAge(now)
	if s.IsStore() {
		return min(max(maxReaderAge-age, minStoreWait), storeWait)
	}
	return min(max(staleAge-answerMargin-age, 0), peerWait)
}

// viewAge returns the age of the view, or 0 before the first view.
func (c *Core) viewAge(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(c.confirmedAt)
}

// activeReaders returns the readers of the own zone as this balancer sees them: the
// first zone members that are not in backoff, this balancer included.
func (c *Core) activeReaders(now time.Time) []Peer {
	readers := make([]Peer, 0, readersPerZone)
	for _, p := range c.zoneMembers {
		if p != c.self && c.backingOff(now, p.Address) {
			continue
		}
		readers = append(readers, p)
		if len(readers) == readersPerZone {
			break
		}
	}
	return readers
}

// fallbackPeer returns the peer to query while the store is in backoff, if there is one
// that is not in backoff itself. The peer that gave the last fresh answer comes first,
// then the readers of the own zone, then all other peers. Without any peers, it returns
// a seed.
func (c *Core) fallbackPeer(now time.Time) (Peer, bool) {
	candidates := c.peers
	if i := slices.Index(candidates, c.lastFreshPeer); i >= 0 && !c.backingOff(now, c.lastFreshPeer.Address) {
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
		if !c.backingOff(now, p.Address) {
			return p, true
		}
	}
	return Peer{}, false
}

// RecordResult notes the result of a query to the source s: the age of the data that s
// returned, or that the query failed.
func (c *Core) RecordResult(now time.Time, s Source, age time.Duration, failed bool) {
	state := c.stateOf(s.Peer.Address)
	if confirmedAt := now.Add(-age); !failed && confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	if !failed {
		c.starting = false
		c.firstViewAttempts = 0
	}
	if !failed && age <= staleAge {
		*state = sourceState{}
		c.lastFreshAnswer = now
		c.peerFailures = 0
		if !s.IsStore() {
			c.lastFreshPeer = s.Peer
		}
		return
	}
	if !failed && s.Peer.AvailabilityZone == c.self.AvailabilityZone {
		state.staleAnswerAt = now
	}
	if !s.IsStore() && c.AwaitsFirstView(now) {
		// The peer may be starting too, so its failure causes no backoff.
		c.firstViewAttempts++
		return
	}
	state.failures++
	if s.IsStore() {
		state.backoffUntil = now.Add(c.storeRetryDelay())
		return
	}
	if failed {
		c.peerFailures++
		c.lastPeerFailure = now
	}
	state.backoffUntil = now.Add(min(initialBackoff<<min(state.failures-1, 8), maxBackoff))
}

// ZoneIsolated reports whether the own zone as a whole seems to be cut off from the
// store. That is so if this balancer has had no fresh answer for staleAge, and either
// two other balancers of the zone gave stale answers, or one did and the store fails
// for this balancer too.
// Load pattern: a zone is cut off from the store and the other zones while its callers
// and targets still reach each other.
func (c *Core) ZoneIsolated(now time.Time) bool {
	if now.Sub(c.lastFreshAnswer) <= staleAge {
		return false
	}
	indications := 0
	for _, state := range c.sources {
		if state.staleAnswerAt.After(c.lastFreshAnswer) && now.Sub(state.staleAnswerAt) <= staleAnswerTTL {
			indications++
		}
	}
	if indications > 0 && c.stateOf("").failures > 0 {
		indications++
	}
	return indications >= isolationThreshold
}

// storeRetryDelay returns how long not to query the store after a failure.
func (c *Core) storeRetryDelay() time.Duration {
	if slices.Index(c.zoneMembers, c.self) < readersPerZone {
		return readerRetryDelay
	}
	return substituteRetryDelay
}

// backingOff reports whether the source at address is in backoff.
func (c *Core) backingOff(now time.Time, address string) bool {
	state := c.sources[address]
	return state != nil && now.Before(state.backoffUntil)
}

// stateOf returns the state of the source at address, and adds it if it is missing.
func (c *Core) stateOf(address string) *sourceState {
	state := c.sources[address]
	if state == nil {
		state = &sourceState{}
		c.sources[address] = state
	}
	return state
}
