package relayer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// askTimeout is how long an answer is waited for before another peer is asked.
const askTimeout = time.Second

// Action is a message to send.
type Action struct {
	peer    string
	message Message
}

// Peer returns the receiver.
func (a Action) Peer() string { return a.peer }

// Message returns what is to be sent.
func (a Action) Message() Message { return a.message }

// Core decides whom to tell about a revision and whom to ask for one. It is for
// one goroutine.
type Core struct {
	self     string
	revision uint64
	// heard holds the latest revision of each peer.
	heard map[string]uint64
	// asked is the peer with an open question, if any.
	asked   string
	askedAt time.Time
	// refused holds the peers that did not answer in time, until one does.
	refused map[string]bool
	whole   bool
	actions []Action
}

// NewCore returns the core of the balancer self, without a revision.
func NewCore(self string) *Core {
	return &Core{self: self, heard: map[string]uint64{}, refused: map[string]bool{}}
}

// Join adds a live peer.
func (c *Core) Join(peer string) {
	if _, ok := c.heard[peer]; !ok {
		c.heard[peer] = 0
	}
}

// Leave removes a peer that is not live.
func (c *Core) Leave(peer string) {
	delete(c.heard, peer)
	delete(c.refused, peer)
	if c.asked == peer {
		c.asked = ""
	}
}

// Peers returns the live peers in a fixed order.
func (c *Core) Peers() []string { return slices.Sorted(maps.Keys(c.heard)) }

// Took notes that revision is in force here and came from the platform: all
// peers that are behind are told.
func (c *Core) Took(revision uint64) {
	c.Learned(revision)
	for _, peer := range c.Peers() {
		if c.heard[peer] < revision {
			message := Message{Announcement: &Announcement{Revision: revision}}
			c.actions = append(c.actions, Action{peer: peer, message: message})
		}
	}
}

// Learned notes that revision is in force here and came from a peer.
func (c *Core) Learned(revision uint64) {
	c.revision = max(c.revision, revision)
	c.asked = ""
	c.whole = false
	clear(c.refused)
}

// Heard notes a peer's revision, from an announcement or a heartbeat.
func (c *Core) Heard(peer string, revision uint64) {
	c.heard[peer] = max(c.heard[peer], revision)
}

// NeedWhole notes that no patches lead to the revision that was told, and that
// its snapshot can't be read: the next question is for the whole document.
func (c *Core) NeedWhole() {
	c.whole = true
	c.asked = ""
}

// Tick returns the messages to send now. One peer that is ahead is asked at a
// time.
func (c *Core) Tick(now time.Time) []Action {
	c.ask(now)
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) ask(now time.Time) {
	if c.asked != "" && now.Sub(c.askedAt) < askTimeout {
		return
	}
	if c.asked != "" {
		c.refused[c.asked] = true
		c.asked = ""
	}
	peer := c.ahead()
	if peer == "" {
		return
	}
	c.asked = peer
	c.askedAt = now
	request := &Request{Held: c.revision, Whole: c.whole}
	c.actions = append(c.actions, Action{peer: peer, message: Message{Request: request}})
}

// ahead returns the peer to ask: one with the highest revision, and of these the
// first by a hash with the own id, which spreads the questions.
func (c *Core) ahead() string {
	var peers []string
	for peer, revision := range c.heard {
		if revision > c.revision {
			peers = append(peers, peer)
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return slices.MinFunc(peers, func(a, b string) int {
		if c.refused[a] != c.refused[b] {
			if c.refused[a] {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(c.heard[b], c.heard[a]),
			cmp.Compare(c.spread(a), c.spread(b)),
			cmp.Compare(a, b),
		)
	})
}

func (c *Core) spread(peer string) uint64 {
	return xxhash.Sum64String(c.self + "/" + peer)
}
