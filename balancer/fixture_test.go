package balancer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/balancer"
	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/replicator"
)

// store is an in-memory store that implements balancer.Directory's functions.
type store struct {
	mu       sync.Mutex
	replica  replicator.Replica
	revision uint64
	era      uint64
	down     bool
	// rewrite, if it is set, is applied to the values that balancers write.
	rewrite func(string) string
	// waiting counts the queries that have begun to wait for a change.
	waiting atomic.Int64
	// leases counts the leases, which are numbered from 1. Those up to endedLeases have
	// ended. renewals counts the renewals.
	leases, endedLeases, renewals atomic.Int64
}

var errDown = errors.New("the store is down")

// set writes a key, or removes it if the value is empty.
func (s *store) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := replicator.Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: value == ""}
	s.replica.Merge(replicator.Update{Items: []replicator.Item{item}, Revision: s.revision}, time.Now())
}

// returnTo makes the store come back from a copy with these items, in a new era.
func (s *store) returnTo(revision uint64, items ...replicator.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.replica = revision, replicator.Replica{}
	s.replica.Merge(replicator.Update{Items: items, Revision: revision, Full: true}, time.Now())
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// downError returns errDown while the store is down.
func (s *store) downError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	return nil
}

// fetch returns the changes after a revision and waits up to wait for one.
func (s *store) fetch(ctx context.Context, after uint64, wait time.Duration) (replicator.Update, error) {
	end := time.Now().Add(wait)
	for first := true; ; first = false {
		s.mu.Lock()
		if after > s.revision {
			after = 0 // a watch from a revision that the store doesn't have ends in a listing
		}
		u := s.replica.Since(after, time.Now())
		u.Era, u.EraAge = s.era, 0
		down, changed := s.down, s.replica.ChangedSince(after)
		s.mu.Unlock()
		u.Age = 0
		switch {
		case down:
			return u, errDown
		case changed || ctx.Err() != nil || !time.Now().Before(end):
			return u, ctx.Err()
		}
		if first {
			s.waiting.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) directory() balancer.Directory {
	return balancer.Directory{
		Fetch: s.fetch,
		List: func(ctx context.Context, _ string) (replicator.Update, error) {
			return s.fetch(ctx, 0, 0)
		},
		Decode: platform.DecodeItem,
		Put: func(_ context.Context, key string, value []byte, _ uint64) error {
			if err := s.downError(); err != nil {
				return err
			}
			if s.rewrite != nil {
				value = []byte(s.rewrite(string(value)))
			}
			s.set(key, string(value))
			return nil
		},
		Lease: func(context.Context, time.Duration) (uint64, error) {
			return uint64(s.leases.Add(1)), s.downError()
		},
		Renew: func(_ context.Context, lease uint64) (bool, error) {
			s.renewals.Add(1)
			return int64(lease) > s.endedLeases.Load(), s.downError()
		},
	}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// node is a balancer under test with its settings and its log.
type node struct {
	settings balancer.Settings
	balancer *balancer.Balancer
	log      logBuffer
	stop     context.CancelFunc
	group    errgroup.Group
}

// Ports of a test process. They are below the kernel's range for outgoing connections
// (32768 and up), because any connection on the machine could take a port from that range
// between its reservation and its use. Each process has its own range of ports, and uses
// no port twice.
const (
	firstPort       = 10000
	portsPerProcess = 280
	portRanges      = 80
)

var portsUsed atomic.Int32

// newAddress returns an address with a port that no other test uses.
func newAddress(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	n := portsUsed.Add(1)
	if n > portsPerProcess {
		t.Fatal("out of ports")
	}
	port := firstPort + os.Getpid()%portRanges*portsPerProcess + int(n) - 1
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// nodeAddress is the IP address of the balancers in this package's tests. Tests of other
// packages use 127.0.0.1.
const nodeAddress = "127.0.0.4"

// newNode returns a balancer of availability zone a that is not started.
func newNode(t *testing.T, name string, s *store) *node {
	t.Helper()
	n := &node{settings: balancer.Settings{
		Name:             name,
		AvailabilityZone: "a",
		DataAddress:      newAddress(t, nodeAddress),
		ReadyAddress:     newAddress(t, nodeAddress),
		PeerAddress:      newAddress(t, nodeAddress),
		MetricsAddress:   newAddress(t, nodeAddress),
	}}
	log := slog.New(slog.NewJSONHandler(&n.log, nil))
	n.balancer = balancer.New(n.settings, platform.Fabric(), s.directory(), log)
	return n
}

// start runs the balancer until the end of the test.
func (n *node) start(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.group.Go(func() error { return n.balancer.Run(ctx) })
	t.Cleanup(func() {
		stop()
		if err := n.group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// awaitPeers waits until a number of balancers are registered in the view, this one included.
func (n *node) awaitPeers(t *testing.T, count int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d peers", count), func() bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, fmt.Sprintf("trefoilspring_peers %d\n", count))
	})
}

// awaitReadiness waits until the readiness check returns an HTTP status.
func (n *node) awaitReadiness(t *testing.T, status int) {
	t.Helper()
	eventually(t, fmt.Sprint("readiness ", status), func() bool {
		got, _ := get(n.settings.ReadyAddress, "/v1/readiness")
		return got == status
	})
}

// newReadyNode returns a ready balancer, its only target i-00ab, and the socket of its
// callers.
func newReadyNode(t *testing.T) (*node, *targetServer, *net.UDPConn) {
	t.Helper()
	s := &store{}
	s.set("op/config", configurationText)
	target := newTargetServer(t)
	s.set("servers/i-00ab", registration(target.address))
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitReadiness(t, http.StatusOK)
	return n, target, newCaller(t, n)
}

// get returns the status and body of an HTTP response, or status 0 if there is none.
func get(address netip.AddrPort, path string) (int, string) {
	res, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// eventually waits up to 10 s until a condition holds.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 10 s: " + condition)
}

// targetServer is a target: a UDP socket, and a TCP listener on the same port.
type targetServer struct {
	conn     *net.UDPConn
	listener net.Listener
	address  netip.AddrPort
}

func newTargetServer(t *testing.T) *targetServer {
	t.Helper()
	address := newAddress(t, "127.0.0.2")
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		conn.Close()
	})
	return &targetServer{conn: conn, listener: l, address: address}
}

// registration returns the store's value of a target in zone b.
func registration(address netip.AddrPort) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":"b","version":"v1","capacity":3,"state":"ready","warmupLeftMs":0,"seq":1,"born":7}`,
		address.String())
}

// configurationText is a configuration of version 3 with one route and one service.
const configurationText = `{"version":3,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","type":"idempotent","service":"s"}],
 "services":[{"name":"s","coldPerS":5}],"limits":{"idleTimeoutMs":15000}}`

// Flag bits of a packet.
const (
	flagAck   = 1
	flagReset = 4
	flagSyn   = 8
)

// packet returns a packet from the caller 127.0.0.3:sport to the route 198.18.0.1:443.
func packet(sport uint16, flags byte, token, sequence, acknowledged uint32, data string) []byte {
	p := make([]byte, 32+len(data))
	binary.LittleEndian.PutUint32(p, sequence)
	binary.LittleEndian.PutUint32(p[4:], acknowledged)
	p[8] = flags
	copy(p[10:], []byte{1, 0, 18, 198})
	binary.LittleEndian.PutUint16(p[14:], sport)
	copy(p[16:], []byte{3, 0, 0, 127})
	binary.LittleEndian.PutUint16(p[20:], 443)
	binary.LittleEndian.PutUint16(p[22:], uint16(len(data)))
	binary.LittleEndian.PutUint32(p[24:], 0x5eed)
	binary.LittleEndian.PutUint32(p[28:], token)
	copy(p[32:], data)
	return p
}

// newCaller returns the socket that receives a balancer's packets to its callers.
func newCaller(t *testing.T, n *node) *net.UDPConn {
	t.Helper()
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), n.settings.DataAddress.Port())
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// receive returns the next datagram, or nil if none arrives within a second.
func receive(conn *net.UDPConn) []byte {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	buffer := make([]byte, 2048)
	n, err := conn.Read(buffer)
	if err != nil {
		return nil
	}
	return buffer[:n]
}

func fabric() balancer.Fabric { return platform.Fabric() }

func newLogger(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }
