package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/operator"
)

// relay returns a loop that only reads and writes batches. Its throughput is the
// baseline for the forwarder's.
func relay(conn *net.UDPConn, to netip.AddrPort) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
		defer stop()
		reader := batcher.NewReader(conn)
		writer := batcher.NewWriter(conn)
		for {
			n, err := reader.Read()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			for i := range n {
				writer.Add(reader.Datagram(i), to)
			}
			if _, err := writer.Flush(); err != nil {
				return err
			}
		}
	}
}

// maxInFlight bounds the packets that were sent by the fabric and have not yet reached
// the target.
const maxInFlight = 512

// pump sends packets from the fabric to the target. It returns the packets per second
// and, for the whole process, the allocations per packet.
func (b *testbed) pump(t testing.TB, packets int) (rate, allocations float64) {
	datagram := datagramOf(t, &layers.UDP{SrcPort: 40000, DstPort: 443}, layers.IPProtocolUDP, 200)
	var arrived atomic.Int64
	var group errgroup.Group
	group.Go(func() error {
		reader := batcher.NewReader(b.target)
		_ = b.target.SetReadDeadline(time.Now().Add(20 * time.Second))
		for arrived.Load() < int64(packets) {
			n, err := reader.Read()
			if err != nil {
				return err
			}
			arrived.Add(int64(n))
		}
		return nil
	})
	writer := batcher.NewWriter(b.fabric)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	for sent := 0; sent < packets; {
		if sent-int(arrived.Load()) > maxInFlight {
			runtime.Gosched()
			continue
		}
		for range batcher.MaxDatagrams {
			writer.Add(datagram, addressOf(b.data))
		}
		n, err := writer.Flush()
		if err != nil {
			t.Fatal(err)
		}
		sent += n
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	elapsed := time.Since(begin)
	runtime.ReadMemStats(&after)
	return float64(packets) / elapsed.Seconds(), float64(after.Mallocs-before.Mallocs) / float64(packets)
}

// minRatio is the required throughput of the forwarder, as a share of the relay's.
const minRatio = 0.7

// rounds is the number of times that the relay and the forwarder are measured. The
// best ratio counts, since other work on the machine can only slow either of them down.
const rounds = 5

func TestThroughputAgainstBareRelay(t *testing.T) {
	const packets = 128 * 200
	ours := start(t, operator.ZoneIn)
	bare := &testbed{fabric: listen(t), target: listen(t), data: listen(t)}
	bare.run(t, relay(bare.data, addressOf(bare.target)))
	best := 0.0
	for range rounds {
		bareRate, _ := bare.pump(t, packets)
		ourRate, allocations := ours.pump(t, packets)
		t.Logf("forwarder %.0f packets/s, bare relay %.0f packets/s, ratio %.2f, %.4f allocations per packet", ourRate, bareRate, ourRate/bareRate, allocations)
		best = max(best, ourRate/bareRate)
		if allocations > 0.05 {
			t.Errorf("%.4f allocations per packet, want none in steady state", allocations)
		}
	}
	if best < minRatio && !raceEnabled {
		t.Errorf("the best throughput ratio is %.2f, want at least %.2f", best, minRatio)
	}
}
