package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeatInterval = 770 * time.Millisecond
	// firstRetransmission doubles up to maxRetransmission, maxRetransmissions times.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// flowID names a flow: the client's address and port, and the route.
type flowID struct {
	client, route netip.AddrPort
}

func (f flowID) String() string { return f.client.String() + ">" + fmt.Sprint(f.route.Port()) }

// serverFlow is a flow at a server. It is half-open until the client acknowledges isn.
type serverFlow struct {
	id          flowID
	isn         uint32
	next        uint32 // sequence number of the next byte to send
	expected    uint32 // sequence number of the next byte from the client
	echo        uint32
	established bool
	closing     bool
	unacked     []packet
	stop        chan struct{}
}

// server is one of the users' servers. It speaks as PROTOCOL.md says, and like TCP where
// that page is silent.
type server struct {
	d       *deployment
	name    string
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	born    int64
	conn    *net.UDPConn
	line    *delayLine
	health  *http.Server

	mu    sync.Mutex
	flows map[flowID]*serverFlow
	seq   int
	// coldUntil is when the server stops being cold, and coldOpenings are the times of the
	// openings that it got while it was cold.
	coldUntil    time.Time
	coldOpenings []time.Time
}

func (d *deployment) startServer(service, zone string, n int, cold bool) (*server, error) {
	id := rand.Uint64()>>32 | 1
	s := &server{
		d: d, name: fmt.Sprintf("i-%x", id), id: id, service: service, zone: zone,
		address: netip.AddrPortFrom(d.address(netServers, n), d.port), born: time.Now().UnixMilli(),
		flows: map[flowID]*serverFlow{}, line: newDelayLine(),
	}
	if cold {
		s.coldUntil = time.Now().Add(warmup)
		d.record.line("server %s (%s, %s) starts and is cold", s.name, service, zone)
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address)); err != nil {
		return nil, err
	}
	if err := s.serveHealth(); err != nil {
		return nil, err
	}
	d.group.Go(s.read)
	d.group.Go(func() { s.line.run(d.ctx) })
	d.group.Go(s.beat)
	d.servers = append(d.servers, s)
	context.AfterFunc(d.ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.health.Close()
		s.conn.Close()
	})
	return s, nil
}

func (s *server) serveHealth() error {
	l, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	health := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	s.mu.Lock()
	s.health = health
	s.mu.Unlock()
	s.d.group.Go(func() { _ = health.Serve(l) })
	return nil
}

// warmup is warmupS: how long a server is cold after its start.
const warmup = 2 * time.Second

// leave ends a server that has drained, and removes its entry.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.Close()
	s.conn.Close()
	s.d.store.set("servers/"+s.name, nil)
	s.d.record.line("server %s leaves", s.name)
}

// beat writes the server's entry. It writes it again when more than seq has changed.
func (s *server) beat() {
	s.register("ready")
	<-s.d.ctx.Done()
}

func (s *server) register(state string) time.Time {
	s.mu.Lock()
	s.seq++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":3,"state":%q,"warmupLeftMs":%d,"seq":%d,"born":%d}`,
		s.service, s.address, s.zone, state, max(time.Until(s.coldUntil).Milliseconds(), 0), s.seq, s.born)
	s.mu.Unlock()
	return s.d.store.set("servers/"+s.name, []byte(value))
}

func (s *server) read() {
	buffer := make([]byte, 4096)
	for {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		s.handle(append([]byte(nil), buffer[:n]...))
	}
}

