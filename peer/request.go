package peer

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/tracker"
)

// requestMessage is a request with the contact of its sender.
type requestMessage struct {
	From    Contact             `cbor:"from"`
	Request coordinator.Request `cbor:"request"`
}

// replyMessage is a reply. The reply to a request to join also holds the contacts that
// the replying balancer knows, and its own.
type replyMessage struct {
	Reply    coordinator.Reply `cbor:"reply"`
	Contacts []Contact         `cbor:"contacts,omitempty"`
}

// remotePeer is the peer that dialled an accepted connection.
type remotePeer struct {
	// name is the DNS name in its certificate.
	name       string
	acceptedAt time.Time
}

// readRequests serves each request stream in a goroutine of its own until the
// connection ends.
func (n *Node) readRequests(ctx context.Context, conn *quic.Conn, from remotePeer) error {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		n.group.Go(func() error {
			n.serveRequest(stream, from)
			return nil
		})
	}
}

// serveRequest reads one request, calls OnRequest and writes the reply. It rejects a
// request whose sender is not the balancer that the certificate names.
func (n *Node) serveRequest(stream *quic.Stream, from remotePeer) {
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		n.Count("request-cut-short", 1)
		return
	}
	var message requestMessage
	if err := cbor.Unmarshal(data, &message); err != nil || message.From.Name == "" {
		n.Count("malformed-request", 1)
		return
	}
	if message.From.Name != from.name {
		n.Count("forged-sender", 1)
		return
	}
	n.AddContacts([]Contact{message.From})
	if message.Request.Join {
		// A connection from before the peer restarted would lose all data sent to it.
		n.closeConnectionBefore(message.From.ID(), from.acceptedAt)
	}
	reply := replyMessage{Reply: n.OnRequest(message.From.ID(), message.Request)}
	if message.Request.Join {
		reply.Contacts = append(n.Contacts(), n.self)
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		n.Count("reply-not-encoded", 1)
		return
	}
	if _, err := stream.Write(encoded); err != nil {
		n.Count("reply-not-sent", 1)
	}
}

// SendRequest sends a request to a peer and waits for the reply, until ctx is done. If
// it returns an error, the peer may still have processed the request; all requests are
// idempotent, so it is safe to send one again. It returns an UnknownPeerError if the
// node has no address of the peer.
func (n *Node) SendRequest(ctx context.Context, id tracker.MemberID, request coordinator.Request) (coordinator.Reply, error) {
	var reply replyMessage
	l, err := n.link(id)
	if err != nil {
		return reply.Reply, err
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return reply.Reply, err
	}
	data, err := cbor.Marshal(requestMessage{From: n.self, Request: request})
	if err != nil {
		return reply.Reply, errors.Wrap(err, "encoding a request")
	}
	encoded, err := roundTrip(ctx, conn, data)
	if err != nil {
		l.closeUnresponsive(conn)
		return reply.Reply, errors.Wrapf(err, "sending a request to the peer %s", l.contact.Name)
	}
	if err := cbor.Unmarshal(encoded, &reply); err != nil {
		return reply.Reply, errors.Wrapf(err, "decoding the reply of the peer %s", l.contact.Name)
	}
	n.AddContacts(reply.Contacts)
	return reply.Reply, nil
}

// roundTrip writes a request to a new stream and reads the reply until its end.
func roundTrip(ctx context.Context, conn *quic.Conn, request []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(noErrorCode) })
	defer stop()
	if _, err := stream.Write(request); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(stream, maxMessageBytes))
}
