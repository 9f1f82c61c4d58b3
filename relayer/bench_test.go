package relayer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/relayer"
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

const (
	// documentTargets is the number of targets of the document that the system is
	// designed for.
	documentTargets = 9800
	// changesPerDay is the rate of changes that the system is designed for.
	changesPerDay = 5800
	// speedUp is the ratio of the rate of changes in the benchmark to changesPerDay.
	speedUp = 4
	// steadyChanges and burstChanges are the numbers of changes in one iteration.
	steadyChanges = 8
	burstChanges  = 20
	// changeInterval is the time between two changes of the steady benchmarks.
	changeInterval = 24 * time.Hour / changesPerDay / speedUp
)

// ports returns a list of one address: first.18.x.y, where x and y are the upper and the
// lower byte of n, with the port.
func ports(first byte, n int, port uint16) []netip.AddrPort {
	address := netip.AddrFrom4([4]byte{first, 18, byte(n >> 8), byte(n)})
	return []netip.AddrPort{netip.AddrPortFrom(address, port)}
}

// BenchmarkFleet measures the traffic of the balancers of one availability zone for each
// change of the document: watches and their bytes at the platform, and bytes between
// peers for each balancer.
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

// BenchmarkAllWatch measures the traffic of BenchmarkFleet if every balancer watches the
// platform.
func BenchmarkAllWatch(b *testing.B) {
	for _, n := range []int{13, 76} {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			ownOnly := func(id string) []relayer.Member { return []relayer.Member{{ID: id}} }
			benchmarkChanges(b, startFleetOf(b, members(n), ownOnly), steadyChanges, changeInterval)
		})
	}
}

// benchmarkChanges publishes changes at the interval, or as fast as possible if it is 0,
// and reports the traffic and the longest time until a change was in force everywhere.
func benchmarkChanges(b *testing.B, f *fleet, changes int, interval time.Duration) {
	b.Helper()
	d := fleetDocument(documentTargets)
	f.waitForRevision(b, f.publish(b, d))
	for b.Loop() {
		calls := f.kv.Calls()
		traffic := f.traffic()
		slowest := time.Duration(0)
		for i := range changes {
			start := time.Now()
			d = withNewWeight(d, i)
			revision := f.publish(b, d)
			published := time.Now()
			if interval > 0 || i == changes-1 {
				slowest = max(slowest, f.waitForRevision(b, revision).Sub(published))
			}
			time.Sleep(time.Until(start.Add(interval)))
		}
		f.reportMetrics(b, calls, traffic, float64(changes))
		b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// reportMetrics reports the traffic since calls and traffic were read, per change.
func (f *fleet) reportMetrics(b *testing.B, calls kvserver.CallCounts, traffic map[string]uint64, changes float64) {
	now := f.kv.Calls()
	total, most := uint64(0), uint64(0)
	for id, bytes := range f.traffic() {
		total += bytes - traffic[id]
		most = max(most, bytes-traffic[id])
	}
	b.ReportMetric(float64(now.Watches-calls.Watches)/changes, "watches/change")
	b.ReportMetric(float64(now.WatchBytesOut-calls.WatchBytesOut)/changes, "watch-B/change")
	b.ReportMetric(float64(total)/changes/float64(len(f.nodes)), "peer-B/change/balancer")
	b.ReportMetric(float64(most)/changes, "busiest-peer-B/change")
}

// traffic returns the number of bytes that each balancer has sent and received, by ID.
func (f *fleet) traffic() map[string]uint64 {
	bytes := map[string]uint64{}
	for id, n := range f.nodes {
		bytes[id] = n.sent.Load() + n.received.Load()
	}
	return bytes
}
