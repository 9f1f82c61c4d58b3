package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"trefoilspring.example/trefoilspring/tracker"
)

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close ends the link for good, and reports whether records may be lost with it.
func (l *link) close() bool {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	lost := l.records != nil || len(l.queue) > 0
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(goodbye, "")
	}
	return lost
}

// drop ends links that are no longer listed.
func (n *Node) drop(links []*link) {
	for _, l := range links {
		if l.close() {
			n.OnLoss(l.contact.ID())
		}
	}
}

// renew ends the connection to a peer if it is older than one from the peer: a
// peer that was started again has never heard of it, and what is written to it is
// lost without notice until it idles out.
func (n *Node) renew(id tracker.MemberID, accepted time.Time) {
	n.mu.Lock()
	l := n.links[id]
	n.mu.Unlock()
	if l == nil {
		return
	}
	if conn := l.before(accepted); conn != nil {
		n.Count("connections-renewed", 1)
		_ = conn.CloseWithError(goodbye, "")
	}
}

// before returns the live connection if it was dialled before that time.
func (l *link) before(t time.Time) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil || !l.dialled.Before(t) {
		return nil
	}
	return l.conn
}

// closeLinks ends all connections that this node dialled, when ctx is done: a
// write to a frozen peer would else wait for its idle timeout.
func (n *Node) closeLinks(ctx context.Context) {
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
