package balancer

import (
	"context"
	"net"
	"time"

	"trefoilspring.example/trefoilspring/director"
)

const (
	// checkTimeout limits one attempt to connect to a target. Targets accept a connection
	// within 5 ms, from any zone. The smallest VMs of our users run only 6 ms of each
	// 100 ms, so one scheduling pause has to fit.
	checkTimeout = 120 * time.Millisecond
	// checkAttempts is the number of consecutive attempts that have to fail before a
	// target is unreachable.
	checkAttempts = 2
	// checkRetryDelay is the time between two attempts.
	checkRetryDelay = 20 * time.Millisecond
	// maxCheckOverrun is how far an attempt may exceed its timeout. A larger overrun means
	// that this VM was paused, so the attempt proves nothing about the target.
	maxCheckOverrun = 30 * time.Millisecond
	// maxControlPeers is the number of peers to connect to in order to test this balancer's
	// own link. controlDialTimeout limits each attempt to half of checkTimeout.
	maxControlPeers    = 3
	controlDialTimeout = 60 * time.Millisecond
	// checkWorkers is the number of targets that are checked concurrently. It lets all
	// targets of a zone be checked in two rounds at the size of zones today.
	checkWorkers = 8
	// checkQueueSize limits the checks that wait for a worker.
	checkQueueSize = 256
)

// enqueueChecks queues checks for the workers. If the queue is full, a check ends as
// inconclusive.
func (b *Balancer) enqueueChecks(checks []director.Check) {
	for _, c := range checks {
		select {
		case b.checkQueue <- c:
		default:
			b.finishCheck(c, director.Inconclusive)
		}
	}
}

// runChecks processes queued checks until ctx ends. Resets are sent from conn.
func (b *Balancer) runChecks(ctx context.Context, conn *net.UDPConn) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-b.checkQueue:
			verdict := checkTarget(ctx, c.Target)
			if verdict == director.Unreachable && !b.reachesAnyPeer(ctx) {
				verdict = director.Inconclusive
			}
			b.sendResets(conn, c, b.finishCheck(c, verdict))
		}
	}
}

// finishCheck reports a verdict to the director and the metrics, and returns the packets
// whose flows have to be reset.
func (b *Balancer) finishCheck(c director.Check, v director.Verdict) []director.Packet {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.metrics.countCheck(v)
	flows := b.director.RecordVerdict(time.Now(), c, v)
	if v != director.Reachable {
		b.log.Warn("target checked", "target", c.Name, "verdict", v.String(), "zone", c.Target.AvailabilityZone,
			"target-address", c.Target.Address.String(), "flows-reset", len(flows))
	}
	return flows
}

// checkTarget tries to open a TCP connection to a target, up to checkAttempts times.
func checkTarget(ctx context.Context, t director.Target) director.Verdict {
	dialer := net.Dialer{Timeout: checkTimeout}
	for attempt := range checkAttempts {
		if attempt > 0 {
			time.Sleep(checkRetryDelay)
		}
		start := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", t.Address.String())
		if err == nil {
			conn.Close()
			return director.Reachable
		}
		if ctx.Err() != nil || time.Since(start) > checkTimeout+maxCheckOverrun {
			return director.Inconclusive
		}
	}
	return director.Unreachable
}

// reachesAnyPeer reports whether at least one of a few peers accepts a connection within
// controlDialTimeout. If none does, this balancer is cut off or its link is saturated,
// and a failed check proves nothing about the target.
func (b *Balancer) reachesAnyPeer(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: controlDialTimeout}
	for _, address := range b.controlPeerAddresses() {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// controlPeerAddresses returns the addresses of up to maxControlPeers peers, those of
// the balancer's own zone first.
func (b *Balancer) controlPeerAddresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sameZone, otherZones []string
	for _, p := range b.view.peers {
		switch {
		case p.Name == b.settings.Name:
		case p.AvailabilityZone == b.settings.AvailabilityZone:
			sameZone = append(sameZone, p.Address)
		default:
			otherZones = append(otherZones, p.Address)
		}
	}
	sameZone = append(sameZone, otherZones...)
	return sameZone[:min(len(sameZone), maxControlPeers)]
}

// sendResets sends a reset to the caller of each flow, so that it opens a new flow.
func (b *Balancer) sendResets(conn *net.UDPConn, c director.Check, flows []director.Packet) {
	for i := range flows {
		p := &flows[i]
		datagram := b.fabric.AppendReset(nil, p)
		if _, err := conn.WriteToUDPAddrPort(datagram, b.callerAddress(p)); err != nil {
			b.metrics.packetsUnsent.Inc()
			b.log.Warn("reset not sent", "caller", p.Source.String(), "target", c.Name, "cause", err.Error())
		}
	}
}
