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
