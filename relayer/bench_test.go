package relayer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/relayer"
	"trefoilspring.example/trefoilspring/standin/keeper"
)

const (
	// aimTargets is the size of the document.
	aimTargets = 9800
	// changesPerDay is the aim's rate.
	changesPerDay = 5800
	// speedUp is how much faster than the aim the changes come in the benchmark.
	speedUp = 4
	// steadyChanges and burstChanges are the numbers of changes measured.
	steadyChanges = 8
	burstChanges  = 20
	// changeInterval is the time between two steady changes.
	changeInterval = 24 * time.Hour / changesPerDay / speedUp
)

func ports(first byte, n int, port uint16) []netip.AddrPort {
	address := netip.AddrFrom4([4]byte{first, 18, byte(n >> 8), byte(n)})
	return []netip.AddrPort{netip.AddrPortFrom(address, port)}
}

// BenchmarkFleet measures what one availability zone's balancers cost: calls and
// bytes for each change at the platform and for each balancer between peers.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{13, 20, 40, 76} {
		b.Run(fmt.Sprintf("steady/balancers=%d", n), func(b *testing.B) {
			benchmarkChanges(b, startFleet(b, n), steadyChanges, changeInterval)
		})
	}
	b.Run("burst/balancers=76", func(b *testing.B) {
		benchmarkChanges(b, startFleet(b, 76), burstChanges, 0)
	})
}

// BenchmarkAllWatch measures the same if each balancer watches by itself.
func BenchmarkAllWatch(b *testing.B) {
	for _, n := range []int{13, 76} {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			alone := func(id string) []relayer.Member { return []relayer.Member{{ID: id}} }
			benchmarkChanges(b, startFleetOf(b, members(n), alone), steadyChanges, changeInterval)
		})
	}
}

func benchmarkChanges(b *testing.B, f *fleet, changes int, interval time.Duration) {
	b.Helper()
	d := fleetDocument(aimTargets)
	f.await(b, f.publish(b, d))
	for b.Loop() {
		calls := f.keeper.Calls()
		traffic := f.traffic()
		slowest := time.Duration(0)
		for i := range changes {
			start := time.Now()
			d = changed(d, i)
			revision := f.publish(b, d)
			published := time.Now()
			if interval > 0 || i == changes-1 {
				slowest = max(slowest, f.await(b, revision).Sub(published))
			}
			time.Sleep(time.Until(start.Add(interval)))
		}
		f.report(b, calls, traffic, float64(changes))
		b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// report sets the metrics of the changes since calls and traffic were read.
func (f *fleet) report(b *testing.B, calls keeper.Calls, traffic map[string]uint64, changes float64) {
	now := f.keeper.Calls()
	total, most := uint64(0), uint64(0)
	for id, bytes := range f.traffic() {
		total += bytes - traffic[id]
		most = max(most, bytes-traffic[id])
	}
	b.ReportMetric(float64(now.Watches-calls.Watches)/changes, "watches/change")
	b.ReportMetric(float64(now.WatchBytesOut-calls.WatchBytesOut)/changes, "watch-B/change")
	b.ReportMetric(float64(total)/changes/float64(len(f.daemons)), "peer-B/change/balancer")
	b.ReportMetric(float64(most)/changes, "busiest-peer-B/change")
}

// traffic returns the bytes that each balancer sent and received.
func (f *fleet) traffic() map[string]uint64 {
	bytes := map[string]uint64{}
	for id, d := range f.daemons {
		bytes[id] = d.sent.Load() + d.received.Load()
	}
	return bytes
}
