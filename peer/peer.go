// Package peer exchanges messages with the other balancers of the group, over QUIC
// with mutual TLS. Heartbeats are QUIC datagrams, records share one unidirectional
// stream for each connection, and each request has a stream of its own. Messages are
// encoded as CBOR.
//
// # Usage
//
//	n := peer.New(self, identity, contacts)
//	n.OnHeartbeat = func(m detector.Message) { … }
//	n.OnRecords = func(records []tracker.Record) { … }
//	n.OnRequest = func(from tracker.MemberID, r coordinator.Request) coordinator.Reply { … }
//	err := n.Run(ctx)
//	…
//	n.SendHeartbeat(id, message)
//	n.SendRecords(id, records)
//	reply, err := n.SendRequest(ctx, id, coordinator.Request{Join: true})
//
// All methods of Node are safe for concurrent use. Its function fields must be set
// before Run, and are called from several goroutines at once.
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
	// idleTimeout is the time without a received packet after which a connection ends.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds one dial, and the TLS handshake of an accepted connection.
	dialTimeout = 2 * time.Second
	// redialDelay is the minimum time between a failed dial and the next one to the peer.
	redialDelay = 500 * time.Millisecond
	// maxMessageBytes bounds one request or reply, and a connection's receive windows.
	maxMessageBytes = 64 << 20
	// streamWindowBytes and connectionWindowBytes are the initial receive windows; small
	// ones keep the buffers of an idle connection small.
	streamWindowBytes     = 64 << 10
	connectionWindowBytes = 128 << 10
	// noErrorCode is the QUIC application error code of a connection or stream that is
	// closed on purpose.
	noErrorCode = 0
)

// Contact holds the name, availability zone and addresses of a balancer.
type Contact struct {
	Name             string         `json:"name" cbor:"name" validate:"required"`
	AvailabilityZone string         `json:"availability-zone" cbor:"availability-zone" validate:"required"`
	DataAddress      netip.AddrPort `json:"data-address" cbor:"data-address"`
	PeerAddress      netip.AddrPort `json:"peer-address" cbor:"peer-address"`
}

// ID returns the identifier of the balancer.
func (c Contact) ID() tracker.MemberID { return tracker.NewMemberID(c.Name) }

// UnknownPeerError reports a balancer that the node can't dial: its address is unknown or
// has just changed, or the node is not running.
type UnknownPeerError struct {
	id tracker.MemberID
}

// ID returns the identifier of the balancer.
func (e *UnknownPeerError) ID() tracker.MemberID { return e.id }

func (e *UnknownPeerError) Error() string { return "no address is known for the peer" }

// Node accepts connections from all peers, and dials one connection to each.
type Node struct {
	// OnHeartbeat is called with each heartbeat message from a peer.
	OnHeartbeat func(detector.Message)
	// OnRecords is called with each batch of records from a peer.
	OnRecords func([]tracker.Record)
	// OnRequest returns the reply to a request from the peer with the identifier from.
	OnRequest func(from tracker.MemberID, r coordinator.Request) coordinator.Reply
	// OnRecordsLost is called with the identifier of a peer when records that were queued
	// for it or sent to it may not have arrived.
	OnRecordsLost func(tracker.MemberID)
	// Count adds n to the counter of an event, such as "handshake-refused". Events lists
	// the names.
	Count func(name string, n int64)

	self      Contact
	identity  *Identity
	mu        sync.Mutex
	links     map[tracker.MemberID]*link
	contacts  map[tracker.MemberID]Contact
	transport *quic.Transport
	group     *errgroup.Group
	ctx       context.Context
}

// New returns a Node for the balancer self. The contacts are its initial peers.
func New(self Contact, identity *Identity, contacts []Contact) *Node {
	n := &Node{
		OnHeartbeat:   func(detector.Message) {},
		OnRecords:     func([]tracker.Record) {},
		OnRequest:     func(tracker.MemberID, coordinator.Request) coordinator.Reply { return coordinator.Reply{} },
		OnRecordsLost: func(tracker.MemberID) {},
		Count:         func(string, int64) {},
		self:          self,
		identity:      identity,
		links:         make(map[tracker.MemberID]*link),
		contacts:      make(map[tracker.MemberID]Contact),
	}
	n.AddContacts(contacts)
	return n
}

