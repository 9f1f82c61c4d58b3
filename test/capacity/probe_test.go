package capacity_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"trefoilspring.example/trefoilspring/target"
)

// BenchmarkProbe probes targets one after the other over kept connections;
// payload-B/probe is what HTTP sends and receives, without TCP and IP. The time
// includes the answering end.
func BenchmarkProbe(b *testing.B) {
	for _, n := range []int{5, 15, 45} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			addresses := serveHealth(b, n, &bytes)
			p := target.New()
			probes := 0
			for b.Loop() {
				for _, address := range addresses {
					if _, err := p.Fetch(b.Context(), address); err != nil {
						b.Fatal(err)
					}
					probes++
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(probes), "payload-B/probe")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(probes), "us/probe")
		})
	}
}

// serveHealth starts health endpoints that count what passes their connections.
func serveHealth(b *testing.B, n int, bytes *atomic.Int64) []netip.AddrPort {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, `{"started-unix-ms": 1700000000000, "load": 0.5}`)
	})
	var addresses []netip.AddrPort
	for range n {
		server := httptest.NewUnstartedServer(handler)
		server.Listener = &countingListener{Listener: server.Listener, bytes: bytes}
		server.Start()
		b.Cleanup(server.Close)
		addresses = append(addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	return addresses
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that counts.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it wrote.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
