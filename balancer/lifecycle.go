package balancer

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// maxReadyViewAge is the maximum age of the view of a balancer that is ready. The
	// strictest requirement is that a configuration is in force 3 s after it was accepted,
	// and an older view may miss one. If no balancer of a zone is ready, the routers send to
	// all of them, so an outage of the store doesn't stop the traffic.
	maxReadyViewAge = 3 * time.Second
	// maxIsolatedViewAge replaces maxReadyViewAge if all balancers of the zone are without
	// the store and the zone has targets: balancers of other zones may be unable to reach
	// these targets. While the store refuses requests of balancers, the strictest
	// requirement is that a configuration is in force 15 s after it was accepted.
	maxIsolatedViewAge = 12 * time.Second
	// maxRemoteViewAge replaces maxReadyViewAge if the zone has no targets, for example
	// because operators have taken it out. Its callers then depend on other zones, which the
	// zone's balancers may be cut off from like from the store, and balancers of other zones
	// serve them at least as well. The view of a balancer with working sources is younger.
	maxRemoteViewAge = minOutageAge
	// routerReactionTime is the time until the routers stop sending to a balancer that is
	// not ready: two failed checks that take 0.5 s each, and 0.5 s between them.
	routerReactionTime = 1500 * time.Millisecond
	// minIdleTime is the time without packets after which a stopping balancer expects no
	// more of them.
	minIdleTime = 300 * time.Millisecond
	// maxStopDuration limits a stop. The platform kills the process after 6 s.
	maxStopDuration = 4 * time.Second
	// stopPollInterval is the interval at which a stopping balancer checks whether packets
	// still arrive.
	stopPollInterval = 50 * time.Millisecond
)

// serveReadiness answers the readiness checks of the routers until ctx ends: status 200
// if the balancer is ready, else status 503 and the reason.
func (b *Balancer) serveReadiness(ctx context.Context) error {
	return serveHTTP(ctx, b.settings.ReadyAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := b.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}))
}

// notReadyReason returns the reason why the balancer should receive no packets, or an
// empty string if it is ready.
func (b *Balancer) notReadyReason() string {
	if b.stopping.Load() {
		return "stopping"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	maxAge := maxReadyViewAge
	switch {
	case !b.director.HasLocalTargets():
		maxAge = maxRemoteViewAge
	case b.follower.ZoneIsolated():
		maxAge = maxIsolatedViewAge
	}
	age, known := b.view.replica.Age(b.ViewClock())
	_, configured := b.director.Version()
	switch {
	case !known || !configured:
		return "no view yet"
	case age > maxAge:
		return "view is out of date"
	}
	return ""
}

// stop makes the readiness check fail, and returns when the routers have stopped sending
// or after maxStopDuration. Packets are forwarded meanwhile.
func (b *Balancer) stop(ctx context.Context) {
	start := time.Now()
	b.stopping.Store(true)
	b.log.Info("stopping")
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			idle := now.Sub(time.Unix(0, b.lastPacket.Load()))
			if now.Sub(start) > maxStopDuration || now.Sub(start) > routerReactionTime && idle > minIdleTime {
				b.log.Info("stopped forwarding", "took-ms", now.Sub(start).Milliseconds(), "idle-ms", idle.Milliseconds())
				return
			}
		}
	}
}
