package relayer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestTimeout is how long a peer may take to answer a request before another peer is
// asked.
const requestTimeout = time.Second

// Envelope is a message with the peer that it is to be sent to.
type Envelope struct {
	peer    string
	message Message
}

// Peer returns the ID of the receiver.
func (e Envelope) Peer() string { return e.peer }

// Message returns the message to send.
func (e Envelope) Message() Message { return e.message }

// Core decides which peers to send an announcement of a revision, and which peer to
// request a newer revision from. It is not safe for concurrent use.
type Core struct {
	self string
	// revision is the revision in force in this balancer, or 0.
	revision uint64
	// peerRevisions holds the latest known revision of each live peer.
	peerRevisions map[string]uint64
	// pendingPeer is the peer that has not answered the last request yet, or "".
	pendingPeer string
	requestedAt time.Time
	// unresponsive holds the peers that did not answer in time since the last
	// revision came in force. They are asked last.
	unresponsive map[string]bool
	// needFull makes the next request ask for the whole document.
	needFull bool
	outbox   []Envelope
}

// NewCore returns the core of the balancer whose ID is self, without a revision.
func NewCore(self string) *Core {
	return &Core{self: self, peerRevisions: map[string]uint64{}, unresponsive: map[string]bool{}}
}

// AddPeer adds a live peer.
func (c *Core) AddPeer(peer string) {
	if _, ok := c.peerRevisions[peer]; !ok {
		c.peerRevisions[peer] = 0
	}
}

// RemovePeer removes a peer that is not live.
func (c *Core) RemovePeer(peer string) {
	delete(c.peerRevisions, peer)
	delete(c.unresponsive, peer)
	if c.pendingPeer == peer {
		c.pendingPeer = ""
	}
}

// Peers returns the IDs of the live peers in ascending order.
func (c *Core) Peers() []string { return slices.Sorted(maps.Keys(c.peerRevisions)) }

// AdvanceAndAnnounce notes that revision is in force in this balancer, and queues an
// announcement for each peer that has an earlier one. It is called for a revision that
// comes from the platform.
func (c *Core) AdvanceAndAnnounce(revision uint64) {
	c.Advance(revision)
	for _, peer := range c.Peers() {
		if c.peerRevisions[peer] < revision {
			message := Message{Announcement: &Announcement{Revision: revision}}
			c.outbox = append(c.outbox, Envelope{peer: peer, message: message})
		}
	}
}

// Advance notes that revision is in force in this balancer. It is called for a revision
// that comes from a peer.
func (c *Core) Advance(revision uint64) {
	c.revision = max(c.revision, revision)
	c.pendingPeer = ""
	c.needFull = false
	clear(c.unresponsive)
}

// ObserveRevision notes the revision that an announcement or a heartbeat of a peer
// contains.
func (c *Core) ObserveRevision(peer string, revision uint64) {
	c.peerRevisions[peer] = max(c.peerRevisions[peer], revision)
}

// RequestFull makes the next request ask for the whole document. It is called if the
// patches of a peer's update don't start at the revision in force, and the snapshot can't
// be read from the platform.
func (c *Core) RequestFull() {
	c.needFull = true
	c.pendingPeer = ""
}

// Tick returns the messages to send now. Only one request is open at a time.
func (c *Core) Tick(now time.Time) []Envelope {
	c.requestUpdate(now)
	outbox := c.outbox
	c.outbox = nil
	return outbox
}

// requestUpdate queues a request to a peer with a later revision, unless a request is
// open. A request that is open for requestTimeout is given up.
func (c *Core) requestUpdate(now time.Time) {
	if c.pendingPeer != "" && now.Sub(c.requestedAt) < requestTimeout {
		return
	}
	if c.pendingPeer != "" {
		c.unresponsive[c.pendingPeer] = true
		c.pendingPeer = ""
	}
	peer := c.choosePeer()
	if peer == "" {
		return
	}
	c.pendingPeer = peer
	c.requestedAt = now
	request := &Request{HeldRevision: c.revision, Full: c.needFull}
	c.outbox = append(c.outbox, Envelope{peer: peer, message: Message{Request: request}})
}

// choosePeer returns the peer to request a revision from, or "" if none has a later one
// than this balancer. Responsive peers come first, then those with the highest revision.
// Ties are broken by a hash that differs between balancers, which spreads the requests.
func (c *Core) choosePeer() string {
	var peers []string
	for peer, revision := range c.peerRevisions {
		if revision > c.revision {
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return slices.MinFunc(peers, func(a, b string) int {
		if c.unresponsive[a] != c.unresponsive[b] {
			if c.unresponsive[a] {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(c.peerRevisions[b], c.peerRevisions[a]),
			cmp.Compare(c.peerHash(a), c.peerHash(b)),
			cmp.Compare(a, b),
		)
	})
}

// peerHash returns a hash of a peer's ID that is specific to this balancer.
func (c *Core) peerHash(peer string) uint64 {
	return xxhash.Sum64String(c.self + "/" + peer)
}