// handle handles a datagram: the identifier of the intended server, then a packet.
func (s *server) handle(b []byte) {
	if len(b) < 8 {
		return
	}
	intended := uint64(0)
	for _, o := range b[:8] {
		intended = intended<<8 | uint64(o)
	}
	if intended != 0 && intended != s.id {
		return
	}
	p, valid := decode(b[8:])
	if !valid || p.flags&(flagSyn|flagAck) == flagSyn|flagAck {
		s.d.record.breaks("UNASKED", "server %s got a packet that its sender didn't write so", s.name)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := flowID{client: p.from, route: p.to}
	f := s.flows[id]
	if p.flags&flagSyn != 0 {
		s.open(p, id, f)
		return
	}
	s.d.arrived(id, s, p, f != nil && f.established)
	switch {
	case p.flags&flagReset != 0:
		if f != nil {
			s.forget(f)
		}
	case f == nil:
		s.reset(id, p, "holds no such flow")
	case !f.established && p.ack != f.isn+1:
		// As TCP does in SYN-RECEIVED: an unacceptable acknowledgement is answered with a
		// reset, and the opening stays.
		s.reset(id, p, "has only a half-open flow, and its seq isn't acknowledged")
	default:
		s.receive(f, p)
	}
}

func (s *server) open(p packet, id flowID, f *serverFlow) {
	if f != nil && f.expected != p.seq+1 {
		s.forget(f)
		f = nil
	}
	if f == nil {
		f = &serverFlow{id: id, isn: rand.Uint32(), expected: p.seq + 1, stop: make(chan struct{})}
		f.next = f.isn + 1
		s.flows[id] = f
		f.echo = p.echo
		if now := time.Now(); p.ack == 0 && now.Before(s.coldUntil) {
			s.coldOpenings = append(s.coldOpenings, now)
		}
		s.d.record.line("server %s half-open %s seq=%d copy=%d", s.name, id, f.isn, p.ack)
		s.sendReliably(f, packet{flags: flagSyn | flagAck, seq: f.isn})
		return
	}
	f.echo = p.echo
	if !f.established {
		s.send(f, packet{flags: flagSyn | flagAck, seq: f.isn})
	}
}

func (s *server) receive(f *serverFlow, p packet) {
	f.echo = p.echo
	if !f.established {
		f.established = true
		s.d.opened(f.id, s)
	}
	f.unacked = deleteAcked(f.unacked, p.ack)
	if p.flags&flagFin != 0 && p.seq == f.expected {
		s.send(f, packet{flags: flagAck | flagFin, seq: f.next})
		s.forget(f)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		s.send(f, packet{flags: flagAck, seq: f.next}) // a copy of what is known
		return
	}
	f.expected += uint32(len(p.data))
	s.send(f, packet{flags: flagAck, seq: f.next})
	request := requestID(p.data)
	s.d.record.line("server %s runs %s on %s", s.name, request, f.id)
	time.AfterFunc(s.d.workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[f.id] != f {
			return
		}
		body := "done " + request
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nTrefoilspring-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", s.name, len(body), body)
		s.sendReliably(f, packet{flags: flagAck, seq: f.next, data: []byte(answer)})
		f.next += uint32(len(answer))
	})
}

func deleteAcked(unacked []packet, ack uint32) []packet {
	var left []packet
	for _, p := range unacked {
		if int32(ack-(p.seq+max(uint32(len(p.data)), 1))) < 0 {
			left = append(left, p)
		}
	}
	return left
}

// sendReliably sends a packet until the client acknowledges it, and gives the flow up after
// maxRetransmissions.
func (s *server) sendReliably(f *serverFlow, p packet) {
	f.unacked = append(f.unacked, p)
	s.send(f, p)
	s.d.group.Go(func() {
		interval := firstRetransmission
		for range maxRetransmissions {
			select {
			case <-f.stop:
				return
			case <-s.d.ctx.Done():
				return
			case <-time.After(interval):
			}
			s.mu.Lock()
			waiting := false
			for _, u := range f.unacked {
				waiting = waiting || u.seq == p.seq
			}
			if waiting && s.flows[f.id] == f {
				s.send(f, p)
			}
			s.mu.Unlock()
			if !waiting {
				return
			}
			interval = min(2*interval, maxRetransmission)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[f.id] == f {
			s.d.record.line("server %s gives up %s", s.name, f.id)
			s.forget(f)
		}
	})
}

func (s *server) forget(f *serverFlow) {
	if s.flows[f.id] == f {
		delete(s.flows, f.id)
		close(f.stop)
	}
}

// reset answers a packet of a flow that the server doesn't hold.
func (s *server) reset(id flowID, p packet, why string) {
	s.d.record.line("server %s resets %s: %s", s.name, id, why)
	s.transmit(packet{from: id.route, to: id.client, flags: flagReset, seq: p.ack, echo: p.echo})
}

// send sends a packet of a flow to its client directly.
func (s *server) send(f *serverFlow, p packet) {
	p.from, p.to, p.ack, p.echo = f.id.route, f.id.client, f.expected, f.echo
	if p.flags&flagSyn != 0 && s.d.loses(f.id, s) {
		return
	}
	s.transmit(p)
}

func (s *server) transmit(p packet) {
	s.d.datagrams.Add(1)
	datagram, address := p.encode(), netip.AddrPortFrom(p.to.Addr(), s.d.port)
	s.line.add(func() { _, _ = s.conn.WriteToUDPAddrPort(datagram, address) })
}

// requestID returns the identifier of the request in a packet.
func requestID(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("Trefoilspring-Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
