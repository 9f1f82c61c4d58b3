package elector

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"trefoilspring.example/trefoilspring/consul"
)

const (
	// leaseKeyPrefix and stateKeyPrefix are the prefixes of the keys that hold the lease
	// and the state of a role. The name of the role follows.
	leaseKeyPrefix = "trefoilspring/role/"
	stateKeyPrefix = "trefoilspring/role-state/"
	// DefaultTTL is the default time to live of a lease.
	DefaultTTL = 15 * time.Second
	// The safety margin of a lease is its time to live divided by marginDivisor. See
	// NewCore.
	marginDivisor = 5
	// The time between two renewals is the time to live divided by renewDivisor.
	renewDivisor = 4
)

// state is the stored form of a role's state.
type state struct {
	// Fence is the fencing token of the holder that wrote the state.
	Fence uint64 `json:"fence"`
	Value []byte `json:"value"`
}

// Elector campaigns for a role: it tries to acquire the role and then keeps its lease.
// Its methods are safe for use from several goroutines. Its exported fields must not
// change after the first call of a method.
type Elector struct {
	store *consul.Store
	role  string
	name  string

	// TTL is the time to live of the lease; 0 stands for DefaultTTL.
	TTL time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Log gets one line for each role that is acquired, lease that expires, and campaign
	// that fails.
	Log *slog.Logger

	mu   sync.Mutex
	core Core
	// session is the identifier of the store session; empty means none.
	session string
	// value is the role's state as last read from the store.
	value []byte
}

// New returns an Elector that campaigns for role. The name identifies the candidate in
// the store.
func New(store *consul.Store, role, name string) *Elector {
	return &Elector{
		store: store,
		role:  role,
		name:  name,
		TTL:   DefaultTTL,
		Now:   time.Now,
		Log:   slog.New(slog.DiscardHandler),
	}
}

// Run calls Campaign several times per time to live until ctx is done, and then
// releases the role. It logs the errors of Campaign and always returns nil.
func (e *Elector) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.ttl() / renewDivisor)
	defer ticker.Stop()
	for {
		if err := e.Campaign(ctx); err != nil && ctx.Err() == nil {
			e.Log.Warn("acquiring or renewing the role failed", "role", e.role, "error", err)
		}
		select {
		case <-ctx.Done():
			e.resign(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

// Holds reports whether this candidate provably holds the role and may write its state.
func (e *Elector) Holds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.NextStep(e.Now()) == Ready
}

// Campaign renews the lease and, unless this candidate holds the role, tries to acquire
// it and takes the further steps up to Ready. It returns nil without the role if the
// role can't be acquired yet, for instance because another candidate holds it.
func (e *Elector) Campaign(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.renewSession(ctx); err != nil {
		return err
	}
	for {
		var err error
		switch e.core.NextStep(e.Now()) {
		case AcquireRole:
			var held bool
			held, err = e.acquireRole(ctx)
			if err == nil && !held {
				return nil
			}
		case ReadState:
			err = e.readState(ctx)
		case ClaimState:
			err = e.writeState(ctx, e.value)
		case Ready:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Write writes the role's state. It returns a NotHolderError if this candidate does not
// provably hold the role and nothing was sent, a FencedError if the write did not take
// effect because another holder has taken over, and otherwise the errors of the store.
func (e *Elector) Write(ctx context.Context, value []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.NextStep(e.Now()) == ReadState {
		if err := e.readState(ctx); err != nil {
			return err
		}
	}
	if e.core.NextStep(e.Now()) != Ready {
		return &NotHolderError{role: e.role}
	}
	return e.writeState(ctx, value)
}

// State returns the role's state as this candidate last read it from the store, which
// also happens after each of its writes.
func (e *Elector) State() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value
}

func (e *Elector) ttl() time.Duration {
	if e.TTL == 0 {
		return DefaultTTL
	}
	return e.TTL
}

// renewSession renews the session that the lease is bound to, or creates one.
func (e *Elector) renewSession(ctx context.Context) error {
	sent := e.Now()
	if e.session == "" {
		session, err := e.store.CreateSession(ctx, e.name, e.ttl())
		if err != nil {
			return err
		}
		e.session = session
		e.core = NewCore(e.ttl(), e.ttl()/marginDivisor)
		e.core.LeaseRenewed(sent)
		return nil
	}
	err := e.store.RenewSession(ctx, e.session)
	var lapsed *consul.SessionLapsedError
	if errors.As(err, &lapsed) {
		e.loseSession()
	}
	if err == nil {
		e.core.LeaseRenewed(sent)
	}
	return err
}

// loseSession drops a session that has expired in the store, and the role with it.
func (e *Elector) loseSession() {
	e.Log.Warn("lease expired", "role", e.role)
	e.core.LeaseLost()
	e.session = ""
}

// acquireRole tries to acquire the lease, and reports whether this candidate now holds
// the role.
func (e *Elector) acquireRole(ctx context.Context) (bool, error) {
	err := e.store.Acquire(ctx, leaseKeyPrefix+e.role, e.session, []byte(e.name))
	var conflict *consul.ConflictError
	var lapsed *consul.SessionLapsedError
	switch {
	case errors.As(err, &conflict):
		return false, nil
	case errors.As(err, &lapsed):
		e.loseSession()
		return false, err
	case err != nil:
		return false, err
	}
	entry, err := e.store.Get(ctx, leaseKeyPrefix+e.role)
	if err != nil || entry.Session() != e.session {
		return false, err
	}
	e.core.RoleAcquired(entry.LockIndex())
	e.Log.Info("role acquired", "role", e.role, "fence", entry.LockIndex())
	return e.core.Holds(e.Now()), nil
}

// readState reads the role's state from the store.
func (e *Elector) readState(ctx context.Context) error {
	entry, err := e.store.Get(ctx, stateKeyPrefix+e.role)
	if err != nil {
		return err
	}
	var s state
	if entry.Found() {
		if err := json.Unmarshal(entry.Value(), &s); err != nil {
			return errors.Wrapf(err, "reading the state of the role %q", e.role)
		}
	}
	e.core.StateRead(s.Fence, entry.Index())
	e.value = s.Value
	return nil
}

// writeState writes the state with the candidate's own fencing token and reads it back.
// Reading it back also tells whether a write whose answer was lost took effect.
func (e *Elector) writeState(ctx context.Context, value []byte) error {
	w, ok := e.core.PrepareWrite(e.Now())
	if !ok {
		return &NotHolderError{role: e.role}
	}
	data, err := json.Marshal(state{Fence: w.Fence(), Value: value})
	if err != nil {
		return errors.Wrap(err, "encoding the state")
	}
	writeErr := e.store.CompareAndSwap(ctx, stateKeyPrefix+e.role, w.Index(), data)
	e.core.WriteSent()
	if err := e.readState(ctx); err != nil {
		return errors.CombineErrors(writeErr, err)
	}
	var unknown *consul.UnknownOutcomeError
	applied := e.core.Fence() == w.Fence() && e.core.stateIndex != w.Index() && bytes.Equal(e.value, value)
	if errors.As(writeErr, &unknown) && applied {
		return nil
	}
	var conflict *consul.ConflictError
	if errors.As(writeErr, &conflict) && e.core.Fence() != w.Fence() {
		return &FencedError{role: e.role, fence: w.Fence()}
	}
	return writeErr
}

// resign ends the session, so that another candidate can acquire the role before the
// lease expires.
func (e *Elector) resign(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != "" {
		_ = e.store.DestroySession(ctx, e.session)
	}
	e.core.LeaseLost()
	e.session = ""
}
