package disturber

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Datagrams is a network that datagrams pass. Its zero value loses and delays none.
type Datagrams struct {
	mu sync.Mutex
	// lose is the share of datagrams that are lost, late by how much one may be
	// delayed; others overtake it.
	lose float64
	late time.Duration
	// twice is the share of datagrams that come twice.
	twice float64
	// cut holds the pairs of addresses that can't reach each other.
	cut map[[2]netip.Addr]bool
}

// Carry sends a datagram now, later or never.
func (d *Datagrams) Carry(send func()) {
	d.mu.Lock()
	lost := d.lose > 0 && rand.Float64() < d.lose
	twice := d.twice > 0 && rand.Float64() < d.twice
	late := d.late
	d.mu.Unlock()
	if twice {
		// The second one comes as late as any other may.
		time.AfterFunc(rand.N(doubleWithin), send)
	}
	switch {
	case lost:
	case late > 0:
		time.AfterFunc(rand.N(late), send)
	default:
		send()
	}
}

// doubleWithin bounds the time between the two of a doubled datagram: both ends send
// again after 200 ms, so it spans that.
const doubleWithin = 300 * time.Millisecond

// SetTwice has a share of the datagrams come twice.
func (d *Datagrams) SetTwice(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.twice = share
}

// Set has a share of the datagrams lost, and each delayed by up to late.
func (d *Datagrams) Set(lose float64, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose, d.late = lose, late
}

// SetCut cuts one address from another, or joins them again.
func (d *Datagrams) SetCut(a, b netip.Addr, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut == nil {
		d.cut = make(map[[2]netip.Addr]bool)
	}
	d.cut[[2]netip.Addr{a, b}] = cut
}

// IsCut reports whether the two can't reach each other.
func (d *Datagrams) IsCut(a, b netip.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut[[2]netip.Addr{a, b}]
}
