package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// registration is the entry that a server writes, with all fields that PROTOCOL names.
type registration struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	Seq          int    `json:"seq"`
	WarmupLeftMs int64  `json:"warmupLeftMs"`
	Born         int64  `json:"born"`
}

// server stands in for a server: it ends flows, runs requests and registers itself.
type server struct {
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	work    time.Duration
	slots   chan struct{}
	conn    *net.UDPConn
	d       *deployment

	// lose, if set, drops a datagram on the way to the server and reports that it did.
	lose func(s *server, p packet) bool

	mu        sync.Mutex
	flows     map[string]*serverFlow
	born      time.Time
	seq       int
	state     string
	coldUntil time.Time
	// downUntil is the time until which the server has fallen over: it answers nothing.
	downUntil time.Time
}

type serverFlow struct {
	isn, next  uint32 // own initial sequence number, and the next byte that the server sends
	expected   uint32 // the next byte that the client sends
	opened     bool
	ended      bool
	echo       uint32
	client     netip.AddrPort
	route      netip.AddrPort
	response   []byte
	responseAt uint32
}

func (d *deployment) startServer(id, service, zone string, address netip.AddrPort, slots int, work time.Duration) (*server, error) {
	var number uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(id, "i-"), "%x", &number); err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, number: number, service: service, zone: zone, address: address, work: work, d: d,
		slots: make(chan struct{}, slots), conn: conn, flows: map[string]*serverFlow{}, born: time.Now(), state: "ready",
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trefoilspring-Instance-Id", s.id)
			s.mu.Lock()
			ready := s.state == "ready"
			s.mu.Unlock()
			if !ready {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	go s.read()
	go s.heartbeat()
	return s, nil
}

// heartbeat writes the server's entry about every heartbeatMs. The entry changes only when
// more than seq does.
func (s *server) heartbeat() {
	time.Sleep(time.Duration(rand.Int64N(int64(s.d.heartbeat))))
	for {
		s.report()
		time.Sleep(s.d.heartbeat)
	}
}

func (s *server) report() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	r := registration{
		Service: s.service, Address: s.address.String(), Zone: s.zone, Version: "v1", Capacity: cap(s.slots),
		State: s.state, WarmupLeftMs: max(time.Until(s.coldUntil).Milliseconds(), 0), Born: s.born.UnixMilli(),
	}
	key := "servers/" + s.id
	value, _ := json.Marshal(r)
	s.d.store.mu.Lock()
	current, stored := s.d.store.items[key]
	s.d.store.mu.Unlock()
	var written registration
	_ = json.Unmarshal(current.Value, &written)
	written.Seq = 0
	if stored && written == r {
		return time.Now()
	}
	r.Seq = s.seq
	value, _ = json.Marshal(r)
	return s.d.store.set(key, value, 0)
}

// fallOver makes the server discard its flows and answer nothing for a while. s.mu is held.
func (s *server) fallOver(d time.Duration) {
	s.downUntil = time.Now().Add(d)
	clear(s.flows)
}

// becomeCold makes the server cold for d, and reports so.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.report()
}

// drain makes the server draining, and reports so. It returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.report()
}

func (s *server) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < idBytes+headerBytes {
			continue
		}
		var id uint64
		for _, b := range buffer[:idBytes] {
			id = id<<8 | uint64(b)
		}
		p, intact := decode(buffer[idBytes:n])
		if s.lose != nil && s.lose(s, p) {
			continue
		}
		if id != s.number && id != 0 {
			continue // not the intended server: sends nothing
		}
		if !intact || p.sum == 0 {
			s.d.log.write("server %s got a packet that its sender didn't write so", s.id)
			s.d.violate("UNASKED: server %s got a forged packet", s.id)
			continue
		}
		s.handle(p)
	}
}

func (s *server) send(f *serverFlow, flags byte, seq uint32, data []byte) {
	p := packet{seq: seq, ack: f.expected, flags: flags, src: f.route, dst: f.client, echo: f.echo, data: data}
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.client.Addr(), s.d.dataPort))
}

func (s *server) handle(p packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return
	}
	key := p.src.String() + ">" + p.dst.String()
	f := s.flows[key]
	if p.flags&flagSyn != 0 {
		if p.flags&flagAck != 0 {
			return
		}
		if f == nil || f.expected != p.seq+1 && !f.opened {
			f = &serverFlow{isn: rand.Uint32(), expected: p.seq + 1, client: p.src, route: p.dst}
			f.next = f.isn + 1
			s.flows[key] = f
			s.d.onOpening(s, p)
		}
		if f.opened {
			return
		}
		f.echo = p.echo
		s.send(f, flagSyn|flagAck, f.isn, nil)
		return
	}
	if f == nil || f.ended && len(p.data) > 0 {
		if p.flags&flagRst != 0 {
			return
		}
		g := &serverFlow{client: p.src, route: p.dst, echo: p.echo}
		s.d.log.write("server %s resets unknown flow %s", s.id, key)
		s.send(g, flagRst, p.ack, nil)
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&flagRst != 0:
		delete(s.flows, key)
		return
	case p.ack == f.isn+1:
		f.opened = true
	case !f.opened:
		// The client acknowledged another server's SYN+ACK.
		s.send(f, flagRst, p.ack, nil)
		delete(s.flows, key)
		return
	}
	s.d.onOpened(s, f.client, f.route)
	if len(p.data) > 0 {
		s.handleData(f, p)
	}
	if p.flags&flagFin != 0 {
		f.ended = true
		f.expected = p.seq + uint32(len(p.data)) + 1
		s.send(f, flagAck|flagFin, f.next, nil)
	}
}

// handleData takes one request, which fits in a packet, and runs it once. s.mu is held.
func (s *server) handleData(f *serverFlow, p packet) {
	if p.seq != f.expected {
		if f.response != nil && p.seq+uint32(len(p.data)) == f.expected {
			s.send(f, flagAck, f.responseAt, f.response)
		} else {
			s.send(f, flagAck, f.next, nil)
		}
		return
	}
	f.expected += uint32(len(p.data))
	f.response = nil
	s.send(f, flagAck, f.next, nil)
	request := requestID(p.data)
	go func() {
		s.slots <- struct{}{}
		s.d.onRun(s, request, f.client, f.route)
		time.Sleep(s.work)
		<-s.slots
		body := fmt.Sprintf("served by %s of %s: %s", s.id, s.service, request)
		s.mu.Lock()
		defer s.mu.Unlock()
		if time.Now().Before(s.downUntil) {
			return
		}
		f.response = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTrefoilspring-Request-Id: %s\r\nTrefoilspring-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
			request, s.id, len(body), body)
		f.responseAt = f.next
		f.next += uint32(len(f.response))
		flags := byte(flagAck)
		if s.state == "draining" {
			flags |= flagFin // a draining server closes a flow after its next response
			f.ended = true
		}
		s.send(f, flags, f.responseAt, f.response)
	}()
}

const requestHeader = "Trefoilspring-Request-Id: "

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), requestHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
