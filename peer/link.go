package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// link is the connection to one peer, dialled when it is first needed.
type link struct {
	node    *Node
	contact Contact

	mu      sync.Mutex
	conn    *quic.Conn
	dialled time.Time
	dialing bool
	closed  bool
	failed  time.Time
	records *quic.SendStream
	queue   []tracker.Record
	writing bool
}

func (n *Node) link(id tracker.MemberID) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil {
		return l, nil
	}
	contact, ok := n.contacts[id]
	if !ok || n.ready == nil {
		return nil, &UnknownPeerError{id: id}
	}
	l := &link{node: n, contact: contact}
	n.links[id] = l
	return l, nil
}

// SendHeartbeat sends a message as a datagram, if the peer is connected; if it is
// not, the message is dropped and a connection is started.
func (n *Node) SendHeartbeat(id tracker.MemberID, m detector.Message) {
	l, err := n.link(id)
	if err != nil {
		return
	}
	conn := l.connected()
	if conn == nil {
		l.dialLater()
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		n.Count("heartbeat-not-encoded", 1)
		return
	}
	if err := conn.SendDatagram(data); err != nil {
		n.Count("heartbeat-not-sent", 1)
		return
	}
	n.Count("heartbeats-sent", 1)
	n.Count("heartbeat-bytes-sent", int64(len(data)))
}

// SendRecords queues records for a peer; they are sent in order and at once.
func (n *Node) SendRecords(id tracker.MemberID, records []tracker.Record) {
	l, err := n.link(id)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, records...)
	if l.writing {
		return
	}
	l.writing = true
	n.group.Go(func() error {
		l.writeRecords(n.ctx)
		return nil
	})
}

func (l *link) writeRecords(ctx context.Context) {
	for batch := l.take(); len(batch) > 0; batch = l.take() {
		if err := l.writeBatch(ctx, batch); err != nil {
			l.node.Count("records-not-sent", int64(len(batch)))
			l.giveUp(ctx)
			return
		}
		l.node.Count("records-sent", int64(len(batch)))
	}
}

// take returns what is queued, and ends the writing if nothing is.
func (l *link) take() []tracker.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	l.writing = len(batch) > 0
	return batch
}

// giveUp drops what is queued, and has all records copied again. A peer that could
// not be reached is first left alone for a while.
func (l *link) giveUp(ctx context.Context) {
	l.mu.Lock()
	unreached := time.Since(l.failed) < redialDelay
	l.mu.Unlock()
	if unreached {
		pause(ctx, redialDelay)
	}
	l.mu.Lock()
	l.records = nil
	l.queue = nil
	l.writing = false
	l.mu.Unlock()
	// A node that ends copies nothing: it would start to write again, without an end.
	if ctx.Err() == nil {
		l.node.OnLoss(l.contact.ID())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (l *link) writeBatch(ctx context.Context, batch []tracker.Record) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	stream, err := l.recordStream(conn)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(batch)
	if err != nil {
		return err
	}
	l.node.Count("record-bytes-sent", int64(len(data)))
	_, err = stream.Write(data)
	return err
}

func (l *link) recordStream(conn *quic.Conn) (*quic.SendStream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records != nil {
		return l.records, nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	l.records = stream
	return stream, nil
}

func (l *link) connected() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil {
		return nil
	}
	return l.conn
}

// dialLater connects in the background, unless that failed a moment ago.
func (l *link) dialLater() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing || time.Since(l.failed) < redialDelay {
		return
	}
	l.dialing = true
	l.node.group.Go(func() error {
		defer l.endDialing()
		if _, err := l.connect(l.node.ctx); err != nil {
			l.node.Count("dial-failed", 1)
		}
		return nil
	})
}

func (l *link) endDialing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
}

// connect returns the live connection, or dials a new one.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
	if conn := l.connected(); conn != nil {
		return conn, nil
	}
	if l.isClosed() {
		return nil, &UnknownPeerError{id: l.contact.ID()}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(l.contact.PeerAddress)
	conn, err := l.node.ready.Dial(ctx, address, l.node.identity.client(l.contact.Name), config())
	if err != nil {
		l.mu.Lock()
		l.failed = time.Now()
		l.mu.Unlock()
		return nil, errors.Wrapf(err, "connecting to the peer %s", l.contact.Name)
	}
	return l.keep(conn), nil
}

// keep stores a new connection, unless another one came first.
func (l *link) keep(conn *quic.Conn) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.CloseWithError(goodbye, "")
		return conn
	}
	if l.conn != nil && l.conn.Context().Err() == nil {
		_ = conn.CloseWithError(goodbye, "")
		return l.conn
	}
	lost := l.conn != nil && l.records != nil
	l.conn = conn
	l.dialled = time.Now()
	l.records = nil
	if lost {
		l.node.group.Go(func() error {
			l.node.OnLoss(l.contact.ID())
			return nil
		})
	}
	return conn
}

// drop ends a connection on which a request got no answer, so that the next one
// dials anew. After a pause of the process, the round-trip time that QUIC measured
// over the pause would keep a dead connection open for minutes.
func (l *link) drop(conn *quic.Conn) {
	l.node.Count("connection-dropped", 1)
	_ = conn.CloseWithError(goodbye, "")
}
