// Package peer speaks to the other balancers of the group: QUIC with mutual TLS,
// datagrams for heartbeats, one stream for records, a stream for each request.
// Messages are CBOR.
//
// # Usage
//
//	n := peer.New(identity, contacts)
//	n.OnHeartbeat = func(m detector.Message) { … }
//	n.OnRecords = func(records []tracker.Record) { … }
//	n.OnRequest = func(from tracker.MemberID, r coordinator.Request) coordinator.Reply { … }
//	err := n.Run(ctx)
//	…
//	n.SendHeartbeat(id, message)
//	n.SendRecords(id, records)
//	reply, err := n.Ask(ctx, id, coordinator.Request{Join: true})
//
// Every method may be called from several goroutines. The function fields are
// set before Run and called from several goroutines.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// idleTimeout ends a connection on which nothing arrives.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// redialDelay is how long a failed peer is left alone.
	redialDelay = 500 * time.Millisecond
	// maxMessageBytes bounds one request or reply.
	maxMessageBytes = 64 << 20
	// streamWindowBytes and connectionWindowBytes keep a connection's buffers small.
	streamWindowBytes     = 64 << 10
	connectionWindowBytes = 128 << 10
	// goodbye is the application error code of a planned end.
	goodbye = 0
)

// Contact is where a balancer is reached.
type Contact struct {
	Name             string         `json:"name" cbor:"name" validate:"required"`
	AvailabilityZone string         `json:"availability-zone" cbor:"availability-zone" validate:"required"`
	DataAddress      netip.AddrPort `json:"data-address" cbor:"data-address"`
	PeerAddress      netip.AddrPort `json:"peer-address" cbor:"peer-address"`
}

// ID returns the identifier of the balancer.
func (c Contact) ID() tracker.MemberID { return tracker.NewMemberID(c.Name) }

// UnknownPeerError reports a balancer without a known address.
type UnknownPeerError struct {
	id tracker.MemberID
}

// ID returns the identifier of the balancer.
func (e *UnknownPeerError) ID() tracker.MemberID { return e.id }

func (e *UnknownPeerError) Error() string { return "no address is known for the peer" }

// Node is this balancer's end of all connections to its peers.
type Node struct {
	// OnHeartbeat takes a heartbeat message that arrived.
	OnHeartbeat func(detector.Message)
	// OnRecords takes records that arrived.
	OnRecords func([]tracker.Record)
	// OnRequest answers a request.
	OnRequest func(from tracker.MemberID, r coordinator.Request) coordinator.Reply
	// OnLoss is told that records sent to a peer may not have arrived.
	OnLoss func(tracker.MemberID)
	// Count counts an event by its name, such as "handshake-refused".
	Count func(name string, n int64)

	self     Contact
	identity *Identity
	mu       sync.Mutex
	links    map[tracker.MemberID]*link
	contacts map[tracker.MemberID]Contact
	ready    *quic.Transport
	group    *errgroup.Group
	ctx      context.Context
}

// New returns a Node for the balancer self, which knows the contacts.
func New(self Contact, identity *Identity, contacts []Contact) *Node {
	n := &Node{
		OnHeartbeat: func(detector.Message) {},
		OnRecords:   func([]tracker.Record) {},
		OnRequest:   func(tracker.MemberID, coordinator.Request) coordinator.Reply { return coordinator.Reply{} },
		OnLoss:      func(tracker.MemberID) {},
		Count:       func(string, int64) {},
		self:        self,
		identity:    identity,
		links:       make(map[tracker.MemberID]*link),
		contacts:    make(map[tracker.MemberID]Contact),
	}
	n.AddContacts(contacts)
	return n
}

// AddContacts learns where balancers are reached; the latest word on a name holds.
func (n *Node) AddContacts(contacts []Contact) {
	n.drop(n.replace(contacts))
}

