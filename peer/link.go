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

// link is the outgoing connection to one peer, with a queue of records to send. It
// dials when it first has something to send.
type link struct {
	node    *Node
	contact Contact

	mu            sync.Mutex
	conn          *quic.Conn
	dialledAt     time.Time
	dialing       bool
	closed        bool
	dialFailedAt  time.Time
	recordStream  *quic.SendStream
	queue         []tracker.Record
	writerRunning bool
}

// link returns the link to a peer, and creates it on first use. It returns an
// UnknownPeerError if the node has no address of the peer, or does not yet run.
func (n *Node) link(id tracker.MemberID) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil {
		return l, nil
	}
	contact, ok := n.contacts[id]
	if !ok || n.transport == nil {
		return nil, &UnknownPeerError{id: id}
	}
	l := &link{node: n, contact: contact}
	n.links[id] = l
	return l, nil
}

// SendHeartbeat sends a message to a peer as a QUIC datagram. If there is no live
// connection, it drops the message and dials in the background.
func (n *Node) SendHeartbeat(id tracker.MemberID, m detector.Message) {
	l, err := n.link(id)
	if err != nil {
		return
	}
	conn := l.liveConnection()
	if conn == nil {
		l.dialInBackground()
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

// SendRecords queues records for a peer and returns without waiting. The records are
// sent in order, without delay. If they can't be sent, OnRecordsLost is called.
func (n *Node) SendRecords(id tracker.MemberID, records []tracker.Record) {
	l, err := n.link(id)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, records...)
	if l.writerRunning {
		return
	}
	l.writerRunning = true
	n.group.Go(func() error {
		l.writeRecords(n.ctx)
		return nil
	})
}

// writeRecords writes queued records to the peer until the queue is empty or a write
// fails.
func (l *link) writeRecords(ctx context.Context) {
	for batch := l.takeQueue(); len(batch) > 0; batch = l.takeQueue() {
		if err := l.writeBatch(ctx, batch); err != nil {
			l.node.Count("records-not-sent", int64(len(batch)))
			l.discardQueue(ctx)
			return
		}
		l.node.Count("records-sent", int64(len(batch)))
	}
}

// takeQueue removes and returns all queued records. If there are none, it marks the
// writer as stopped, so that the next SendRecords starts one.
func (l *link) takeQueue() []tracker.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	l.writerRunning = len(batch) > 0
	return batch
}

// discardQueue drops the queued records after a failed write and calls OnRecordsLost,
// so that all records are sent again. If the peer could not be dialled, it first waits
// for redialDelay.
func (l *link) discardQueue(ctx context.Context) {
	l.mu.Lock()
	dialFailed := time.Since(l.dialFailedAt) < redialDelay
	l.mu.Unlock()
	if dialFailed {
		pause(ctx, redialDelay)
	}
	l.mu.Lock()
	l.recordStream = nil
	l.queue = nil
	l.writerRunning = false
	l.mu.Unlock()
	// A node that stops does not call OnRecordsLost: the records sent again would fail
	// and call it again, without end.
	if ctx.Err() == nil {
		l.node.OnRecordsLost(l.contact.ID())
	}
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// writeBatch writes one CBOR array of records to the record stream, and dials first if
// there is no live connection.
func (l *link) writeBatch(ctx context.Context, batch []tracker.Record) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	stream, err := l.openRecordStream(conn)
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

// openRecordStream returns the stream for records, and opens it on first use.
func (l *link) openRecordStream(conn *quic.Conn) (*quic.SendStream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordStream != nil {
		return l.recordStream, nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		return nil, err
	}
	l.recordStream = stream
	return stream, nil
}

// liveConnection returns the connection, or nil if it has ended or was never dialled.
func (l *link) liveConnection() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil {
		return nil
	}
	return l.conn
}

// dialInBackground starts to dial, unless a dial is under way or failed less than
// redialDelay ago.
func (l *link) dialInBackground() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing || time.Since(l.dialFailedAt) < redialDelay {
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

// endDialing marks the background dial as finished.
func (l *link) endDialing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
}

// connect returns the live connection, or dials a new one. It returns an
// UnknownPeerError if the link is closed.
func (l *link) connect(ctx context.Context) (*quic.Conn, error) {
	if conn := l.liveConnection(); conn != nil {
		return conn, nil
	}
	if l.isClosed() {
		return nil, &UnknownPeerError{id: l.contact.ID()}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	address := net.UDPAddrFromAddrPort(l.contact.PeerAddress)
	conn, err := l.node.transport.Dial(ctx, address, l.node.identity.clientConfig(l.contact.Name), quicConfig())
	if err != nil {
		l.mu.Lock()
		l.dialFailedAt = time.Now()
		l.mu.Unlock()
		return nil, errors.Wrapf(err, "dialling the peer %s", l.contact.Name)
	}
	return l.storeConnection(conn), nil
}

// storeConnection makes conn the connection of the link and returns it. If another
// goroutine has stored a live connection before, it closes conn and returns the stored
// one; if the link is closed, it closes conn. When conn replaces a connection on which
// records were sent, it calls OnRecordsLost, since they may not have arrived.
func (l *link) storeConnection(conn *quic.Conn) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.CloseWithError(noErrorCode, "")
		return conn
	}
	if l.conn != nil && l.conn.Context().Err() == nil {
		_ = conn.CloseWithError(noErrorCode, "")
		return l.conn
	}
	recordsLost := l.conn != nil && l.recordStream != nil
	l.conn = conn
	l.dialledAt = time.Now()
	l.recordStream = nil
	if recordsLost {
		l.node.group.Go(func() error {
			l.node.OnRecordsLost(l.contact.ID())
			return nil
		})
	}
	return conn
}

// closeUnresponsive closes a connection on which a request got no reply, so that the
// next request dials a new one. After the process was paused, QUIC's round-trip time
// includes the pause, and its timeouts would keep a dead connection open for minutes.
func (l *link) closeUnresponsive(conn *quic.Conn) {
	l.node.Count("connection-dropped", 1)
	_ = conn.CloseWithError(noErrorCode, "")
}
