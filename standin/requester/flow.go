package requester

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/wrapper"
)

// Limits of a connection.
const (
	handshakeTimeout   = 5 * time.Second
	idleTimeout        = 30 * time.Second
	initialPacketBytes = 1200
	errNoError         = 0x100 // H3_NO_ERROR
)

// RefusedError reports a flow that was refused before any target saw it.
type RefusedError struct {
	address netip.AddrPort
}

// Address returns the service address.
func (e *RefusedError) Address() netip.AddrPort { return e.address }

func (e *RefusedError) Error() string {
	return "the flow to " + e.address.String() + " was refused as administratively prohibited"
}

// flow is one QUIC connection of a virtual caller.
type flow struct {
	source    netip.AddrPort
	conn      *wrapper.Conn
	transport *quic.Transport
	quic      *quic.Conn
	client    *http3.ClientConn

	mu           sync.Mutex
	target, zone string
}

// dial opens a flow; the flow is not nil when the connection failed, so that
// what was heard can be told, and has to be closed in any case.
func (c *Requester) dial(ctx context.Context, to netip.AddrPort) (*flow, error) {
	source, err := c.sources.take(to.Addr())
	if err != nil {
		return nil, err
	}
	conn, err := c.link.Open(source, c.settings.FabricAddress)
	if err != nil {
		return nil, err
	}
	f := &flow{source: source, conn: conn, transport: &quic.Transport{Conn: conn}}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-conn.Refused():
			cancel(&RefusedError{address: to})
		case <-done:
		}
	})
	f.quic, err = f.transport.Dial(ctx, wrapper.UDPAddr(to), f.tlsConfig(), &quic.Config{
		InitialPacketSize:       initialPacketBytes,
		DisablePathMTUDiscovery: true,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
	})
	close(done)
	watch.Wait()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return f, errors.Wrapf(err, "connecting to %s", to)
	}
	f.client = (&http3.Transport{}).NewClientConn(f.quic)
	return f, nil
}

// tlsConfig accepts the throw-away certificate of any target and notes its name.
func (f *flow) tlsConfig() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{http3.NextProtoH3},
		VerifyConnection:   f.note,
	}
}

func (f *flow) note(state tls.ConnectionState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	subject := state.PeerCertificates[0].Subject
	f.target = subject.CommonName
	if len(subject.OrganizationalUnit) > 0 {
		f.zone = subject.OrganizationalUnit[0]
	}
	return nil
}

// describe fills in what the flow tells of an attempt.
func (f *flow) describe(r *journal.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Flow, r.Target, r.Zone = f.source.String(), f.target, f.zone
	if heard := f.conn.Heard(); !heard.IsZero() {
		r.HeardUnixMs = heard.UnixMilli()
	}
}

func (f *flow) close() {
	if f.quic != nil {
		_ = f.quic.CloseWithError(errNoError, "")
	}
	_ = f.transport.Close()
	_ = f.conn.Close()
}
