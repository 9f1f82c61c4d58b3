package follower

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// storeWait is how long a read of the store waits for a change. It bounds how
	// old the knowledge of a reader is, and how long a silent connection goes
	// unnoticed; each wait is a call that the platform counts.
	storeWait = time.Second
	// peerWait is how long a peer waits for a change before it answers.
	peerWait = 500 * time.Millisecond
	// storePause follows an answer of the store, so that changes which come close
	// together cost one call.
	storePause = 250 * time.Millisecond
	// peerPause follows a peer's answer with changes, for the peer's link.
	peerPause = 150 * time.Millisecond
	// failurePause follows a failure, so that sources which refuse at once are not
	// asked in a tight loop.
	failurePause = 100 * time.Millisecond
	// firstPause follows a failure to get the first view from a reader that may be
	// starting, as many of its zone do then.
	firstPause = 20 * time.Millisecond
)

// Fetch asks a source for what it knows beyond a revision. It waits for a change
// up to wait.
type Fetch func(ctx context.Context, source Source, after uint64, wait time.Duration) (replicator.Update, error)

// Follower is the loop around Core. Its fields are set before Run is called.
type Follower struct {
	// Peers returns the balancers that the store lists. Without it, or if it fails,
	// none are known at the start.
	Peers func(ctx context.Context) ([]Peer, error)
	// Fetch asks a source.
	Fetch Fetch
	// Merge takes over an update and returns whether anything changed, and the
	// peers that are registered now.
	Merge func(update replicator.Update, source Source) (changed bool, peers []Peer)
	// Seeds returns the addresses to ask as long as no peers are known; they may be
	// out of date.
	Seeds func() []string
	// Revision returns the revision up to which the balancer knows everything.
	Revision func() uint64
	Log      *slog.Logger

	core     *Core
	lost     map[string]bool
	isolated atomic.Bool
}

// Isolated reports whether the own zone as a whole seems to be without the store. It
// may be called from any goroutine.
func (f *Follower) Isolated() bool { return f.isolated.Load() }

// New returns a Follower of one balancer.
func New(self Peer) *Follower {
	return &Follower{
		Peers: func(context.Context) ([]Peer, error) { return nil, nil },
		Seeds: func() []string { return nil },
		Log:   slog.New(slog.DiscardHandler),
		core:  NewCore(self),
		lost:  make(map[string]bool),
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.meet(ctx)
	for ctx.Err() == nil {
		f.core.SetSeeds(f.Seeds())
		source, wait := f.core.Next(time.Now())
		if wait == 0 {
			wait = f.step(ctx, source)
		}
		pause(ctx, wait)
	}
	return nil
}

// meet learns who the other balancers are.
func (f *Follower) meet(ctx context.Context) {
	peers, err := f.Peers(ctx)
	if err != nil {
		f.report(Source{}, err)
		f.core.Done(time.Now(), Source{}, 0, true)
	}
	f.core.Begin(time.Now(), peers)
}

// step asks a source once and returns how long to pause.
func (f *Follower) step(ctx context.Context, source Source) time.Duration {
	wait := peerWait
	if source.Store() {
		wait = storeWait
	}
	update, err := f.Fetch(ctx, source, f.Revision(), wait)
	if ctx.Err() != nil {
		return 0
	}
	now := time.Now()
	f.core.Done(now, source, update.Age, err != nil)
	f.reportIsolation(f.core.Isolated(now))
	f.report(source, err)
	if err != nil && f.core.Patient(time.Now()) {
		return firstPause
	}
	if err != nil {
		return failurePause
	}
	changed, peers := f.Merge(update, source)
	f.core.SetPeers(peers)
	switch {
	case changed && source.Store():
		return storePause
	case changed:
		return peerPause
	case update.Age > staleAge:
		return failurePause
	}
	return 0
}

// reportIsolation notes whether the zone is isolated, and logs a change.
func (f *Follower) reportIsolation(isolated bool) {
	switch before := f.isolated.Swap(isolated); {
	case isolated && !before:
		f.Log.Warn("availability zone isolated: nobody in it knows anything newer of the store")
	case before && !isolated:
		f.Log.Info("availability zone no longer isolated")
	}
}

// report logs a source that is lost or regained.
func (f *Follower) report(source Source, err error) {
	name := source.String()
	switch {
	case err != nil && !f.lost[name]:
		f.lost[name] = true
		f.Log.Warn("source of the view lost", "source", name, "cause", err.Error())
	case err == nil && f.lost[name]:
		delete(f.lost, name)
		f.Log.Info("source of the view regained", "source", name)
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
