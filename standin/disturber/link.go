// Package disturber stands between processes and harms what they send each other:
// connections through a proxy, and datagrams.
//
// # Usage
//
//	link, err := disturber.NewLink("127.0.0.1:7001", "127.0.0.1:7000")
//	group.Go(func() error { return link.Run(ctx) })
//	link.Set(disturber.Silent) // connections to port 7001 pass nothing on
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

// State is how a Link treats connections.
type State uint8

// The states.
const (
	// Open passes everything on.
	Open State = iota
	// Delayed holds bytes back for 150 ms.
	Delayed
	// Cut resets new connections and the open ones.
	Cut
	// Silent passes nothing on, on any connection.
	Silent
	// OneWay passes requests on but no answers.
	OneWay
)

// proxyDelay is a third of the users' patience with the store, which answers in 4 ms
// and in 0.4 s when it is slow.
const proxyDelay = 150 * time.Millisecond

// Link passes connections on to a target.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state State
	open  map[*piped]bool
}

// piped is one connection through the proxy.
type piped struct {
	near, far net.Conn
	// muted says that this connection went silent for good.
	muted bool
}

// NewLink returns a Link that listens at an address.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	return &Link{listener: listener, target: target, open: make(map[*piped]bool)}, nil
}

// Set changes how connections are treated from now on.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	if s == Cut {
		for c := range l.open {
			c.near.Close()
			c.far.Close()
		}
	}
}

// Mute silences the open connections for good, while new ones work.
func (l *Link) Mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.muted = true
	}
}

// Run passes connections on until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		l.listener.Close()
		l.Set(Cut)
	})
	defer stop()
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			l.serve(near)
			return nil
		})
	}
}

func (l *Link) serve(near net.Conn) {
	defer near.Close()
	l.mu.Lock()
	refused := l.state == Cut
	l.mu.Unlock()
	if refused {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	c := &piped{near: near, far: far}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(c, far, near, false) })
	both.Go(func() { l.pass(c, near, far, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// pass copies one direction until either end closes.
func (l *Link) pass(c *piped, to, from net.Conn, answers bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.lets(c, answers) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// lets reports whether bytes pass now, after the delay of the link.
func (l *Link) lets(c *piped, answers bool) bool {
	l.mu.Lock()
	state, muted := l.state, c.muted
	l.mu.Unlock()
	if state == Delayed {
		time.Sleep(proxyDelay)
	}
	return !muted && state != Silent && (state != OneWay || !answers)
}
