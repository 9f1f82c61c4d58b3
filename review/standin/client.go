package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// synTimes are the times at which a client sends an opening packet and its copies, and
// openTimeout is when it gives the attempt up.
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout = 1400 * time.Millisecond
	// delayedAck is how long a client waits for a second packet before it acknowledges one.
	delayedAck = 40 * time.Millisecond
	// resetWindow is how far from the last acknowledgement a reset may be.
	resetWindow = 76800
)

// client is one of the users' clients, with an address of its own.
type client struct {
	d       *deployment
	zone    string
	address netip.Addr
	conn    *net.UDPConn
	line    *delayLine

	mu    sync.Mutex
	port  uint16
	flows map[flowID]*clientFlow
}

// clientFlow is a flow at its client.
type clientFlow struct {
	client  *client
	id      flowID
	isn     uint32
	peerISN uint32
	next    uint32
	ack     uint32
	echo    uint32
	isOpen  bool
	ended   string // why the flow ended, or ""
	pending int    // packets that aren't acknowledged yet
	ackDue  *time.Timer
	opened  chan struct{}
	done    chan struct{}
	answers chan string
}

func (d *deployment) startClient(zone string, n int) (*client, error) {
	c := &client{d: d, zone: zone, line: newDelayLine(), address: d.address(netClients, n), port: uint16(30000 + rand.IntN(20000)), flows: map[flowID]*clientFlow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, d.port))); err != nil {
		return nil, err
	}
	d.group.Go(c.read)
	d.group.Go(func() { c.line.run(d.ctx) })
	d.clients = append(d.clients, c)
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		c.handle(append([]byte(nil), buffer[:n]...), from)
	}
}

func (c *client) handle(b []byte, sender netip.AddrPort) {
	p, valid := decode(b)
	if !valid && !p.isSystemReset() {
		c.d.record.breaks("MIXED", "client %s got a packet that its sender didn't write so", c.address)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flowID{client: p.to, route: p.from}]
	if f == nil || f.ended != "" {
		return
	}
	switch {
	case p.flags&flagReset != 0:
		f.handleReset(p, sender)
	case p.flags&flagSyn != 0:
		f.echo = p.echo // "the last echo that they received on a flow"
		if !f.isOpen {
			f.isOpen = true
			f.peerISN, f.next, f.ack = p.seq, f.isn+1, p.seq+1
			close(f.opened)
		} else if p.seq != f.peerISN {
			c.d.record.line("client: second answer to the opening of %s from %s", f.id, c.d.nameOf(sender))
		}
		// An open flow answers a further SYN+ACK with its own acknowledgement, as TCP does.
		f.sendAck()
	default:
		f.echo = p.echo
		f.handleData(p)
	}
}

func (f *clientFlow) handleReset(p packet, sender netip.AddrPort) {
	if f.isOpen && min(p.seq-f.ack, f.ack-p.seq) > resetWindow {
		return
	}
	by := f.client.d.nameOf(sender)
	f.client.d.wasReset(f, by, p.isSystemReset())
	f.end("reset by " + by)
}

func (f *clientFlow) handleData(p packet) {
	if !f.isOpen || len(p.data) == 0 {
		return
	}
	if p.seq != f.ack {
		f.sendAck()
		return
	}
	f.ack += uint32(len(p.data))
	select {
	case f.answers <- string(p.data):
	default:
	}
	if f.pending++; f.pending >= 2 {
		f.sendAck()
		return
	}
	f.ackDue = time.AfterFunc(delayedAck, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if f.pending > 0 && f.ended == "" {
			f.sendAck()
		}
	})
}

func (f *clientFlow) end(why string) {
	if f.ended == "" {
		f.ended = why
		close(f.done)
		delete(f.client.flows, f.id)
	}
}

func (f *clientFlow) sendAck() {
	f.pending = 0
	f.send(packet{flags: flagAck, seq: f.next})
}

// send sends a packet through the balancer that the routers pick. client.mu must be held.
func (f *clientFlow) send(p packet) {
	p.from, p.to = f.id.client, f.id.route
	if p.flags&flagSyn == 0 {
		p.ack, p.echo = f.ack, f.echo
	}
	to := f.client.d.routers[f.client.zone].pick(f.id)
	f.client.d.datagrams.Add(1)
	datagram, address := p.encode(), netip.AddrPortFrom(to.ip, f.client.d.port)
	f.client.line.add(func() { _, _ = f.client.conn.WriteToUDPAddrPort(datagram, address) })
}

// open opens a flow. It returns nil if the attempt ends, and why.
func (c *client) open(route netip.AddrPort) (*clientFlow, string) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{
		client: c, id: flowID{client: netip.AddrPortFrom(c.address, c.port), route: route}, isn: rand.Uint32(),
		opened: make(chan struct{}), done: make(chan struct{}), answers: make(chan string, 8),
	}
	c.flows[f.id] = f
	c.mu.Unlock()
	start := time.Now()
	for n := range synTimes {
		c.mu.Lock()
		if !f.isOpen && f.ended == "" {
			f.send(packet{flags: flagSyn, seq: f.isn, ack: uint32(n)})
		}
		c.mu.Unlock()
		next := openTimeout
		if n+1 < len(synTimes) {
			next = synTimes[n+1]
		}
		select {
		case <-f.opened:
			return f, ""
		case <-f.done:
			return nil, f.ended
		case <-c.d.ctx.Done():
			return nil, "end of the run"
		case <-time.After(next - time.Since(start)):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.isOpen {
		return f, ""
	}
	f.end("no answer to the opening")
	return nil, f.ended
}

var requestNumber atomic.Int64

// request makes a request on an open flow, and returns "" if it was answered in time.
func (f *clientFlow) request(budget time.Duration) string {
	c := f.client
	id := fmt.Sprintf("q%d", requestNumber.Add(1))
	data := fmt.Appendf(nil, "GET /seats HTTP/1.1\r\nTrefoilspring-Request-Id: %s\r\n\r\n", id)
	c.mu.Lock()
	p := packet{flags: flagAck, seq: f.next, data: data}
	f.next += uint32(len(data))
	c.mu.Unlock()
	deadline := time.Now().Add(budget)
	for interval := firstRetransmission; ; interval = min(2*interval, maxRetransmission) {
		c.mu.Lock()
		if f.ended == "" {
			f.pending = 0
			f.send(p)
		}
		c.mu.Unlock()
		select {
		case answer := <-f.answers:
			if !strings.HasSuffix(answer, "done "+id) {
				c.d.record.breaks("MIXED", "request %s got another request's answer", id)
				return "foreign answer"
			}
			return ""
		case <-f.done:
			return f.ended
		case <-c.d.ctx.Done():
			return "end of the run"
		case <-time.After(min(interval, time.Until(deadline))):
			if time.Now().After(deadline) {
				return "no answer in time"
			}
		}
	}
}

// close ends a flow from the client's side.
func (f *clientFlow) close() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	if f.ended == "" {
		f.send(packet{flags: flagAck | flagFin, seq: f.next})
		f.end("closed by the client")
	}
}
