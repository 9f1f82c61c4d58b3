package balancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/logger"
)

// Limits on the log lines per second of one balancer. Each kind of line has its own limit,
// so that routine lines can't use up the limit for failures.
const (
	failureLinesPerSecond = 40
	openingLinesPerSecond = 20
	requestLinesPerSecond = 40
)

// resetBufferBytes is the initial capacity of a buffer for one reset.
const resetBufferBytes = 64

// callerAddress returns the address to which packets to the caller of p are sent: the
// caller's IP address and the port of this balancer's DataAddress.
func (b *Balancer) callerAddress(p *director.Packet) netip.AddrPort {
	return netip.AddrPortFrom(p.Source.Addr(), b.settings.DataAddress.Port())
}

// packetLoop reads, decides on and forwards packets in batches. It owns their buffers.
type packetLoop struct {
	balancer       *Balancer
	reader         *batcher.Reader
	writer         *batcher.Writer
	packets        [batcher.MaxDatagrams]director.Packet
	resetBuffers   [batcher.MaxDatagrams][resetBufferBytes]byte
	failureLimiter *logger.Limiter
	openingLimiter *logger.Limiter
	requestLimiter *logger.Limiter
}

// maxFirstViewWait limits how long packets wait in the socket for the first view.
// Callers retransmit an unanswered packet after 200 to 800 ms, and give up the attempt to
// open a flow after 1.4 s.
const maxFirstViewWait = time.Second

// awaitFirstView waits up to maxFirstViewWait until a configuration is in force. If all
// balancers start at once under full load, the packets of the first 0.3 s would
// otherwise be dropped, and callers would have to retransmit them.
func (b *Balancer) awaitFirstView(ctx context.Context) {
	select {
	case <-b.viewReady:
	case <-ctx.Done():
	case <-time.After(maxFirstViewWait):
	}
}

// forward reads and forwards packets until ctx ends or the socket fails.
func (b *Balancer) forward(ctx context.Context, conn *net.UDPConn) error {
	b.awaitFirstView(ctx)
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past unblocks the pending read.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	l := &packetLoop{
		balancer:       b,
		reader:         batcher.NewReader(conn),
		writer:         batcher.NewWriter(conn),
		failureLimiter: logger.NewLimiter(failureLinesPerSecond),
		openingLimiter: logger.NewLimiter(openingLinesPerSecond),
		requestLimiter: logger.NewLimiter(requestLinesPerSecond),
	}
	for {
		n, err := l.reader.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		l.handleBatch(time.Now(), n)
	}
}

// handleBatch takes the lock once to decide on all n datagrams of a batch. It then sends
// the resulting datagrams.
func (l *packetLoop) handleBatch(now time.Time, n int) {
	b := l.balancer
	b.lastPacket.Store(now.UnixNano())
	b.mu.Lock()
	for i := range n {
		packet := &l.packets[i]
		if l.reader.Truncated(i) {
			b.metrics.countBadPacket("too-long")
			continue
		}
		if err := b.fabric.Parse(l.reader.Datagram(i), packet); err != nil {
			b.metrics.countBadPacket(badPacketReason(err))
			continue
		}
		l.execute(now, i, packet, b.director.Decide(now, packet))
	}
	checks := b.director.TakeChecks()
	b.mu.Unlock()
	b.enqueueChecks(checks)
	queued := l.writer.Pending()
	sent, err := l.writer.Flush()
	if err != nil || sent < queued {
		b.metrics.packetsUnsent.Add(queued - sent)
	}
	b.metrics.batchDuration.UpdateDuration(now)
}

// errorWithReason is an error that supplies the reason label of the counter of bad
// packets.
type errorWithReason interface {
	error
	Reason() string
}

// badPacketReason returns the reason label for an error of Fabric.Parse.
func badPacketReason(err error) string {
	var withReason errorWithReason
	if errors.As(err, &withReason) {
		return withReason.Reason()
	}
	return "unreadable"
}

// execute counts, performs and logs the decision on packet i of the batch. Datagrams are
// queued until the batch is flushed.
func (l *packetLoop) execute(now time.Time, i int, packet *director.Packet, d director.Decision) {
	b := l.balancer
	b.metrics.countDecision(d)
	if d.Reason == director.ReasonTurnedAway && packet.Retransmissions == 0 {
		b.metrics.countTurnedAway(d.Urgency)
	}
	switch d.Action {
	case director.Forward:
		datagram := b.fabric.Encapsulate(l.reader.DatagramWithHeadroom(i, b.fabric.Headroom), d.Target, d.Token)
		l.writer.Add(datagram, d.Target.Address)
	case director.Reset:
		l.writer.Add(b.fabric.AppendReset(l.resetBuffers[i][:0], packet), b.callerAddress(packet))
	case director.Drop:
	}
	l.logDecision(now, packet, d)
}

// logDecision logs a decision, unless the limit for lines of its kind is reached. A packet
// of an established flow is logged only if a request begins in it.
func (l *packetLoop) logDecision(now time.Time, packet *director.Packet, d director.Decision) {
	var limiter *logger.Limiter
	message, request := "", ""
	switch {
	case d.Reason == director.ReasonOpening:
		limiter, message = l.openingLimiter, "flow opened"
	case d.Reason != director.ReasonFlow:
		limiter, message = l.failureLimiter, "packet not routine"
	case len(packet.Data) > 0:
		request = l.balancer.fabric.RequestID(packet.Data)
		if request == "" {
			return
		}
		limiter, message = l.requestLimiter, "request forwarded"
	default:
		return
	}
	suppressed, ok := limiter.Allow(now)
	if !ok {
		l.balancer.metrics.linesLeftOut.Inc()
		return
	}
	l.writeLogLine(message, request, suppressed, packet, d)
}

// writeLogLine logs a decision with all attributes. suppressed is the number of lines of
// the same kind that were left out since the last one was written.
func (l *packetLoop) writeLogLine(message, request string, suppressed int, packet *director.Packet, d director.Decision) {
	b := l.balancer
	if request == "" && len(packet.Data) > 0 {
		request = b.fabric.RequestID(packet.Data)
	}
	version, _ := b.director.Version()
	age, _ := b.view.replica.Age(b.ViewClock())
	fields := []any{
		"decision", d.Action.String(), "reason", string(d.Reason), "caller", packet.Source.String(), "route", packet.Destination.String(),
		"version", version, "revision", b.view.replica.Revision(), "view-age-ms", age.Milliseconds(),
	}
	if request != "" {
		fields = append(fields, "request-id", request)
	}
	if packet.Opening {
		fields = append(fields, "copy", packet.Retransmissions)
	}
	if d.Reason == director.ReasonTurnedAway {
		fields = append(fields, "urgency", d.Urgency)
	}
	if t := d.Target; t != nil {
		fields = append(fields, "target", t.Name, "target-zone", t.AvailabilityZone, "service", t.Service, "target-address", t.Address.String(), "token", uint32(d.Token))
	} else if packet.Token != 0 {
		fields = append(fields, "token", uint32(packet.Token))
	}
	if suppressed > 0 {
		fields = append(fields, "left-out", suppressed)
	}
	b.log.Info(message, fields...)
}
