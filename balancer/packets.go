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

// Log lines a second of one balancer, by kind. Failures come first: they have a
// budget of their own that routine can't use up.
const (
	failureLines = 40
	openingLines = 20
	requestLines = 40
)

// resetBytes is room for one reset.
const resetBytes = 64

// caller returns where a caller is reached: at the port that routers send to.
func (b *Balancer) caller(p *director.Packet) netip.AddrPort {
	return netip.AddrPortFrom(p.Source.Addr(), b.settings.DataAddress.Port())
}

// packets is the loop that moves packets, with its buffers.
type packets struct {
	balancer *Balancer
	reader   *batcher.Reader
	writer   *batcher.Writer
	packets  [batcher.Datagrams]director.Packet
	resets   [batcher.Datagrams][resetBytes]byte
	failures *logger.Budget
	openings *logger.Budget
	requests *logger.Budget
}

// firstViewWait is how long packets wait in the socket for the first view. Callers
// repeat theirs 200 to 800 ms later, and drop the attempt after 1.4 s.
const firstViewWait = time.Second

// awaitView waits until there is something to decide by. Load pattern: all
// balancers start at once under full load, and whatever came in the first 0.3 s
// would be dropped and wait for its repetition.
func (b *Balancer) awaitView(ctx context.Context) {
	select {
	case <-b.viewed:
	case <-ctx.Done():
	case <-time.After(firstViewWait):
	}
}

// forward moves packets until ctx ends or the socket fails.
func (b *Balancer) forward(ctx context.Context, conn *net.UDPConn) error {
	b.awaitView(ctx)
	stop := context.AfterFunc(ctx, func() {
		// Ends the read that the loop waits in.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	p := &packets{
		balancer: b,
		reader:   batcher.NewReader(conn),
		writer:   batcher.NewWriter(conn),
		failures: logger.NewBudget(failureLines),
		openings: logger.NewBudget(openingLines),
		requests: logger.NewBudget(requestLines),
	}
	for {
		n, err := p.reader.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		p.handle(time.Now(), n)
	}
}

// handle decides on a batch under one lock, then sends what was decided.
func (p *packets) handle(now time.Time, n int) {
	b := p.balancer
	b.lastPacket.Store(now.UnixNano())
	b.mu.Lock()
	for i := range n {
		packet := &p.packets[i]
		if p.reader.Truncated(i) {
			b.metrics.badPacket("too-long")
			continue
		}
		if err := b.fabric.Parse(p.reader.Datagram(i), packet); err != nil {
			b.metrics.badPacket(reasonOf(err))
			continue
		}
		p.act(now, i, packet, b.director.Decide(now, packet))
	}
	checks := b.director.Checks()
	b.mu.Unlock()
	b.check(checks)
	queued := p.writer.Pending()
	sent, err := p.writer.Flush()
	if err != nil || sent < queued {
		b.metrics.unsent.Add(queued - sent)
	}
	b.metrics.batch.UpdateDuration(now)
}

// reasoner is an error that names its counter.
type reasoner interface {
	error
	Reason() string
}

func reasonOf(err error) string {
	var r reasoner
	if errors.As(err, &r) {
		return r.Reason()
	}
	return "unreadable"
}

func (p *packets) act(now time.Time, i int, packet *director.Packet, d director.Decision) {
	b := p.balancer
	b.metrics.decision(d)
	switch d.Action {
	case director.Forward:
		datagram := b.fabric.Address(p.reader.Headroom(i, b.fabric.Headroom), d.Target, d.Token)
		p.writer.Add(datagram, d.Target.Address)
	case director.Reset:
		p.writer.Add(b.fabric.Reset(p.resets[i][:0], packet), b.caller(packet))
	case director.Drop:
	}
	p.report(now, packet, d)
}

// report logs a decision within the budget of its kind.
func (p *packets) report(now time.Time, packet *director.Packet, d director.Decision) {
	var budget *logger.Budget
	message, request := "", ""
	switch {
	case d.Reason == director.ReasonOpening:
		budget, message = p.openings, "flow opened"
	case d.Reason != director.ReasonFlow:
		budget, message = p.failures, "packet not routine"
	case len(packet.Data) > 0:
		request = p.balancer.fabric.RequestID(packet.Data)
		if request == "" {
			return
		}
		budget, message = p.requests, "request forwarded"
	default:
		return
	}
	left, ok := budget.Take(now)
	if !ok {
		p.balancer.metrics.linesLeftOut.Inc()
		return
	}
	p.write(now, message, request, left, packet, d)
}

func (p *packets) write(now time.Time, message, request string, left int, packet *director.Packet, d director.Decision) {
	b := p.balancer
	if request == "" && len(packet.Data) > 0 {
		request = b.fabric.RequestID(packet.Data)
	}
	version, _ := b.director.Version()
	age, _ := b.view.replica.Age(now)
	fields := []any{
		"decision", d.Action.String(), "reason", string(d.Reason), "caller", packet.Source.String(), "route", packet.Destination.String(),
		"version", version, "revision", b.view.replica.Revision(), "view-age-ms", age.Milliseconds(),
	}
	if request != "" {
		fields = append(fields, "request-id", request)
	}
	if packet.Opening {
		fields = append(fields, "copy", packet.Copy)
	}
	if t := d.Target; t != nil {
		fields = append(fields, "target", t.Name, "target-zone", t.AvailabilityZone, "service", t.Service, "target-address", t.Address.String(), "token", uint32(d.Token))
	} else if packet.Token != 0 {
		fields = append(fields, "token", uint32(packet.Token))
	}
	if left > 0 {
		fields = append(fields, "left-out", left)
	}
	b.log.Info(message, fields...)
}
