package injector_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/injector"
)

// startEchoServer starts a TCP echo server that runs until the test ends, and returns
// its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			group.Go(func() error {
				_, _ = io.Copy(conn, conn)
				return conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		_ = group.Wait()
	})
	return l.Addr().String()
}

func TestProxyStates(t *testing.T) {
	is := is.New(t)
	const address = "127.0.0.1:28431"
	target := startEchoServer(t)
	proxy, err := injector.NewProxy(address, target)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return proxy.Run(ctx) })
	t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	echoes := func(within time.Duration) bool {
		_ = conn.SetDeadline(time.Now().Add(within))
		_, _ = conn.Write([]byte("x"))
		n, _ := conn.Read(make([]byte, 1))
		return n == 1
	}
	is.True(echoes(5 * time.Second))
	proxy.SetState(injector.OneWay)
	is.True(!echoes(300 * time.Millisecond))
	proxy.SetState(injector.Open)
	is.True(echoes(5 * time.Second))
	proxy.SilenceOpenConnections()
	is.True(!echoes(300 * time.Millisecond))
	proxy.SetState(injector.Cut)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadAll(conn)
	var netErr net.Error
	is.True(!errors.As(err, &netErr) || !netErr.Timeout()) // the connection has ended
}

func TestDatagramNetworkLossDuplicationAndCuts(t *testing.T) {
	is := is.New(t)
	var network injector.DatagramNetwork
	sent := 0
	send := func() { sent++ }
	network.Send(send)
	is.Equal(sent, 1)
	network.SetLossAndDelay(1, 0)
	network.Send(send)
	is.Equal(sent, 1)
	network.SetLossAndDelay(0, 0)
	var received atomic.Int32
	network.SetDuplication(1)
	network.Send(func() { received.Add(1) })
	for range 100 {
		if received.Load() == 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(received.Load(), int32(2))
	network.SetDuplication(0)
	network.Send(send)
	is.Equal(sent, 2)
	a, b := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	is.True(!network.IsCut(a, b))
	network.SetCut(a, b, true)
	is.True(network.IsCut(a, b))
	network.SetCut(a, b, false)
	is.True(!network.IsCut(a, b))
}
