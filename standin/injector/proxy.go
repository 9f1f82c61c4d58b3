// Package injector injects network faults between processes: a TCP proxy cuts,
// delays or silences connections, and a simulated network loses, delays, duplicates
// or cuts datagrams.
//
// # Usage
//
//	proxy, err := injector.NewProxy("127.0.0.1:7001", "127.0.0.1:7000")
//	group.Go(func() error { return proxy.Run(ctx) })
//	proxy.SetState(injector.Silent) // port 7001 accepts connections, but forwards no data
//	proxy.SetState(injector.Open)
//
//	var network injector.DatagramNetwork
//	network.SetLossAndDelay(0.1, 0) // one datagram in ten is lost
//	network.Send(func() { conn.Write(datagram) })
package injector

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// State is the fault that a Proxy injects into its connections.
type State uint8

// The states.
const (
	// Open forwards all data.
	Open State = iota
	// Delayed forwards data after 150 ms, in each direction.
	Delayed
	// Cut closes the open connections, and new ones as soon as they are accepted.
	Cut
	// Silent discards all data, but keeps connections open.
	Silent
	// OneWay forwards data to the target and discards data from it.
	OneWay
)

// forwardDelay is the delay of the state Delayed. It is a third of the time that users
// of the store wait for a response; the store responds in 4 ms, and in 0.4 s when it
// is slow.
const forwardDelay = 150 * time.Millisecond

// Proxy is a TCP proxy in front of a target. Its methods may be called from several
// goroutines.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state State
	open  map[*connection]bool
}

// connection is one proxied connection: that of the client to the proxy, and that of
// the proxy to the target.
type connection struct {
	client, server net.Conn
	// silenced is true if all further data of this connection is discarded.
	silenced bool
}

// NewProxy returns a Proxy that listens at address and forwards connections to target,
// both in the form host:port.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	return &Proxy{listener: listener, target: target, open: make(map[*connection]bool)}, nil
}

// SetState changes the state of the proxy, for open and new connections.
func (p *Proxy) SetState(s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	if s == Cut {
		for c := range p.open {
			c.client.Close()
			c.server.Close()
		}
	}
}

// SilenceOpenConnections discards all further data of the open connections, whatever
// the state is. New connections aren't affected.
func (p *Proxy) SilenceOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silenced = true
	}
}

// Run forwards connections until ctx ends, which also closes the open connections.
// It always returns nil.
func (p *Proxy) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		p.listener.Close()
		p.SetState(Cut)
	})
	defer stop()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

// serve forwards a client's connection until either end closes it.
func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	isCut := p.state == Cut
	p.mu.Unlock()
	if isCut {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	c := &connection{client: client, server: server}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(c, server, client, false) })
	directions.Go(func() { p.forward(c, client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// forward copies the data of one direction, unless a fault discards it, until either
// end closes the connection.
func (p *Proxy) forward(c *connection, to, from net.Conn, isResponse bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.delivers(c, isResponse) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delivers waits for forwardDelay if the state is Delayed, and reports whether data of
// this direction is forwarded.
func (p *Proxy) delivers(c *connection, isResponse bool) bool {
	p.mu.Lock()
	state, silenced := p.state, c.silenced
	p.mu.Unlock()
	if state == Delayed {
		time.Sleep(forwardDelay)
	}
	return !silenced && state != Silent && (state != OneWay || !isResponse)
}
