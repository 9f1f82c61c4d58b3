package router

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

// readinessTimeout limits one readiness request.
const readinessTimeout = time.Second

// nextHop is a ready balancer. The fabric also chooses balancers that are cut, and
// drops the packets for them.
type nextHop struct {
	address netip.AddrPort
	cut     bool
}

// pollReadiness polls all balancers at each interval until ctx ends.
func (f *Router) pollReadiness(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(f.settings.PollInterval))
	defer ticker.Stop()
	for {
		f.pollBalancers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollBalancers asks all balancers concurrently whether they are ready, and stores
// the results unless ctx has ended.
func (f *Router) pollBalancers(ctx context.Context) {
	var group errgroup.Group
	for _, b := range f.settings.Balancers {
		group.Go(func() error {
			ready := fetchReady(ctx, b.AdminAddress)
			if ctx.Err() == nil {
				f.setReady(b.Name, ready)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// fetchReady reports whether the balancer with this admin address answers
// GET /ready with 200 within the timeout.
func fetchReady(ctx context.Context, admin netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// setReady stores whether the balancer with this name is ready.
func (f *Router) setReady(name string, ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready[name] == ready {
		return
	}
	f.ready[name] = ready
	f.updateNextHops()
	slog.Info("balancer readiness changed", "balancer", name, "ready", ready)
}

// setCut cuts all balancers that match, or heals them if cut is false, and returns
// how many matched.
func (f *Router) setCut(matches func(Balancer) bool, cut bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.settings.Balancers {
		if matches(b) {
			f.cut[b.Name] = cut
			n++
		}
	}
	f.updateNextHops()
	return n
}

// updateNextHops rebuilds the list of ready balancers; f.mu is held.
func (f *Router) updateNextHops() {
	nextHops := make([]nextHop, 0, len(f.settings.Balancers))
	for _, b := range f.settings.Balancers {
		if f.ready[b.Name] {
			nextHops = append(nextHops, nextHop{address: b.DataAddress, cut: f.cut[b.Name]})
		}
	}
	f.nextHops = nextHops
}
