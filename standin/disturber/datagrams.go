package disturber

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Datagrams simulates a network that loses, delays and duplicates datagrams. Its zero
// value passes all datagrams on at once. Its methods may be called from several
// goroutines.
type Datagrams struct {
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

// Carry calls send to deliver a datagram: now, after a delay, twice, or never. Cuts
// don't apply here: callers ask IsCut.
func (d *Datagrams) Carry(send func()) {
	d.mu.Lock()
	drop := d.lossShare > 0 && rand.Float64() < d.lossShare
	duplicate := d.duplicateShare > 0 && rand.Float64() < d.duplicateShare
	maxDelay := d.maxDelay
	d.mu.Unlock()
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

// SetTwice sets the share of datagrams that are sent twice, from 0 to 1.
func (d *Datagrams) SetTwice(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.duplicateShare = share
}

// Set sets the share of datagrams that are lost, from 0 to 1, and the upper bound of
// the random delay of each other one.
func (d *Datagrams) Set(lossShare float64, maxDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lossShare, d.maxDelay = lossShare, maxDelay
}

// SetCut cuts the direction from one address to another, or restores it.
func (d *Datagrams) SetCut(from, to netip.Addr, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cutPairs == nil {
		d.cutPairs = make(map[[2]netip.Addr]bool)
	}
	d.cutPairs[[2]netip.Addr{from, to}] = cut
}

// IsCut reports whether the direction from one address to another is cut.
func (d *Datagrams) IsCut(from, to netip.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutPairs[[2]netip.Addr{from, to}]
}
