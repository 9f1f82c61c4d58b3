package balancer

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// readyAge is how old the view may be for the balancer to call itself ready. A
	// configuration must be in force 3 s after it was accepted at the strictest;
	// an older view may miss one. If no balancer of a zone is ready, the routers
	// use all of them, so an outage of the store turns nobody away.
	readyAge = 3 * time.Second
	// isolatedAge is the same where all balancers of the zone are without the store
	// and the zone has targets: those of other zones may not reach them. At the
	// strictest, a configuration may take 15 s while the store turns balancers away.
	isolatedAge = 12 * time.Second
	// turnAway is how long the routers take to stop sending: two missed checks at
	// 0.5 s each, and one more for the time between them.
	turnAway = 1500 * time.Millisecond
	// quiet is the time without packets after which nothing more is expected.
	quiet = 300 * time.Millisecond
	// stopAtMost ends a stop well before the platform kills the process after 6 s.
	stopAtMost = 4 * time.Second
	// stopPoll is how often a stop looks for packets.
	stopPoll = 50 * time.Millisecond
)

func (b *Balancer) serveReadiness(ctx context.Context) error {
	return serve(ctx, b.settings.ReadyAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := b.notReady(time.Now()); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}))
}

// notReady returns why the balancer should get no packets, or an empty string.
func (b *Balancer) notReady(now time.Time) string {
	if b.stopping.Load() {
		return "stopping"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := readyAge
	if b.follower.Isolated() && b.director.ServesZone() {
		oldest = isolatedAge
	}
	age, known := b.view.replica.Age(now)
	_, configured := b.director.Version()
	switch {
	case !known || !configured:
		return "no view yet"
	case age > oldest:
		return "view is out of date"
	}
	return ""
}

// stop says that the balancer is not ready, and forwards until the routers have
// turned away.
func (b *Balancer) stop(ctx context.Context) {
	start := time.Now()
	b.stopping.Store(true)
	b.log.Info("stopping")
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			idle := now.Sub(time.Unix(0, b.lastPacket.Load()))
			if now.Sub(start) > stopAtMost || now.Sub(start) > turnAway && idle > quiet {
				b.log.Info("stopped forwarding", "took-ms", now.Sub(start).Milliseconds(), "idle-ms", idle.Milliseconds())
				return
			}
		}
	}
}
