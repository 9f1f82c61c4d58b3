// Package forwarder reads Geneve datagrams in batches, obtains a decision on each
// packet, and forwards the packet to a target or another balancer, refuses it or drops
// it.
//
// # Usage
//
//	f := forwarder.New(conn, counters)
//	f.Decide = func(now time.Time, jobs []forwarder.Job) { … }
//	f.OriginOf = func(source netip.AddrPort) forwarder.Origin { … }
//	err := f.Run(ctx)
//
// Each Forwarder runs in its own goroutine and has its own buffers. Several Forwarders
// may use the same address, with a socket each.
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

// Origin is the kind of sender of a datagram.
type Origin uint8

// The origins. Datagrams from an UnknownSource are dropped. Fabric is the network that
// delivers the callers' packets, Peer is another balancer.
const (
	UnknownSource Origin = iota
	Fabric
	Peer
)

// Job is a received packet and the decision on it.
type Job struct {
	packet      parser.Packet
	source      netip.AddrPort
	origin      Origin
	decision    tracker.Decision
	destination netip.AddrPort
	index       int // of the datagram in the reader's batch
}

// Packet returns the parsed packet.
func (j *Job) Packet() *parser.Packet { return &j.packet }

// SetDecision sets the decision on the packet, and the address of the target or balancer
// that the packet is sent to. The address is not used if the packet is refused or dropped.
func (j *Job) SetDecision(d tracker.Decision, destination netip.AddrPort) {
	j.decision = d
	j.destination = destination
}

// Forwarder reads packets from a socket and forwards them.
type Forwarder struct {
	// Decide is called with each batch of packets, and calls SetDecision on each job. The
	// packet of a job without such a call is dropped.
	Decide func(now time.Time, jobs []Job)
	// OriginOf returns the kind of sender to which a source address belongs.
	OriginOf func(source netip.AddrPort) Origin
	// FabricAddress is the address to which a refusal is sent if another balancer passed
	// on the refused packet. Other refusals go to the source of the packet.
	FabricAddress netip.AddrPort

	conn     *net.UDPConn
	counters *Counters
	reader   *batcher.Reader
	writer   *batcher.Writer
	parser   *parser.Parser
	refuser  *caller.Refuser
	jobs     [batcher.MaxDatagrams]Job
}

// New returns a Forwarder that reads from and writes to conn.
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

// Run forwards packets until ctx ends or the socket fails. It returns nil if ctx ended.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends the read that Run is blocked in.
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
		f.processBatch(time.Now(), n)
	}
}

// processBatch handles the n datagrams that were read last.
func (f *Forwarder) processBatch(now time.Time, n int) {
	jobs := f.parseBatch(n)
	if len(jobs) == 0 {
		return
	}
	f.Decide(now, jobs)
	for i := range jobs {
		f.execute(now, &jobs[i])
	}
	sent, err := f.writer.Flush()
	if err != nil || sent < len(jobs) {
		f.counters.unsent.Set(int64(f.writer.Failed()))
	}
}

// parseBatch returns a job for each valid packet among the n datagrams read last.
func (f *Forwarder) parseBatch(n int) []Job {
	count := 0
	for i := range n {
		j := &f.jobs[count]
		*j = Job{index: i, source: f.reader.Source(i)}
		j.origin = f.OriginOf(j.source)
		if !f.parseJob(i, j) {
			continue
		}
		count++
	}
	f.counters.received.Add(int64(n))
	return f.jobs[:count]
}

// parseJob parses datagram i into j. It returns false and counts the packet if it must
// be dropped because of its source, size, content or hops.
func (f *Forwarder) parseJob(i int, j *Job) bool {
	if j.origin == UnknownSource {
		f.counters.unknownSource.Add(1)
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
	fromPeer := j.packet.Hops() > 0
	if fromPeer != (j.origin == Peer) || j.packet.Hops() > tracker.MaxHops {
		f.counters.wrongHops.Add(1)
		return false
	}
	return true
}

// execute carries out the decision on a packet.
func (f *Forwarder) execute(now time.Time, j *Job) {
	switch j.decision.Action() {
	case tracker.Forward:
		f.counters.forwarded.Add(1)
		f.send(j, 0)
	case tracker.HandOn:
		f.counters.sentToPeer.Add(1)
		f.send(j, j.decision.Hops())
	case tracker.Refuse:
		f.refuse(now, j)
	case tracker.Drop:
		f.counters.dropped[j.decision.Reason()].Add(1)
	}
}

// send writes a new Geneve header directly before the inner packet, over the old one,
// and adds the result to the writer's batch.
func (f *Forwarder) send(j *Job, hops uint32) {
	if !j.destination.IsValid() {
		f.counters.noAddress.Add(1)
		return
	}
	inner := j.packet.Inner()
	whole := f.reader.Datagram(j.index)
	// inner is a part of whole, so the difference in capacity is its offset.
	start := cap(whole) - cap(inner)
	datagram := whole[start-parser.GeneveHeaderBytes : start+len(inner)]
	parser.PutGeneveHeader(datagram, hops, j.packet.Source().Addr().Is6())
	f.writer.Add(datagram, j.destination)
}

// refuse adds a refusal to the writer's batch. If the refuser returns none, for example
// because its rate is exceeded, the packet is only counted.
func (f *Forwarder) refuse(now time.Time, j *Job) {
	datagram, ok := f.refuser.Refuse(now, &j.packet)
	if !ok {
		f.counters.refusalsNotSent.Add(1)
		return
	}
	f.counters.refused[j.decision.Reason()].Add(1)
	to := j.source
	if j.origin == Peer {
		to = f.FabricAddress
	}
	f.writer.Add(datagram, to)
}
