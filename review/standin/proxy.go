package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections to a backend. It can silence the connections that are
// open: they stay open and pass nothing further, while new ones work.
type proxy struct {
	listener net.Listener
	backend  string
	group    *sync.WaitGroup

	mu    sync.Mutex
	conns map[*proxyConn]bool
	// down makes new connections silent too.
	down bool
}

type proxyConn struct {
	client, server net.Conn
	silenced       chan struct{}
	once           sync.Once
}

func newProxy(address, backend string, group *sync.WaitGroup) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: backend, group: group, conns: map[*proxyConn]bool{}}
	group.Go(p.run)
	return p, nil
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.backend)
		if err != nil {
			client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server, silenced: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = true
		if p.down {
			c.once.Do(func() { close(c.silenced) })
		}
		p.mu.Unlock()
		p.group.Go(func() { p.pipe(c, client, server) })
		p.group.Go(func() { p.pipe(c, server, client) })
	}
}

func (p *proxy) pipe(c *proxyConn, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silenced:
			if err == nil {
				continue // what arrives is lost
			}
		default:
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
		}
		if err != nil {
			select {
			case <-c.silenced:
				from.Close() // the other end must not notice
			default:
				from.Close()
				to.Close()
			}
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			return
		}
	}
}

// silence makes all open connections go silent for good, without a reset.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.once.Do(func() { close(c.silenced) })
	}
	return len(p.conns)
}

// setDown makes all connections silent, new ones too, or lets new ones pass again.
func (p *proxy) setDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.silence()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.client.Close()
		c.server.Close()
	}
}