// AddContacts adds peers, or updates those that have the same name. If a peer's contact
// has changed, its connection is closed. The node itself is ignored.
func (n *Node) AddContacts(contacts []Contact) {
	n.closeStale(n.replaceContacts(contacts))
}

// replaceContacts stores the contacts. It removes and returns the links to peers whose
// contact has changed.
func (n *Node) replaceContacts(contacts []Contact) []*link {
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

// Contacts returns the contacts of all known peers, without this node.
func (n *Node) Contacts() []Contact {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Contact, 0, len(n.contacts))
	for _, c := range n.contacts {
		all = append(all, c)
	}
	return all
}

// Contact returns the contact of a peer, and whether the peer is known.
func (n *Node) Contact(id tracker.MemberID) (Contact, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.contacts[id]
	return c, ok
}

// Run accepts connections from peers and serves them until ctx is done. It returns an
// error if it can't listen on the peer address.
func (n *Node) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.self.PeerAddress))
	if err != nil {
		return errors.Wrapf(err, "listening for peers on %s", n.self.PeerAddress)
	}
	defer socket.Close()
	transport := &quic.Transport{Conn: socket, StatelessResetKey: n.identity.resetKey()}
	defer transport.Close()
	listener, err := transport.Listen(n.identity.serverConfig(n.countRefusedHandshake), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	group, groupCtx := errgroup.WithContext(ctx)
	n.setRunning(groupCtx, transport, group)
	group.Go(func() error { return n.acceptConnections(groupCtx, listener) })
	group.Go(func() error {
		n.closeLinksWhenDone(groupCtx)
		return listener.Close()
	})
	return errorUnlessDone(ctx, group.Wait())
}

// setRunning stores the state of Run that dialling needs.
func (n *Node) setRunning(ctx context.Context, transport *quic.Transport, group *errgroup.Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport = transport
	n.group = group
	n.ctx = ctx
}

// countRefusedHandshake is the callback of Identity.serverConfig.
func (n *Node) countRefusedHandshake(error) {
	n.Count("handshake-refused", 1)
}

// quicConfig returns the configuration of dialled and accepted connections.
func quicConfig() *quic.Config {
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

// acceptConnections serves each accepted connection in a goroutine of its own.
func (n *Node) acceptConnections(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return errorUnlessDone(ctx, errors.Wrap(err, "accepting a connection from a peer"))
		}
		n.group.Go(func() error {
			n.serveConnection(ctx, conn)
			return nil
		})
	}
}

// errorUnlessDone returns err, or nil if ctx is done: then the error only results from
// the stop.
func errorUnlessDone(ctx context.Context, err error) error {
	select {
	case <-ctx.Done():
		return nil
	default:
		return err
	}
}

// serveConnection reads heartbeats, records and requests until the connection ends.
func (n *Node) serveConnection(ctx context.Context, conn *quic.Conn) {
	// Closing the connection ends the reads that block on it.
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseWithError(noErrorCode, "") })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	acceptedAt := time.Now()
	name := certificateName(conn)
	group.Go(func() error { return n.readHeartbeats(ctx, conn, name) })
	group.Go(func() error { return n.readRecords(ctx, conn) })
	group.Go(func() error { return n.readRequests(ctx, conn, remotePeer{name: name, acceptedAt: acceptedAt}) })
	// The error is dropped: an ended connection does not show whether the peer is down.
	// The failure detector finds that out from missing heartbeats.
	_ = group.Wait()
	_ = conn.CloseWithError(noErrorCode, "")
}

// certificateName returns the first DNS name in the peer's verified certificate, and an
// empty string if there is none.
func certificateName(conn *quic.Conn) string {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 || len(certificates[0].DNSNames) == 0 {
		return ""
	}
	return certificates[0].DNSNames[0]
}

// readHeartbeats reads datagrams until the connection ends. It drops messages whose
// sender is not the balancer that the certificate names.
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

// readRecords reads one record stream after the other until the connection ends.
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
