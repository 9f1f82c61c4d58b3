package director_test

import (
	"net/netip"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/director"
)

// BenchmarkOpening measures the decision on the first packet of a flow, at 300 balancers and
// 600 targets. The caller ends each flow before it opens the next.
func BenchmarkOpening(b *testing.B) {
	d := newDirectorIn("a", 0)
	d.SetBalancerCounts(300, 100)
	for id := 1; id <= 600; id++ {
		t := target(id)
		t.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80)
		d.SetTarget(start, t)
	}
	packets := make([]*director.Packet, 4096)
	for n := range packets {
		packets[n] = opening(n, 0)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		p := packets[n%len(packets)]
		p.Sequence++
		d.Decide(start.Add(time.Duration(n)*time.Millisecond), p)
		if n++; n%1000 == 0 {
			d.Tick(start.Add(time.Duration(n) * time.Millisecond))
		}
	}
}
