// Package responder emulates a target. It answers HTTP/3 requests on its service
// addresses, runs a limited number of short requests concurrently and refuses the
// rest. After its start it is cold: it supports few open flows at first, and if it
// gets more, it collapses, which means that it drops all packets for a while.
//
// # Usage
//
//	var s responder.Settings
//	if err := loader.Load("target.json", &s); err != nil {
//		return err
//	}
//	t, err := responder.New(s)
//	if err != nil {
//		return err
//	}
//	return t.Run(ctx)
//
// The certificate of the target has its name as common name and its availability
// zone as organizational unit, so that a caller knows which target it reached. The
// target writes to its journal each request that it begins to run, the first
// packet of each flow, the number of packets that it received, and each collapse.
package responder

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/encapsulator"
	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/listener"
)

// Limits of the QUIC connections of a target.
const (
	idleTimeout = 30 * time.Second
	// initialPacketBytes is the minimum that QUIC requires of a path; packets stay
	// at that size, since path MTU discovery is disabled.
	initialPacketBytes = 1200
)

// Responder emulates a target.
type Responder struct {
	settings  Settings
	tunnel    *encapsulator.Tunnel
	journal   *journal.Writer
	tlsConfig *tls.Config
	slots     *slots
	coldStart *coldStart
	packets   packetCounter
	// collapsed is true while the target drops all packets.
	collapsed atomic.Bool
	health    healthEndpoint
}

// New opens the socket and the journal of a target. It returns an error if the
// certificate can't be created, or if the journal or the socket can't be opened.
func New(s Settings) (*Responder, error) {
	certificate, err := newCertificate(s.Name, s.AvailabilityZone)
	if err != nil {
		return nil, err
	}
	w, err := journal.OpenWriter(s.Journal)
	if err != nil {
		return nil, err
	}
	tunnel, err := encapsulator.Listen(s.Address.String())
	if err != nil {
		return nil, err
	}
	t := &Responder{
		settings:  s,
		tunnel:    tunnel,
		journal:   w,
		tlsConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
		slots:     newSlots(s.Slots, s.MaxWaiting),
		coldStart: newColdStart(time.Duration(s.ColdStartDuration), s.ColdStartFlowLimit, time.Now()),
	}
	tunnel.OnPacket = t.packets.countReceived
	tunnel.OnNewSource = t.recordArrival
	tunnel.OnUnknownDestination = func(encapsulator.Datagram) { t.packets.countWrongService() }
	return t, nil
}

// Address returns the outer address of the target, to which balancers forward.
func (t *Responder) Address() netip.AddrPort { return t.tunnel.Address() }

// Run answers requests until ctx ends. It returns an error if a socket fails or an
// address can't be listened on.
func (t *Responder) Run(ctx context.Context) error {
	slog.Info("target started", "target", t.settings.Name, "address", t.Address().String())
	defer func() { _ = t.journal.Close() }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.tunnel.Run(ctx) })
	group.Go(func() error { return t.runPacketSummaries(ctx) })
	group.Go(func() error { return listener.Serve(ctx, t.settings.HealthAddress, t.healthHandler()) })
	for _, address := range t.settings.ServiceAddresses {
		group.Go(func() error { return t.serveAddress(ctx, address) })
	}
	return group.Wait()
}

// serveAddress accepts connections at one service address until ctx ends.
func (t *Responder) serveAddress(ctx context.Context, address netip.AddrPort) error {
	conn, err := t.tunnel.Open(address, t.settings.FabricAddress)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	transport := &quic.Transport{Conn: conn}
	defer func() { _ = transport.Close() }()
	quicListener, err := transport.Listen(t.tlsConfig, &quic.Config{
		InitialPacketSize:       initialPacketBytes,
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          idleTimeout,
	})
	if err != nil {
		return errors.Wrapf(err, "listening on the service address %s", address)
	}
	server := &http3.Server{Handler: t.requestHandler()}
	var group errgroup.Group
	for {
		quicConn, err := quicListener.Accept(ctx)
		if err != nil {
			break
		}
		group.Go(func() error {
			t.serveFlow(ctx, server, quicConn)
			return nil
		})
	}
	_ = server.Close()
	_ = group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Newf("the QUIC listener of the service address %s has ended", address)
}

// serveFlow serves the requests of one connection. If the flow exceeds the limit
// of the cold start, the target collapses first.
func (t *Responder) serveFlow(ctx context.Context, server *http3.Server, quicConn *quic.Conn) {
	defer t.coldStart.closeFlow()
	if open, ok := t.coldStart.openFlow(time.Now()); !ok {
		t.collapse(ctx, open)
	}
	_ = server.ServeQUICConn(quicConn)
}

// collapse makes the target drop all packets for the configured time, unless it
// has collapsed already. The argument open is the number of open flows.
func (t *Responder) collapse(ctx context.Context, open int64) {
	if !t.collapsed.CompareAndSwap(false, true) {
		return
	}
	defer t.collapsed.Store(false)
	t.record(journal.Entry{Collapse: &journal.Collapse{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone,
		OpenFlows: open, UnixMs: time.Now().UnixMilli(),
	}})
	t.tunnel.SetDropAll(true)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(t.settings.CollapseDuration)):
	}
	t.tunnel.SetDropAll(false)
}

// recordArrival writes the first packet of a flow to the journal.
func (t *Responder) recordArrival(source netip.AddrPort, now time.Time) {
	t.record(journal.Entry{Arrival: &journal.Arrival{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone, Flow: source.String(), UnixMs: now.UnixMilli(),
	}})
}

// record appends e to the journal and logs a failure.
func (t *Responder) record(e journal.Entry) {
	if err := t.journal.Append(e); err != nil {
		slog.Error("journal entry not written", "target", t.settings.Name, "error", err.Error())
	}
}

// requestHandler returns the handler of the requests of callers.
func (t *Responder) requestHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stream", t.handleStream)
	mux.HandleFunc("GET /item", t.handleItem)
	mux.HandleFunc("POST /hold", t.handleHold)
	return mux
}
