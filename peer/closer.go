package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"trefoilspring.example/trefoilspring/tracker"
)

// isClosed reports whether close was called. A closed link does not dial.
func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close closes the connection and prevents further dialling. It reports whether
// records that were queued or written may not reach the peer.
func (l *link) close() bool {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	unsent := l.recordStream != nil || len(l.queue) > 0
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(noErrorCode, "")
	}
	return unsent
}

// closeStale closes links to outdated addresses, and calls OnRecordsLost for each
// link whose records may not have reached the peer.
func (n *Node) closeStale(links []*link) {
	for _, l := range links {
		if l.close() {
			n.OnRecordsLost(l.contact.ID())
		}
	}
}

// closeConnectionBefore closes the connection to a peer if this node dialled it
// before it accepted one from that peer at acceptedAt. A restarted peer does not know
// the older connection: data written to it is lost without an error until the
// connection reaches its idle timeout.
func (n *Node) closeConnectionBefore(id tracker.MemberID, acceptedAt time.Time) {
	n.mu.Lock()
	l := n.links[id]
	n.mu.Unlock()
	if l == nil {
		return
	}
	if conn := l.connectionDialledBefore(acceptedAt); conn != nil {
		n.Count("connections-renewed", 1)
		_ = conn.CloseWithError(noErrorCode, "")
	}
}

// connectionDialledBefore returns the live connection if it was dialled before t, and
// nil otherwise.
func (l *link) connectionDialledBefore(t time.Time) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil || !l.dialledAt.Before(t) {
		return nil
	}
	return l.conn
}

// closeLinksWhenDone closes all connections that this node dialled, once ctx is done.
// Otherwise a write to a frozen peer would block until the idle timeout.
func (n *Node) closeLinksWhenDone(ctx context.Context) {
	<-ctx.Done()
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
