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
	leaseKey = "trefoilspring/role/"
	stateKey = "trefoilspring/role-state/"
	// DefaultTTL is how long a lease lasts without renewal.
	DefaultTTL = 15 * time.Second
	// marginShare and renewShare are the parts of the time to live that are left
	// as margin, and after which the lease is renewed.
	marginShare = 5
	renewShare  = 4
)

// state is what a role's holders write.
type state struct {
	Fence uint64 `json:"fence"`
	Value []byte `json:"value"`
}

// Elector campaigns for a role. Its methods may be called from several
// goroutines; its fields are set before Run is called.
type Elector struct {
	store *consul.Store
	role  string
	name  string

	// TTL is the lease's time to live; 0 stands for DefaultTTL.
	TTL time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Log gets one line for each change of state.
	Log *slog.Logger

	mu      sync.Mutex
	core    Core
	session string
	value   []byte
}

// New returns a candidate for role, which names itself name in the platform.
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

// Run campaigns until ctx is done, and then gives the role back.
func (e *Elector) Run(ctx context.Context) error {
	ticker := time.NewTicker(e.ttl() / renewShare)
	defer ticker.Stop()
	for {
		if err := e.Campaign(ctx); err != nil && ctx.Err() == nil {
			e.Log.Warn("campaign failed", "role", e.role, "error", err)
		}
		select {
		case <-ctx.Done():
			e.resign(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

// Holds reports whether the role is provably held and may be written.
func (e *Elector) Holds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Next(e.Now()) == Ready
}

// Campaign renews the lease, or tries to acquire the role, and takes the steps
// that lead to Ready.
func (e *Elector) Campaign(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.renew(ctx); err != nil {
		return err
	}
	for {
		var err error
		switch e.core.Next(e.Now()) {
		case Acquire:
			var held bool
			held, err = e.acquire(ctx)
			if err == nil && !held {
				return nil
			}
		case Observe:
			err = e.observe(ctx)
		case Claim:
			err = e.write(ctx, e.value)
		case Ready:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Write writes the role's state. Its errors are a NotHolderError if nothing was
// sent, a FencedError if it did not take effect, and those of the platform.
func (e *Elector) Write(ctx context.Context, value []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.Next(e.Now()) == Observe {
		if err := e.observe(ctx); err != nil {
			return err
		}
	}
	if e.core.Next(e.Now()) != Ready {
		return &NotHolderError{role: e.role}
	}
	return e.write(ctx, value)
}

// State returns the role's state as the holder last read or wrote it.
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

func (e *Elector) renew(ctx context.Context) error {
	sent := e.Now()
	if e.session == "" {
		session, err := e.store.CreateSession(ctx, e.name, e.ttl())
		if err != nil {
			return err
		}
		e.session = session
		e.core = NewCore(e.ttl(), e.ttl()/marginShare)
		e.core.Renewed(sent)
		return nil
	}
	err := e.store.RenewSession(ctx, e.session)
	var lapsed *consul.LapsedError
	if errors.As(err, &lapsed) {
		e.lose()
	}
	if err == nil {
		e.core.Renewed(sent)
	}
	return err
}

// lose forgets a session that has ended.
func (e *Elector) lose() {
	e.Log.Warn("lease lapsed", "role", e.role)
	e.core.Lost()
	e.session = ""
}

func (e *Elector) acquire(ctx context.Context) (bool, error) {
	err := e.store.Acquire(ctx, leaseKey+e.role, e.session, []byte(e.name))
	var conflict *consul.ConflictError
	var lapsed *consul.LapsedError
	switch {
	case errors.As(err, &conflict):
		return false, nil
	case errors.As(err, &lapsed):
		e.lose()
		return false, err
	case err != nil:
		return false, err
	}
	entry, err := e.store.Get(ctx, leaseKey+e.role)
	if err != nil || entry.Session() != e.session {
		return false, err
	}
	e.core.Acquired(entry.LockIndex())
	e.Log.Info("role acquired", "role", e.role, "fence", entry.LockIndex())
	return e.core.Holds(e.Now()), nil
}

func (e *Elector) observe(ctx context.Context) error {
	entry, err := e.store.Get(ctx, stateKey+e.role)
	if err != nil {
		return err
	}
	var s state
	if entry.Found() {
		if err := json.Unmarshal(entry.Value(), &s); err != nil {
			return errors.Wrapf(err, "reading the state of the role %q", e.role)
		}
	}
	e.core.Observed(s.Fence, entry.Index())
	e.value = s.Value
	return nil
}

// write writes the state with the own fence and reads it back, which settles a
// write whose answer was lost as well.
func (e *Elector) write(ctx context.Context, value []byte) error {
	w, ok := e.core.Write(e.Now())
	if !ok {
		return &NotHolderError{role: e.role}
	}
	data, err := json.Marshal(state{Fence: w.Fence(), Value: value})
	if err != nil {
		return errors.Wrap(err, "encoding the state")
	}
	writeErr := e.store.CompareAndSwap(ctx, stateKey+e.role, w.Index(), data)
	e.core.Sent()
	if err := e.observe(ctx); err != nil {
		return errors.CombineErrors(writeErr, err)
	}
	var unknown *consul.UnknownOutcomeError
	taken := e.core.Fence() == w.Fence() && e.core.index != w.Index() && bytes.Equal(e.value, value)
	if errors.As(writeErr, &unknown) && taken {
		return nil
	}
	var conflict *consul.ConflictError
	if errors.As(writeErr, &conflict) && e.core.Fence() != w.Fence() {
		return &FencedError{role: e.role, fence: w.Fence()}
	}
	return writeErr
}

// resign ends the session, so that another candidate need not wait.
func (e *Elector) resign(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session != "" {
		_ = e.store.DestroySession(ctx, e.session)
	}
	e.core.Lost()
	e.session = ""
}
