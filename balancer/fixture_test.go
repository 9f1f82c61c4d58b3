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

// store is a directory in memory.
type store struct {
	mu       sync.Mutex
	replica  replicator.Replica
	revision uint64
	down     bool
}

var errDown = errors.New("the store is down")

func (s *store) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := replicator.Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: value == ""}
	s.replica.Merge(replicator.Update{Items: []replicator.Item{item}, Revision: s.revision}, time.Now())
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	return nil
}

func (s *store) fetch(ctx context.Context, after uint64, wait time.Duration) (replicator.Update, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		u := s.replica.Since(after, time.Now())
		down, changed := s.down, s.replica.Changed(after)
		s.mu.Unlock()
		u.Age = 0
		switch {
		case down:
			return u, errDown
		case changed || ctx.Err() != nil || !time.Now().Before(end):
			return u, ctx.Err()
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
			if err := s.check(); err != nil {
				return err
			}
			s.set(key, string(value))
			return nil
		},
		Lease: func(context.Context, time.Duration) (uint64, error) { return 1, s.check() },
		Renew: func(context.Context, uint64) (bool, error) { return true, s.check() },
	}
}

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// node is a running balancer.
type node struct {
	settings balancer.Settings
	balancer *balancer.Balancer
	log      lines
	stop     context.CancelFunc
	group    errgroup.Group
}

// Ports of a test process. They lie below those that the kernel gives to connections
// (32768 and up), each process has a range of its own, and none is used twice: a port
// that was free a moment before may be taken by any connection of the machine.
const (
	firstPort       = 10000
	portsOfProcess  = 200
	processesAtOnce = 80
)

var portsUsed atomic.Int32

// newAddress returns an address that nothing else uses.
func newAddress(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	n := portsUsed.Add(1)
	if n > portsOfProcess {
		t.Fatal("out of ports")
	}
	port := firstPort + os.Getpid()%processesAtOnce*portsOfProcess + int(n) - 1
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// nodeAddress is where the balancers of this package's tests run; other tests use
// 127.0.0.1.
const nodeAddress = "127.0.0.4"

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

// awaitReadiness waits until the balancer answers the routers with a status.
func (n *node) awaitReadiness(t *testing.T, status int) {
	t.Helper()
	eventually(t, fmt.Sprint("readiness ", status), func() bool {
		got, _ := get(n.settings.ReadyAddress, "/v1/readiness")
		return got == status
	})
}

// newServing returns a ready balancer, its one target i-00ab and its callers.
func newServing(t *testing.T) (*node, *server, *net.UDPConn) {
	t.Helper()
	s := &store{}
	s.set("op/config", configurationText)
	target := newServer(t)
	s.set("servers/i-00ab", registration(target.address))
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitReadiness(t, http.StatusOK)
	return n, target, newCaller(t, n)
}

// get returns the status and body of an HTTP answer; 0 if there is none.
func get(address netip.AddrPort, path string) (int, string) {
	res, err := http.Get("http://" + address.String() + path)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("did not come: " + what)
}

// server is a target: a UDP socket, and a TCP listener on the same port.
type server struct {
	conn     *net.UDPConn
	listener net.Listener
	address  netip.AddrPort
}

func newServer(t *testing.T) *server {
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
	return &server{conn: conn, listener: l, address: address}
}

func registration(address netip.AddrPort) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":"b","version":"v1","capacity":3,"state":"ready","warmupLeftMs":0,"seq":1,"born":7}`,
		address.String())
}

const configurationText = `{"version":3,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","type":"idempotent","service":"s"}],
 "services":[{"name":"s","coldPerS":5}],"limits":{"idleTimeoutMs":15000}}`

// Flags of a packet.
const (
	flagAck   = 1
	flagReset = 4
	flagSyn   = 8
)

// packet returns a caller's packet from 127.0.0.3:sport to the route.
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

// newCaller returns the socket at which a balancer reaches the callers.
func newCaller(t *testing.T, n *node) *net.UDPConn {
	t.Helper()
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), n.settings.DataAddress.Port())
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// receive returns the next datagram, or nil after a second.
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

func logTo(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }
