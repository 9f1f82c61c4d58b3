// Package router emulates the network fabric, which is an ECMP router. It sends each
// packet of a caller to a random ready balancer, chosen with a seeded generator, and
// each reply to the caller that has its inner destination address.
//
// # Usage
//
//	var s router.Settings
//	if err := loader.Load("fabric.json", &s); err != nil {
//		return err
//	}
//	f, err := router.New(s)
//	if err != nil {
//		return err
//	}
//	return f.Run(ctx)
//
// A balancer is ready if it answered GET /ready with 200 at the last poll. For
// tests, a balancer can be cut: the fabric still chooses it, but drops the packets
// for it until it is healed.
package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/encapsulator"
)

// Router emulates the network fabric.
type Router struct {
	settings Settings
	socket   *net.UDPConn
	counters counters
	// random and callers are used only by the goroutine that reads the socket.
	random *rand.Rand
	// callers maps the inner address of a caller to its last outer address.
	callers map[netip.Addr]netip.AddrPort

	// mu guards the fields below; ready and cut are keyed by balancer name.
	mu       sync.RWMutex
	ready    map[string]bool
	cut      map[string]bool
	nextHops []nextHop
}

// New opens the socket of the fabric. It returns an error if the address can't be
// listened on.
func New(s Settings) (*Router, error) {
	socket, err := encapsulator.ListenUDP(s.Address.String())
	if err != nil {
		return nil, err
	}
	return &Router{
		settings: s,
		socket:   socket,
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
		callers:  map[netip.Addr]netip.AddrPort{},
		ready:    map[string]bool{},
		cut:      map[string]bool{},
	}, nil
}

// Address returns the outer address of the fabric.
func (f *Router) Address() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run routes packets, polls the balancers and serves the admin endpoint until ctx
// ends. It returns an error if a socket fails.
func (f *Router) Run(ctx context.Context) error {
	slog.Info("fabric started", "seed", f.settings.Seed, "address", f.Address().String())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.pollReadiness(ctx) })
	group.Go(func() error { return f.serveAdmin(ctx) })
	group.Go(func() error { return f.readPackets(ctx) })
	return group.Wait()
}

// readPackets routes the packets that arrive at the socket until ctx ends, and
// closes the socket then.
func (f *Router) readPackets(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.socket.Close() })
	defer stop()
	err := encapsulator.ReadPackets(f.socket, f.route)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// route sends a packet to the caller with its inner destination address, or to a
// balancer if a caller sent it. The outer address from becomes the address of that
// caller.
func (f *Router) route(data []byte, from netip.AddrPort) {
	source, destination, err := encapsulator.InnerAddresses(data)
	if err != nil {
		f.counters.malformed.Add(1)
		return
	}
	if f.isCallerAddress(destination) {
		f.sendToCaller(data, destination)
		return
	}
	if !f.isCallerAddress(source) {
		f.counters.unknownAddress.Add(1)
		return
	}
	f.callers[source] = from
	f.sendToBalancer(data)
}

// isCallerAddress reports whether the inner address a is a caller's.
func (f *Router) isCallerAddress(a netip.Addr) bool {
	for _, p := range f.settings.CallerPrefixes {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// sendToCaller sends a packet to the last outer address of the caller, if any.
func (f *Router) sendToCaller(data []byte, caller netip.Addr) {
	to, known := f.callers[caller]
	if !known {
		f.counters.unknownAddress.Add(1)
		return
	}
	f.counters.replies.Add(1)
	f.send(data, to)
}

// sendToBalancer sends a packet to a random ready balancer, and drops it if that
// balancer is cut or none is ready.
func (f *Router) sendToBalancer(data []byte) {
	f.mu.RLock()
	nextHops := f.nextHops
	f.mu.RUnlock()
	if len(nextHops) == 0 {
		f.counters.noBalancer.Add(1)
		return
	}
	to := nextHops[f.random.IntN(len(nextHops))]
	if to.cut {
		f.counters.cut.Add(1)
		return
	}
	f.counters.sentToBalancers.Add(1)
	f.send(data, to.address)
}

// send sends a packet to an outer address and counts a failure.
func (f *Router) send(data []byte, to netip.AddrPort) {
	if _, err := f.socket.WriteToUDPAddrPort(data, to); err != nil {
		f.counters.sendFailed.Add(1)
	}
}
