// Package forwarder moves packets: it reads Geneve datagrams in batches, has each
// one decided, and sends it on to a target or another balancer.
//
// # Usage
//
//	f := forwarder.New(conn, counters)
//	f.Decide = func(now time.Time, jobs []forwarder.Job) { … }
//	f.Trusted = func(source netip.AddrPort) forwarder.Origin { … }
//	err := f.Run(ctx)
//
// Each Forwarder has its own goroutine and its own buffers; several may share the
// address of one socket.
package forwarder

import (
	"context"
	"net"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/caller"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/tracker"
)

// Origin says who sent a datagram.
type Origin uint8

// The origins.
const (
	Stranger Origin = iota
	Fabric
	Peer
)

// Job is one packet and what was decided of it.
type Job struct {
	packet      parser.Packet
	source      netip.AddrPort
	origin      Origin
	decision    tracker.Decision
	destination netip.AddrPort
	index       int
}

// Packet returns what was parsed.
func (j *Job) Packet() *parser.Packet { return &j.packet }

// Send has the packet sent to a target, or with hops to another balancer.
func (j *Job) Send(d tracker.Decision, destination netip.AddrPort) {
	j.decision = d
	j.destination = destination
}

// Forwarder is one reader of the data socket.
type Forwarder struct {
	// Decide calls Send on each job; a job without Send is dropped.
	Decide func(now time.Time, jobs []Job)
	// Trusted says who a source address belongs to.
	Trusted func(source netip.AddrPort) Origin
	// Fabric is where refusals go whose packet another balancer handed on.
	Fabric netip.AddrPort

	conn     *net.UDPConn
	counters *Counters
	reader   *batcher.Reader
	writer   *batcher.Writer
	parser   *parser.Parser
	refuser  *caller.Refuser
	jobs     [batcher.Datagrams]Job
}

// New returns a Forwarder on conn.
func New(conn *net.UDPConn, counters *Counters) *Forwarder {
	return &Forwarder{
		conn:     conn,
		counters: counters,
		reader:   batcher.NewReader(conn),
		writer:   batcher.NewWriter(conn),
		parser:   parser.New(),
		refuser:  caller.New(),
	}
}

// Run forwards until ctx ends or the socket fails.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Ends the read that Run waits in.
		_ = f.conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	for {
		n, err := f.reader.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		f.handle(time.Now(), n)
	}
}

func (f *Forwarder) handle(now time.Time, n int) {
	jobs := f.parse(n)
	if len(jobs) == 0 {
		return
	}
	f.Decide(now, jobs)
	for i := range jobs {
		f.act(now, &jobs[i])
	}
	sent, err := f.writer.Flush()
	if err != nil || sent < len(jobs) {
		f.counters.unsent.Set(int64(f.writer.Failed()))
	}
}

func (f *Forwarder) parse(n int) []Job {
	count := 0
	for i := range n {
		j := &f.jobs[count]
		*j = Job{index: i, source: f.reader.Source(i)}
		j.origin = f.Trusted(j.source)
		if !f.accepts(i, j) {
			continue
		}
		count++
	}
	f.counters.received.Add(int64(n))
	return f.jobs[:count]
}

func (f *Forwarder) accepts(i int, j *Job) bool {
	if j.origin == Stranger {
		f.counters.stranger.Add(1)
		return false
	}
	if f.reader.Truncated(i) {
		f.counters.oversize.Add(1)
		return false
	}
	if reason := f.parser.Parse(f.reader.Datagram(i), &j.packet); reason != parser.Accepted {
		f.counters.rejected[reason].Add(1)
		return false
	}
	handedOn := j.packet.Hops() > 0
	if handedOn != (j.origin == Peer) || j.packet.Hops() > tracker.MaxHops {
		f.counters.wrongHops.Add(1)
		return false
	}
	return true
}

func (f *Forwarder) act(now time.Time, j *Job) {
	switch j.decision.Action() {
	case tracker.Forward:
		f.counters.forwarded.Add(1)
		f.send(j, 0)
	case tracker.HandOn:
		f.counters.handedOn.Add(1)
		f.send(j, j.decision.Hops())
	case tracker.Refuse:
		f.refuse(now, j)
	case tracker.Drop:
		f.counters.dropped[j.decision.Reason()].Add(1)
	}
}

// send writes a new Geneve header right before the inner packet, over the old one.
func (f *Forwarder) send(j *Job, hops uint32) {
	if !j.destination.IsValid() {
		f.counters.noAddress.Add(1)
		return
	}
	inner := j.packet.Inner()
	whole := f.reader.Datagram(j.index)
	start := cap(whole) - cap(inner)
	datagram := whole[start-parser.HeaderBytes : start+len(inner)]
	parser.PutHeader(datagram, hops, j.packet.Source().Addr().Is6())
	f.writer.Add(datagram, j.destination)
}

func (f *Forwarder) refuse(now time.Time, j *Job) {
	datagram, ok := f.refuser.Refuse(now, &j.packet)
	if !ok {
		f.counters.refusalsHeld.Add(1)
		return
	}
	f.counters.refused[j.decision.Reason()].Add(1)
	to := j.source
	if j.origin == Peer {
		to = f.Fabric
	}
	f.writer.Add(datagram, to)
}
