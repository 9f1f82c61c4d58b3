package sprayer

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

// pollTimeout bounds one readiness request.
const pollTimeout = time.Second

// member is a balancer that is in; packets to one that is cut are lost.
type member struct {
	address netip.AddrPort
	cut     bool
}

func (f *Sprayer) poll(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(f.settings.Poll))
	defer ticker.Stop()
	for {
		f.pollAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Sprayer) pollAll(ctx context.Context) {
	var group errgroup.Group
	for _, b := range f.settings.Balancers {
		group.Go(func() error {
			ready := isReady(ctx, b.AdminAddress)
			if ctx.Err() == nil {
				f.setReady(b.Name, ready)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func isReady(ctx context.Context, admin netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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

func (f *Sprayer) setReady(name string, ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ready[name] == ready {
		return
	}
	f.ready[name] = ready
	f.refresh()
	slog.Info("balancer changed", "balancer", name, "ready", ready)
}

// setCut cuts or heals all balancers that match and returns how many did.
func (f *Sprayer) setCut(matches func(Balancer) bool, cut bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.settings.Balancers {
		if matches(b) {
			f.cut[b.Name] = cut
			n++
		}
	}
	f.refresh()
	return n
}

// refresh lists the balancers that get packets; f.mu is held.
func (f *Sprayer) refresh() {
	in := make([]member, 0, len(f.settings.Balancers))
	for _, b := range f.settings.Balancers {
		if f.ready[b.Name] {
			in = append(in, member{address: b.DataAddress, cut: f.cut[b.Name]})
		}
	}
	f.in = in
}
