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

	"trefoilspring.example/trefoilspring/standin/encapsulator"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// Parameters of the QUIC connections.
const (
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 30 * time.Second
	// initialPacketBytes is the minimum that QUIC requires of a path; packets stay
	// at that size, since path MTU discovery is disabled.
	initialPacketBytes = 1200
	// http3NoError is the error code H3_NO_ERROR of HTTP/3.
	http3NoError = 0x100
)

// RefusedError reports a flow that was refused with an ICMP message of the code
// "administratively prohibited", before it reached any target.
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
	source     netip.AddrPort
	packetConn *encapsulator.Conn
	transport  *quic.Transport
	quicConn   *quic.Conn
	client     *http3.ClientConn

	mu           sync.Mutex
	target, zone string
}

// dial opens a flow to the service address to. If the handshake fails, it returns
// both an error and the flow, so that the time of the last received packet can be
// recorded. The flow has to be closed unless it is nil.
func (c *Requester) dial(ctx context.Context, to netip.AddrPort) (*flow, error) {
	source, err := c.sources.allocate(to.Addr())
	if err != nil {
		return nil, err
	}
	conn, err := c.tunnel.Open(source, c.settings.FabricAddress)
	if err != nil {
		return nil, err
	}
	f := &flow{source: source, packetConn: conn, transport: &quic.Transport{Conn: conn}}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dialed := make(chan struct{})
	var refusalWatch sync.WaitGroup
	refusalWatch.Go(func() {
		select {
		case <-conn.Refused():
			cancel(&RefusedError{address: to})
		case <-dialed:
		}
	})
	f.quicConn, err = f.transport.Dial(ctx, encapsulator.UDPAddr(to), f.tlsConfig(), &quic.Config{
		InitialPacketSize:       initialPacketBytes,
		DisablePathMTUDiscovery: true,
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
	})
	close(dialed)
	refusalWatch.Wait()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return f, errors.Wrapf(err, "connecting to %s", to)
	}
	f.client = (&http3.Transport{}).NewClientConn(f.quicConn)
	return f, nil
}

// tlsConfig returns a configuration that accepts the self-signed certificate of any
// target and records the target's name and zone.
func (f *flow) tlsConfig() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{http3.NextProtoH3},
		VerifyConnection:   f.recordPeer,
	}
}

// recordPeer stores the target name and the zone from the certificate.
func (f *flow) recordPeer(state tls.ConnectionState) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	subject := state.PeerCertificates[0].Subject
	f.target = subject.CommonName
	if len(subject.OrganizationalUnit) > 0 {
		f.zone = subject.OrganizationalUnit[0]
	}
	return nil
}

// addToRecord sets the fields of r that the flow knows: its source address, the
// target and its zone, and when the last packet arrived.
func (f *flow) addToRecord(r *journal.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Flow, r.Target, r.Zone = f.source.String(), f.target, f.zone
	if last := f.packetConn.LastReceived(); !last.IsZero() {
		r.LastReceivedUnixMs = last.UnixMilli()
	}
}

// close closes the connection and frees the source address.
func (f *flow) close() {
	if f.quicConn != nil {
		_ = f.quicConn.CloseWithError(http3NoError, "")
	}
	_ = f.transport.Close()
	_ = f.packetConn.Close()
}
