package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of PROTOCOL for the opening of a flow and for packets that are sent again.
const (
	openingTimeout = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond
	secondRepeat   = 600 * time.Millisecond
	maxRepeat      = 1600 * time.Millisecond
)

// host stands in for the host of several clients: one address, and a port for each flow.
type host struct {
	d    *deployment
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]chan packet
	port  uint16
}

func (d *deployment) startHost(zone string, addr netip.Addr) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, d.dataPort)))
	if err != nil {
		return nil, err
	}
	h := &host{d: d, zone: zone, addr: addr, conn: conn, flows: map[uint16]chan packet{}, port: uint16(1024 + rand.IntN(2000))}
	go h.read()
	return h, nil
}

func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, intact := decode(buffer[:n])
		if !intact {
			h.d.violate("MIXED: host %s got a packet that its sender didn't write so", h.addr)
			continue
		}
		h.mu.Lock()
		c := h.flows[p.dst.Port()]
		h.mu.Unlock()
		if c != nil {
			select {
			case c <- p:
			default:
			}
		}
	}
}

// newFlow prepares a flow on a route from a port that no earlier flow of the host had.
func (h *host) newFlow(route netip.AddrPort) *clientFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port++
	if h.port < 1024 {
		h.port = 1024
	}
	c := make(chan packet, 64)
	h.flows[h.port] = c
	return &clientFlow{host: h, local: netip.AddrPortFrom(h.addr, h.port), route: route, isn: rand.Uint32(), in: c}
}

type clientFlow struct {
	host         *host
	local, route netip.AddrPort
	isn          uint32
	next, peer   uint32
	echo         uint32
	in           chan packet
	openedAt     time.Time
	lastPacketAt time.Time
}

// forget frees the flow's port.
func (f *clientFlow) forget() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	delete(f.host.flows, f.local.Port())
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(flagAck|flagFin, f.next, f.peer, nil)
	f.forget()
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{seq: seq, ack: ack, flags: flags, src: f.local, dst: f.route, echo: f.echo, data: data}
	f.lastPacketAt = time.Now()
	f.host.d.router.forward(f.host.zone, p)
}

// exchange sends a request on the open flow and waits for its response until the deadline. It
// sets ended if the server closes the flow after the response.
func (f *clientFlow) exchange(id string, deadline time.Time) outcome {
	request := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: x\r\n%s%s\r\n\r\n", requestHeader, id)
	seq := f.next
	f.next += uint32(len(request))
	f.host.d.log.write("client %s sends request %s on the flow to %s", f.local, id, f.route)
	f.host.d.onSent(id, f.route)
	f.send(flagAck, seq, f.peer, request)
	repeat, acked := firstRepeat, false
	timer := time.NewTimer(repeat)
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if p.flags&flagRst != 0 {
				return f.wasReset(p)
			}
			f.echo = p.echo
			acked = acked || p.ack == f.next
			if p.flags&flagSyn != 0 {
				continue
			}
			closing := p.flags&flagFin != 0
			if len(p.data) == 0 {
				if closing {
					return outcome{opened: true, ended: true, text: "closed by the server without an answer"}
				}
				continue
			}
			if p.seq != f.peer {
				f.send(flagAck, f.next, f.peer, nil)
				continue
			}
			f.peer += uint32(len(p.data))
			if closing {
				f.peer++
			}
			f.send(flagAck, f.next, f.peer, nil)
			o := f.judge(id, p.data)
			o.ended = closing
			return o
		case <-timer.C:
			if time.Now().After(deadline) {
				f.send(flagRst, f.next, f.peer, nil)
				return outcome{opened: true, ended: true, text: "no answer within the time budget"}
			}
			if !acked {
				f.send(flagAck, seq, f.peer, request)
			}
			repeat = min(2*repeat, maxRepeat)
			timer.Reset(min(repeat, max(time.Until(deadline), time.Millisecond)))
		}
	}
}

// wasReset returns the outcome of a flow that was reset while it was open.
func (f *clientFlow) wasReset(p packet) outcome {
	o := outcome{opened: true, ended: true, text: "reset by the server on an open flow"}
	if p.sum == 0 {
		o.text = "reset by the system on an open flow"
		if hook := f.host.d.resetHook; hook != nil {
			hook(f)
		}
	}
	return o
}

// outcome says how one attempt of a request ended.
type outcome struct {
	served bool
	opened bool
	ended  bool
	text   string
	body   string
}

// attempt opens a flow on a route, sends one request, waits for its response until the deadline
// and closes the flow.
func (h *host) attempt(id string, route netip.AddrPort, deadline time.Time) outcome {
	f := h.newFlow(route)
	if o := f.open(); !o.opened {
		f.forget()
		return o
	}
	o := f.exchange(id, deadline)
	f.close()
	return o
}

// open sends the opening packet, and its copies after 200 and 600 ms.
func (f *clientFlow) open() outcome {
	f.host.d.log.write("client %s opens a flow to %s", f.local, f.route)
	begin := time.Now()
	for n, at := range []time.Duration{0, firstRepeat, secondRepeat, openingTimeout} {
		wait := time.NewTimer(time.Until(begin.Add(at)))
	waiting:
		for {
			select {
			case p := <-f.in:
				switch {
				case p.flags&flagRst != 0 && p.sum == 0:
					return outcome{text: "reset by the system before it opened"}
				case p.flags&flagRst != 0:
					return outcome{text: "reset by a server before it opened"}
				case p.flags&(flagSyn|flagAck) == flagSyn|flagAck && p.ack == f.isn+1:
					f.peer, f.echo = p.seq+1, p.echo
					f.next, f.openedAt = f.isn+1, time.Now()
					f.send(flagAck, f.next, f.peer, nil)
					return outcome{opened: true}
				}
			case <-wait.C:
				break waiting
			}
		}
		if at < openingTimeout {
			f.send(flagSyn, f.isn, uint32(n), nil)
		}
	}
	return outcome{text: "no answer to the opening packet"}
}

func (f *clientFlow) judge(id string, response []byte) outcome {
	text := string(response)
	if !strings.Contains(text, requestHeader+id+"\r\n") {
		f.host.d.violate("MIXED: request %s got the answer %q", id, text)
	}
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	return outcome{served: true, opened: true, text: "200", body: body}
}

// maxTries is how often a client tries a request at most.
const maxTries = 3

// call sends a request, with up to two further tries, and records how it ended. A request that
// may run only once is tried again only if no flow opened.
func (h *host) call(id string, route netip.AddrPort, idempotent bool, budget time.Duration) bool {
	deadline := time.Now().Add(budget)
	for try := range maxTries {
		attemptID := fmt.Sprintf("%s-%d", id, try)
		o := h.attempt(attemptID, route, deadline)
		h.d.log.write("request %s on %s: %s %s", attemptID, route, o.text, o.body)
		if o.served {
			return true
		}
		if time.Now().After(deadline) || o.opened && !idempotent {
			return false
		}
	}
	return false
}
