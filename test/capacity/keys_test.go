package capacity_test

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// newKey returns a self-signed certificate with a new key, as a balancer could generate
// one when it starts.
func newKey(b *testing.B) tls.Certificate {
	b.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		b.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
}

// meteredConn adds the bytes that it reads and writes to a counter.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkKeys measures the setup of a TCP connection between two balancers: in clear
// text, and with TLS 1.3 and self-signed certificates on both ends. A certificate that
// comes from the peer is only parsed, where a balancer would compare it with a pinned one.
func BenchmarkKeys(b *testing.B) {
	for _, encrypted := range []bool{false, true} {
		b.Run(map[bool]string{false: "clear", true: "pinned"}[encrypted], func(b *testing.B) {
			var bytes atomic.Int64
			config := &tls.Config{
				Certificates: []tls.Certificate{newKey(b)}, ClientAuth: tls.RequireAnyClientCert, MinVersion: tls.VersionTLS13,
				InsecureSkipVerify: true, // VerifyPeerCertificate takes the place of the chain check.
				VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
					_, err := x509.ParseCertificate(raw[0])
					return err
				},
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			var group errgroup.Group
			defer func() { _ = group.Wait() }()
			defer listener.Close()
			group.Go(func() error { // Ends when the listener is closed.
				for {
					conn, err := listener.Accept()
					if err != nil {
						return nil //nolint:nilerr // the listener was closed
					}
					if encrypted {
						conn = tls.Server(conn, config)
					}
					_, _ = conn.Write([]byte("x"))
					conn.Close()
				}
			})
			for b.Loop() {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				conn = meteredConn{Conn: conn, bytes: &bytes}
				if encrypted {
					conn = tls.Client(conn, config)
				}
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					b.Fatal(err)
				}
				conn.Close()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/conn")
		})
	}
}
