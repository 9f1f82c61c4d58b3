package balancer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// registrationTTL is how long the registration of a balancer that died stays.
	// Peers notice its death by themselves, so this only bounds how long it counts
	// as a holder of cold targets' rates.
	registrationTTL = 20 * time.Second
	// renewInterval leaves time for two more tries within the lease.
	renewInterval = 6 * time.Second
	// registerRetry is how long to wait after a call that failed.
	registerRetry = 2 * time.Second
)

// registrar keeps the balancer registered in the store, so that others find it.
type registrar struct {
	balancer *Balancer
	lease    uint64
}

func newRegistrar(b *Balancer) *registrar { return &registrar{balancer: b} }

// run keeps the balancer registered until ctx ends. The registration then ends with
// its lease.
func (r *registrar) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			wait = registerRetry
			r.balancer.log.Warn("registration failed", "cause", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// step renews the lease, or registers anew if it has ended or the key is gone.
func (r *registrar) step(ctx context.Context) error {
	b := r.balancer
	if r.lease != 0 {
		kept, err := b.directory.Renew(ctx, r.lease)
		if err != nil {
			return err
		}
		if kept && b.registered() {
			return nil
		}
		b.log.Info("registration has ended", "lease", r.lease)
	}
	return r.register(ctx)
}

func (r *registrar) register(ctx context.Context) error {
	b := r.balancer
	lease, err := b.directory.Lease(ctx, registrationTTL)
	if err != nil {
		return err
	}
	r.lease = lease
	self := b.self()
	value, err := json.Marshal(registration{
		AvailabilityZone: self.AvailabilityZone,
		Address:          self.Address,
		Strength:         self.Strength,
	})
	if err != nil {
		return errors.Wrap(err, "encoding the registration")
	}
	return b.directory.Put(ctx, balancerPrefix+b.settings.Name, value, lease)
}

// registered reports whether the view holds the balancer's own registration.
func (b *Balancer) registered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.view.peers[b.settings.Name]
	return ok
}
