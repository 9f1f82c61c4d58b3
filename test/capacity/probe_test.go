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

// BenchmarkProbe probes targets one after the other over connections that are kept open.
// payload-B/probe is what HTTP sends and receives, without the headers of TCP and IP. The
// time includes the probed server, which runs in the same process.
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

// serveHealth starts n health endpoints, which add the bytes of their connections to
// the counter, and returns their addresses.
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

// countingListener accepts connections that add their bytes to a counter.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: l.bytes}, err
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read adds the number of bytes read to the counter.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write adds the number of bytes written to the counter.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
