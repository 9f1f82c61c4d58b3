package injector

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// DatagramNetwork simulates a network that loses, delays and duplicates datagrams. Its
// zero value passes all datagrams on at once. Its methods may be called from several
// goroutines.
type DatagramNetwork struct {
	mu sync.Mutex
	// lossShare is the share of datagrams that are lost, from 0 to 1.
	lossShare float64
	// maxDelay bounds the random delay of each datagram, which also reorders
	// datagrams; 0 sets no delay.
	maxDelay time.Duration
	// duplicateShare is the share of datagrams that are sent twice, from 0 to 1.
	duplicateShare float64
	// cutPairs holds the pairs of addresses whose first can't reach the second. The
	// opposite direction is a pair of its own.
	cutPairs map[[2]netip.Addr]bool
}

// Send calls send to deliver a datagram: now, after a delay, twice, or never. Cuts
// don't apply here: callers ask IsCut.
func (n *DatagramNetwork) Send(send func()) {
	n.mu.Lock()
	drop := n.lossShare > 0 && rand.Float64() < n.lossShare
	duplicate := n.duplicateShare > 0 && rand.Float64() < n.duplicateShare
	maxDelay := n.maxDelay
	n.mu.Unlock()
	if duplicate {
		// The second copy has a random delay of its own.
		time.AfterFunc(rand.N(maxDuplicateDelay), send)
	}
	switch {
	case drop:
	case maxDelay > 0:
		time.AfterFunc(rand.N(maxDelay), send)
	default:
		send()
	}
}

// maxDuplicateDelay bounds the delay of the second copy of a duplicated datagram. It
// is above 200 ms, after which both ends retransmit, so that a copy may also arrive
// after a retransmission.
const maxDuplicateDelay = 300 * time.Millisecond

// SetDuplication sets the share of datagrams that are sent twice, from 0 to 1.
func (n *DatagramNetwork) SetDuplication(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicateShare = share
}

// SetLossAndDelay sets the share of datagrams that are lost, from 0 to 1, and the upper
// bound of the random delay of each other one.
func (n *DatagramNetwork) SetLossAndDelay(lossShare float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossShare, n.maxDelay = lossShare, maxDelay
}

// SetCut cuts the direction from one address to another, or restores it.
func (n *DatagramNetwork) SetCut(from, to netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutPairs == nil {
		n.cutPairs = make(map[[2]netip.Addr]bool)
	}
	n.cutPairs[[2]netip.Addr{from, to}] = cut
}

// IsCut reports whether the direction from one address to another is cut.
func (n *DatagramNetwork) IsCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutPairs[[2]netip.Addr{from, to}]
}
