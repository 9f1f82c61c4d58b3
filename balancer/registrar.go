package balancer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/director"
)

const (
	// registrationTTL is how long the registration of a balancer outlives the balancer.
	// Peers detect a failed balancer without it, so the TTL only limits how long the
	// balancer counts as one of those that share the rates of cold targets.
	registrationTTL = 20 * time.Second
	// leaseRenewInterval leaves time for two more attempts before the lease ends.
	leaseRenewInterval = 6 * time.Second
	// registrationRetryDelay is the delay after a failed call to the store.
	registrationRetryDelay = 2 * time.Second
)

// registrar keeps the balancer registered in the store, where peers discover it.
type registrar struct {
	balancer *Balancer
	lease    uint64
	// inherited is true until a lease of an earlier run was renewed or found to have ended.
	// The view may not have arrived by then.
	inherited bool
}

func newRegistrar(b *Balancer) *registrar { return &registrar{balancer: b} }

// run keeps the balancer registered until ctx ends. After that, the store removes the
// registration when the lease expires.
//
// Load pattern: hundreds of balancers start again after a loss of power, while all targets
// register again too. A balancer whose registration is still in the store renews its lease,
// which is a read, instead of making two writes.
func (r *registrar) run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case r.lease = <-r.balancer.earlierLease:
	}
	r.inherited = r.lease != 0
	for ctx.Err() == nil {
		wait := leaseRenewInterval
		if err := r.renewOrRegister(ctx); err != nil && ctx.Err() == nil {
			wait = registrationRetryDelay
			r.balancer.log.Warn("registration failed", "cause", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-r.balancer.registrationLost:
			// The others may have lost theirs at the same moment.
			sleep(ctx, rand.N(director.ReregistrationSpread))
		case <-time.After(wait):
		}
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// renewOrRegister renews the lease. If the lease has ended or the view lacks the
// registration with this lease, it registers the balancer with a new lease. A store that came
// back from an older copy may have given the number of the lease to another balancer.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	b := r.balancer
	if r.lease != 0 {
		kept, err := b.directory.Renew(ctx, r.lease)
		if err != nil {
			return err
		}
		inherited := r.inherited
		r.inherited = false
		if kept && (inherited || b.isRegistered(r.lease)) {
			return nil
		}
		b.log.Info("registration lost; registering again", "lease", r.lease)
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
		Lease:            lease,
	})
	if err != nil {
		return errors.Wrap(err, "encoding the registration")
	}
	return b.directory.Put(ctx, balancerKeyPrefix+b.settings.Name, value, lease)
}

// isRegistered reports whether the store has the balancer's own registration with a lease, as
// far as the view knows.
func (b *Balancer) isRegistered(lease uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	item, found := b.view.replica.Find(balancerKeyPrefix + b.settings.Name)
	if !found {
		return false
	}
	_, r, valid := b.decodePeer(b.settings.Name, item)
	return valid && r.Lease == lease
}
