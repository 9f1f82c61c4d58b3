package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Request asks a peer for one thing.
type Request struct {
	// From is where the asking balancer is reached.
	From Contact `cbor:"from"`
	// Join asks for all that a joining balancer needs.
	Join bool `cbor:"join,omitempty"`
	// Document asks for the latest accepted document.
	Document bool `cbor:"document,omitempty"`
	// Settlements asks to settle buckets.
	Settlements []tracker.Settlement `cbor:"settlements,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	State detector.State `cbor:"state"`
	// Active and Prepared hold encoded records of documents; they may be empty.
	Active   []byte            `cbor:"active,omitempty"`
	Prepared []byte            `cbor:"prepared,omitempty"`
	Snapshot *tracker.Snapshot `cbor:"snapshot,omitempty"`
	Contacts []Contact         `cbor:"contacts,omitempty"`
	// Settled holds one answer for each settlement.
	Settled []bool `cbor:"settled,omitempty"`
}

func (n *Node) readRequests(ctx context.Context, conn *quic.Conn) error {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return err
		}
		n.group.Go(func() error {
			n.answer(stream)
			return nil
		})
	}
}

func (n *Node) answer(stream *quic.Stream) {
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		n.Count("request-cut-short", 1)
		return
	}
	var request Request
	if err := cbor.Unmarshal(data, &request); err != nil {
		n.Count("malformed-request", 1)
		return
	}
	if request.From.Name != "" {
		n.AddContacts([]Contact{request.From})
	}
	reply, err := cbor.Marshal(n.OnRequest(request))
	if err != nil {
		n.Count("reply-not-encoded", 1)
		return
	}
	if _, err := stream.Write(reply); err != nil {
		n.Count("reply-not-sent", 1)
	}
}

// Ask sends a request to a peer and waits for its reply. A request whose reply
// is lost may have been carried out: all requests are idempotent.
func (n *Node) Ask(ctx context.Context, id tracker.MemberID, request Request) (Reply, error) {
	var reply Reply
	l, err := n.link(id)
	if err != nil {
		return reply, err
	}
	conn, err := l.connect(ctx)
	if err != nil {
		return reply, err
	}
	request.From = n.self
	data, err := cbor.Marshal(request)
	if err != nil {
		return reply, errors.Wrap(err, "encoding a request")
	}
	answer, err := exchange(ctx, conn, data)
	if err != nil {
		return reply, errors.Wrapf(err, "asking the peer %s", l.contact.Name)
	}
	if err := cbor.Unmarshal(answer, &reply); err != nil {
		return reply, errors.Wrapf(err, "reading the reply of the peer %s", l.contact.Name)
	}
	return reply, nil
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
