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

// question carries a request and where its sender is reached.
type question struct {
	From    Contact             `cbor:"from"`
	Request coordinator.Request `cbor:"request"`
}

// answer carries a reply and, to a joining balancer, the known contacts.
type answer struct {
	Reply    coordinator.Reply `cbor:"reply"`
	Contacts []Contact         `cbor:"contacts,omitempty"`
}

// sender is who is at the other end of an accepted connection.
type sender struct {
	// name is the name in the certificate.
	name     string
	accepted time.Time
}

func (n *Node) readRequests(ctx context.Context, conn *quic.Conn, from sender) error {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		n.group.Go(func() error {
			n.answer(stream, from)
			return nil
		})
	}
}

func (n *Node) answer(stream *quic.Stream, from sender) {
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		n.Count("request-cut-short", 1)
		return
	}
	var q question
	if err := cbor.Unmarshal(data, &q); err != nil || q.From.Name == "" {
		n.Count("malformed-request", 1)
		return
	}
	if q.From.Name != from.name {
		n.Count("forged-sender", 1)
		return
	}
	n.AddContacts([]Contact{q.From})
	if q.Request.Join {
		// What is sent to the joining peer from now on must reach it.
		n.renew(q.From.ID(), from.accepted)
	}
	a := answer{Reply: n.OnRequest(q.From.ID(), q.Request)}
	if q.Request.Join {
		a.Contacts = append(n.Contacts(), n.self)
	}
	encoded, err := cbor.Marshal(a)
	if err != nil {
		n.Count("reply-not-encoded", 1)
		return
	}
	if _, err := stream.Write(encoded); err != nil {
		n.Count("reply-not-sent", 1)
	}
}

// Ask sends a request to a peer and waits for its reply. A request whose reply
// is lost may have been carried out: all requests are idempotent.
func (n *Node) Ask(ctx context.Context, id tracker.MemberID, request coordinator.Request) (coordinator.Reply, error) {
	var a answer
	l, err := n.link(id)
	if err != nil {
		return a.Reply, err
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return a.Reply, err
	}
	data, err := cbor.Marshal(question{From: n.self, Request: request})
	if err != nil {
		return a.Reply, errors.Wrap(err, "encoding a request")
	}
	encoded, err := exchange(ctx, conn, data)
	if err != nil {
		l.drop(conn)
		return a.Reply, errors.Wrapf(err, "asking the peer %s", l.contact.Name)
	}
	if err := cbor.Unmarshal(encoded, &a); err != nil {
		return a.Reply, errors.Wrapf(err, "reading the reply of the peer %s", l.contact.Name)
	}
	n.AddContacts(a.Contacts)
	return a.Reply, nil
}

func exchange(ctx context.Context, conn *quic.Conn, request []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(goodbye) })
	defer stop()
	if _, err := stream.Write(request); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(stream, maxMessageBytes))
}
