// Package responder stands in for a target: it answers HTTP/3 on its service
// addresses, runs a few short requests at once and sheds the rest, starts cold,
// and collapses when it gets more flows than it can bear.
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
// Its certificate names the target as common name and its availability zone as
// organizational unit, so that a caller knows which target it reached. Every
// request that it begins to run, the packets that reached it and each collapse
// go to its journal.
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

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/listener"
	"trefoilspring.example/trefoilspring/standin/wrapper"
)

// Limits of the connections of a target.
const (
	idleTimeout        = 30 * time.Second
	initialPacketBytes = 1200
)

// Responder is a target.
type Responder struct {
	settings Settings
	link     *wrapper.Link
	journal  *journal.Writer
	tls      *tls.Config
	slots    *slots
	warmth   *warmth
	packets  packets
	silent   atomic.Bool
	health   health
}

// New opens the socket and the journal of a target.
func New(s Settings) (*Responder, error) {
	certificate, err := certificate(s.Name, s.AvailabilityZone)
	if err != nil {
		return nil, err
	}
	w, err := journal.Create(s.Journal)
	if err != nil {
		return nil, err
	}
	link, err := wrapper.Listen(s.Address.String())
	if err != nil {
		return nil, err
	}
	t := &Responder{
		settings: s,
		link:     link,
		journal:  w,
		tls:      http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
		slots:    newSlots(s.Slots, s.ShedQueue),
		warmth:   newWarmth(time.Duration(s.Cold), s.ColdFlows, time.Now()),
	}
	link.Received = t.packets.receive
	link.Arrived = t.recordArrival
	link.Unclaimed = func(wrapper.Datagram) { t.packets.reject() }
	return t, nil
}

// Address returns the outer address.
func (t *Responder) Address() netip.AddrPort { return t.link.Address() }

// Run answers until ctx ends.
func (t *Responder) Run(ctx context.Context) error {
	slog.Info("target started", "target", t.settings.Name, "address", t.Address().String())
	defer func() { _ = t.journal.Close() }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.link.Run(ctx) })
	group.Go(func() error { return t.writePackets(ctx) })
	group.Go(func() error { return listener.Serve(ctx, t.settings.HealthAddress, t.healthHandler()) })
	for _, address := range t.settings.ServiceAddresses {
		group.Go(func() error { return t.serve(ctx, address) })
	}
	return group.Wait()
}

// serve accepts connections at one service address.
func (t *Responder) serve(ctx context.Context, address netip.AddrPort) error {
	conn, err := t.link.Open(address, t.settings.FabricAddress)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	transport := &quic.Transport{Conn: conn}
	defer func() { _ = transport.Close() }()
	accepting, err := transport.Listen(t.tls, &quic.Config{
		InitialPacketSize:       initialPacketBytes,
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          idleTimeout,
	})
	if err != nil {
		return errors.Wrapf(err, "listening on the service address %s", address)
	}
	server := &http3.Server{Handler: t.handler()}
	var group errgroup.Group
	for {
		accepted, err := accepting.Accept(ctx)
		if err != nil {
			break
		}
		group.Go(func() error {
			t.serveFlow(ctx, server, accepted)
			return nil
		})
	}
	_ = server.Close()
	_ = group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Newf("the listener of %s has ended", address)
}

func (t *Responder) serveFlow(ctx context.Context, server *http3.Server, accepted *quic.Conn) {
	defer t.warmth.closeFlow()
	if open, ok := t.warmth.openFlow(time.Now()); !ok {
		t.collapse(ctx, open)
	}
	_ = server.ServeQUICConn(accepted)
}

// collapse makes the target silent for a while, if it is not already.
func (t *Responder) collapse(ctx context.Context, open int64) {
	if !t.silent.CompareAndSwap(false, true) {
		return
	}
	defer t.silent.Store(false)
	t.record(journal.Entry{Collapse: &journal.Collapse{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone,
		OpenFlows: open, UnixMs: time.Now().UnixMilli(),
	}})
	t.link.Mute(true)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(t.settings.Collapse)):
	}
	t.link.Mute(false)
}

func (t *Responder) recordArrival(source netip.AddrPort, now time.Time) {
	t.record(journal.Entry{Arrival: &journal.Arrival{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone, Flow: source.String(), UnixMs: now.UnixMilli(),
	}})
}

func (t *Responder) record(e journal.Entry) {
	if err := t.journal.Append(e); err != nil {
		slog.Error("journal failed", "target", t.settings.Name, "error", err.Error())
	}
}

func (t *Responder) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stream", t.stream)
	mux.HandleFunc("GET /item", t.item)
	mux.HandleFunc("POST /hold", t.hold)
	return mux
}
