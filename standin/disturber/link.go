// Package disturber injects network faults between processes: a TCP proxy cuts,
// delays or silences connections, and a simulated network loses, delays, duplicates
// or cuts datagrams.
//
// # Usage
//
//	link, err := disturber.NewLink("127.0.0.1:7001", "127.0.0.1:7000")
//	group.Go(func() error { return link.Run(ctx) })
//	link.Set(disturber.Silent) // port 7001 accepts connections, but forwards no data
//	link.Set(disturber.Open)
//
//	var datagrams disturber.Datagrams
//	datagrams.Set(0.1, 0) // one in ten is lost
//	datagrams.Carry(func() { conn.Write(datagram) })
package disturber

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// State is the fault that a Link injects into its connections.
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

// linkDelay is the delay of the state Delayed. It is a third of the time that users
// of the store wait for a response; the store responds in 4 ms, and in 0.4 s when it
// is slow.
const linkDelay = 150 * time.Millisecond

// Link is a TCP proxy in front of a target. Its methods may be called from several
// goroutines.
type Link struct {
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
	// silenced is true if Mute discards all data of this connection from now on.
	silenced bool
}

// NewLink returns a Link that listens at address and forwards connections to target,
// both in the form host:port.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	return &Link{listener: listener, target: target, open: make(map[*connection]bool)}, nil
}

// Set changes the state of the link, for open and new connections.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	if s == Cut {
		for c := range l.open {
			c.client.Close()
			c.server.Close()
		}
	}
}

// Mute discards all further data of the open connections, whatever the state is. New
// connections aren't affected.
func (l *Link) Mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silenced = true
	}
}

// Run forwards connections until ctx ends, which also closes the open connections.
// It always returns nil.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		l.listener.Close()
		l.Set(Cut)
	})
	defer stop()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			l.serve(client)
			return nil
		})
	}
}

// serve forwards a client's connection until either end closes it.
func (l *Link) serve(client net.Conn) {
	defer client.Close()
	l.mu.Lock()
	isCut := l.state == Cut
	l.mu.Unlock()
	if isCut {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	c := &connection{client: client, server: server}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(c, server, client, false) })
	directions.Go(func() { l.forward(c, client, server, true) })
	directions.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// forward copies the data of one direction, unless a fault discards it, until either
// end closes the connection.
func (l *Link) forward(c *connection, to, from net.Conn, isResponse bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.delivers(c, isResponse) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delivers waits for the link's delay, if any, and reports whether data of this
// direction is forwarded.
func (l *Link) delivers(c *connection, isResponse bool) bool {
	l.mu.Lock()
	state, silenced := l.state, c.silenced
	l.mu.Unlock()
	if state == Delayed {
		time.Sleep(linkDelay)
	}
	return !silenced && state != Silent && (state != OneWay || !isResponse)
}