// replace lists contacts and returns the links to addresses that no longer hold.
func (n *Node) replace(contacts []Contact) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var stale []*link
	for _, c := range contacts {
		if c.Name == n.self.Name {
			continue
		}
		id := c.ID()
		if l := n.links[id]; l != nil && n.contacts[id] != c {
			stale = append(stale, l)
			delete(n.links, id)
		}
		n.contacts[id] = c
	}
	return stale
}

// Contacts returns the known balancers besides this one.
func (n *Node) Contacts() []Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Contact, 0, len(n.contacts))
	for _, c := range n.contacts {
		all = append(all, c)
	}
	return all
}

// Contact returns where a balancer is reached.
func (n *Node) Contact(id tracker.MemberID) (Contact, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.contacts[id]
	return c, ok
}

// Run listens and serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.self.PeerAddress))
	if err != nil {
		return errors.Wrapf(err, "listening for peers on %s", n.self.PeerAddress)
	}
	defer socket.Close()
	transport := &quic.Transport{Conn: socket, StatelessResetKey: n.identity.resetKey()}
	defer transport.Close()
	listener, err := transport.Listen(n.identity.server(n.refused), config())
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	group, work := errgroup.WithContext(ctx)
	n.start(work, transport, group)
	group.Go(func() error { return n.accept(work, listener) })
	group.Go(func() error {
		n.closeLinks(work)
		return listener.Close()
	})
	return unlessDone(ctx, group.Wait())
}

func (n *Node) start(ctx context.Context, transport *quic.Transport, group *errgroup.Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = transport
	n.group = group
	n.ctx = ctx
}

func (n *Node) refused(error) {
	n.Count("handshake-refused", 1)
}

func config() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           dialTimeout,
		EnableDatagrams:                true,
		InitialStreamReceiveWindow:     streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes,
		MaxConnectionReceiveWindow:     maxMessageBytes,
		MaxStreamReceiveWindow:         maxMessageBytes,
		DisablePathMTUDiscovery:        true,
	}
}

func (n *Node) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return unlessDone(ctx, errors.Wrap(err, "accepting a peer"))
		}
		n.group.Go(func() error {
			n.serve(ctx, conn)
			return nil
		})
	}
}

// unlessDone drops the error of a call that ended because its context did.
func unlessDone(ctx context.Context, err error) error {
	select {
	case <-ctx.Done():
		return nil
	default:
		return err
	}
}

// serve reads all that one peer sends until its connection ends.
func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	// Ends the reads that wait for the peer.
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(goodbye, "") })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	accepted := time.Now()
	from := nameOf(conn)
	group.Go(func() error { return n.readHeartbeats(ctx, conn, from) })
	group.Go(func() error { return n.readRecords(ctx, conn) })
	group.Go(func() error { return n.readRequests(ctx, conn, sender{name: from, accepted: accepted}) })
	// The reason for the end is the peer's; the detector judges what it means.
	_ = group.Wait()
	_ = conn.CloseWithError(goodbye, "")
}

// nameOf returns the name that the peer's certificate vouches for.
func nameOf(conn *quic.Conn) string {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 || len(certificates[0].DNSNames) == 0 {
		return ""
	}
	return certificates[0].DNSNames[0]
}

func (n *Node) readHeartbeats(ctx context.Context, conn *quic.Conn, from string) error {
	sender := tracker.NewMemberID(from)
	for {
		datagram, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return err
		}
		var m detector.Message
		if err := cbor.Unmarshal(datagram, &m); err != nil {
			n.Count("malformed-heartbeat", 1)
			continue
		}
		if m.From != sender {
			n.Count("forged-sender", 1)
			continue
		}
		n.Count("heartbeats-received", 1)
		n.OnHeartbeat(m)
	}
}

func (n *Node) readRecords(ctx context.Context, conn *quic.Conn) error {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return err
		}
		decoder := cbor.NewDecoder(stream)
		for {
			var records []tracker.Record
			if err := decoder.Decode(&records); err != nil {
				n.Count("record-stream-ended", 1)
				break
			}
			n.Count("records-received", int64(len(records)))
			n.OnRecords(records)
		}
	}
}
