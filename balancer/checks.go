package balancer

import (
	"context"
	"net"
	"time"

	"trefoilspring.example/trefoilspring/director"
)

const (
	// checkTimeout bounds one try to connect to a target. Targets take a connection
	// within 5 ms, from any zone; the smallest VMs of our users run for 6 ms in
	// each 100 ms.
	checkTimeout = 120 * time.Millisecond
	// checkTries is how many tries in a row must fail.
	checkTries = 2
	// checkGap is the time between two tries.
	checkGap = 20 * time.Millisecond
	// heldUp is how much longer than its timeout a try may take; one that took
	// longer was held up on this VM, and says nothing of the target.
	heldUp = 30 * time.Millisecond
	// controls is how many peers are tried, and controlTimeout bounds each try, to
	// find whether this balancer's own link works: half of what targets get.
	controls       = 3
	controlTimeout = 60 * time.Millisecond
	// checkers is how many targets are checked at a time: all of a zone of today's
	// size within two rounds.
	checkers = 8
	// queuedChecks bounds the checks that wait.
	queuedChecks = 256
)

// check queues checks. One that finds the queue full is inconclusive.
func (b *Balancer) check(checks []director.Check) {
	for _, c := range checks {
		select {
		case b.checks <- c:
		default:
			b.finishCheck(c, director.Inconclusive)
		}
	}
}

// runChecks checks targets until ctx ends. Resets leave by conn.
func (b *Balancer) runChecks(ctx context.Context, conn *net.UDPConn) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-b.checks:
			verdict := checkTarget(ctx, c.Target)
			if verdict == director.Unreachable && !b.linked(ctx) {
				verdict = director.Inconclusive
			}
			b.reset(conn, c, b.finishCheck(c, verdict))
		}
	}
}

func (b *Balancer) finishCheck(c director.Check, v director.Verdict) []director.Packet {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics.check(v)
	flows := b.director.Checked(time.Now(), c, v)
	if v != director.Reachable {
		b.log.Warn("target checked", "target", c.Name, "verdict", v.String(), "zone", c.Target.AvailabilityZone,
			"target-address", c.Target.Address.String(), "flows-reset", len(flows))
	}
	return flows
}

// checkTarget connects to a target, and again if that fails.
func checkTarget(ctx context.Context, t director.Target) director.Verdict {
	dialer := net.Dialer{Timeout: checkTimeout}
	for try := range checkTries {
		if try > 0 {
			time.Sleep(checkGap)
		}
		start := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", t.Address.String())
		if err == nil {
			conn.Close()
			return director.Reachable
		}
		if ctx.Err() != nil || time.Since(start) > checkTimeout+heldUp {
			return director.Inconclusive
		}
	}
	return director.Unreachable
}

// linked reports whether this balancer reaches any of a few peers quickly. If not,
// it is cut off itself or its link is full, and what it finds of targets says
// nothing.
func (b *Balancer) linked(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: controlTimeout}
	for _, address := range b.controlAddresses() {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// controlAddresses returns the addresses of a few peers, those of the own zone first.
func (b *Balancer) controlAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []string
	for _, p := range b.view.peers {
		switch {
		case p.Name == b.settings.Name:
		case p.AvailabilityZone == b.settings.AvailabilityZone:
			near = append(near, p.Address)
		default:
			far = append(far, p.Address)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), controls)]
}

// reset tells the callers of flows to open new ones.
func (b *Balancer) reset(conn *net.UDPConn, c director.Check, flows []director.Packet) {
	for i := range flows {
		p := &flows[i]
		datagram := b.fabric.Reset(nil, p)
		if _, err := conn.WriteToUDPAddrPort(datagram, b.caller(p)); err != nil {
			b.metrics.unsent.Inc()
			b.log.Warn("reset not sent", "caller", p.Source.String(), "target", c.Name, "cause", err.Error())
		}
	}
}
