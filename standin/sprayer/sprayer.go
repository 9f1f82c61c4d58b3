// Package sprayer stands in for the fabric: it hands each packet of a caller to
// any balancer that is in, at random by a seed, and each reply to the caller
// that it is for.
//
// # Usage
//
//	var s sprayer.Settings
//	if err := loader.Load("fabric.json", &s); err != nil {
//		return err
//	}
//	f, err := sprayer.New(s)
//	if err != nil {
//		return err
//	}
//	return f.Run(ctx)
//
// A balancer is in while its GET /ready answers 200, as of the last poll.
package sprayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/wrapper"
)

// Sprayer is the fabric.
type Sprayer struct {
	settings Settings
	socket   *net.UDPConn
	counts   counts
	// random and callers belong to the goroutine that reads the socket.
	random  *rand.Rand
	callers map[netip.Addr]netip.AddrPort

	mu    sync.RWMutex
	ready map[string]bool
	cut   map[string]bool
	in    []member
}

// New opens the socket of the fabric.
func New(s Settings) (*Sprayer, error) {
	socket, err := wrapper.ListenUDP(s.Address.String())
	if err != nil {
		return nil, err
	}
	return &Sprayer{
		settings: s,
		socket:   socket,
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
		callers:  map[netip.Addr]netip.AddrPort{},
		ready:    map[string]bool{},
		cut:      map[string]bool{},
	}, nil
}

// Address returns the address of the socket.
func (f *Sprayer) Address() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run passes packets on until ctx ends.
func (f *Sprayer) Run(ctx context.Context) error {
	slog.Info("fabric started", "seed", f.settings.Seed, "address", f.Address().String())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.poll(ctx) })
	group.Go(func() error { return f.serveAdmin(ctx) })
	group.Go(func() error { return f.forward(ctx) })
	return group.Wait()
}

func (f *Sprayer) forward(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	defer stop()
	err := wrapper.ReadBatch(f.socket, f.handle)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (f *Sprayer) handle(data []byte, from netip.AddrPort) {
	source, destination, err := wrapper.Addresses(data)
	if err != nil {
		f.counts.malformed.Add(1)
		return
	}
	if f.isCaller(destination) {
		f.reply(data, destination)
		return
	}
	if !f.isCaller(source) {
		f.counts.unknown.Add(1)
		return
	}
	f.callers[source] = from
	f.spray(data)
}

func (f *Sprayer) isCaller(a netip.Addr) bool {
	for _, p := range f.settings.CallerPrefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

func (f *Sprayer) reply(data []byte, caller netip.Addr) {
	to, known := f.callers[caller]
	if !known {
		f.counts.unknown.Add(1)
		return
	}
	f.counts.replies.Add(1)
	f.send(data, to)
}

func (f *Sprayer) spray(data []byte) {
	f.mu.RLock()
	in := f.in
	f.mu.RUnlock()
	if len(in) == 0 {
		f.counts.noBalancer.Add(1)
		return
	}
	to := in[f.random.IntN(len(in))]
	if to.cut {
		f.counts.cut.Add(1)
		return
	}
	f.counts.sprayed.Add(1)
	f.send(data, to.address)
}

func (f *Sprayer) send(data []byte, to netip.AddrPort) {
	if _, err := f.socket.WriteToUDPAddrPort(data, to); err != nil {
		f.counts.failed.Add(1)
	}
}
