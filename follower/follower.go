package follower

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// storeWait is how long the store waits at most for a change before it answers a query.
	// It bounds the age of a reader's data, and the time that a silent connection
	// goes unnoticed. A shorter wait would make more calls to the platform, which
	// counts them.
	storeWait = time.Second
	// peerWait is how long a peer waits at most for a change before it answers a query.
	peerWait = 500 * time.Millisecond
	// storePause is the pause after an answer of the store that contains changes, so
	// that several changes within it cost one call.
	storePause = 250 * time.Millisecond
	// peerPause is the pause after an answer of a peer that contains changes. It
	// limits the load on the peer's link.
	peerPause = 150 * time.Millisecond
	// failurePause is the pause after a failed query or a stale answer, so that
	// sources which refuse immediately are not queried in a tight loop.
	failurePause = 100 * time.Millisecond
	// firstViewRetryPause is the pause after a reader failed to give the first view. It
	// is short because the reader may be about to finish its own start: many balancers
	// of a zone start together.
	firstViewRetryPause = 20 * time.Millisecond
)

// Fetch queries source for the changes that follow the revision after. If there are none,
// the source waits for one for up to wait before it answers.
type Fetch func(ctx context.Context, source Source, after uint64, wait time.Duration) (replicator.Update, error)

// Follower queries the sources that a Core chooses, and merges their updates. Its fields
// are set before Run is called.
type Follower struct {
	// ListPeers returns the balancers that the store lists. By default, or if it fails,
	// the balancer starts without peers.
	ListPeers func(ctx context.Context) ([]Peer, error)
	// Fetch queries a source. It must be set.
	Fetch Fetch
	// Merge merges an update into the balancer's copy of the store. It returns whether
	// the copy changed, and the balancers that are registered now. It must be set.
	Merge func(update replicator.Update, source Source) (changed bool, peers []Peer)
	// Seeds returns the addresses of balancers to query while no peers are known and
	// the store fails. They may be out of date.
	Seeds func() []string
	// Revision returns the revision up to which the balancer's copy of the store is
	// complete. It must be set.
	Revision func() uint64
	// Log gets a line when a source starts or stops failing, and when the zone becomes
	// isolated or ceases to be.
	Log *slog.Logger

	core *Core
	// lostSources holds the names of the sources whose last query failed.
	lostSources map[string]bool
	isolated    atomic.Bool
}

// ZoneIsolated reports whether the own zone as a whole seems to be cut off from the store,
// see Core.ZoneIsolated. It may be called from any goroutine.
func (f *Follower) ZoneIsolated() bool { return f.isolated.Load() }

// New returns the Follower of the balancer self. Fetch, Merge and Revision must be set
// before Run is called.
func New(self Peer) *Follower {
	return &Follower{
		ListPeers:   func(context.Context) ([]Peer, error) { return nil, nil },
		Seeds:       func() []string { return nil },
		Log:         slog.New(slog.DiscardHandler),
		core:        NewCore(self),
		lostSources: make(map[string]bool),
	}
}

// Run queries sources and merges their updates until ctx is done. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.listPeers(ctx)
	for ctx.Err() == nil {
		f.core.SetSeeds(f.Seeds())
		source, wait := f.core.Next(time.Now())
		if wait == 0 {
			wait = f.queryOnce(ctx, source)
		}
		sleep(ctx, wait)
	}
	return nil
}

// listPeers lists the registered balancers and starts the core with them.
func (f *Follower) listPeers(ctx context.Context) {
	peers, err := f.ListPeers(ctx)
	if err != nil {
		f.logSourceChange(Source{}, err)
		f.core.RecordResult(time.Now(), Source{}, 0, true)
	}
	f.core.Start(time.Now(), peers)
}

// queryOnce queries source once, merges its update, and returns how long to pause.
func (f *Follower) queryOnce(ctx context.Context, source Source) time.Duration {
	update, err := f.Fetch(ctx, source, f.Revision(), f.core.Wait(time.Now(), source))
	if ctx.Err() != nil {
		return 0
	}
	now := time.Now()
	f.core.RecordResult(now, source, update.Age, err != nil)
	f.setIsolated(f.core.ZoneIsolated(now))
	f.logSourceChange(source, err)
	if err != nil && f.core.AwaitsFirstView(time.Now()) {
		return firstViewRetryPause
	}
	if err != nil {
		return failurePause
	}
	changed, peers := f.Merge(update, source)
	f.core.SetPeers(peers)
	switch {
	case changed && source.IsStore():
		return storePause
	case changed:
		return peerPause
	case update.Age > staleAge:
		return failurePause
	}
	return 0
}

// setIsolated stores whether the zone is isolated, and logs a change.
func (f *Follower) setIsolated(isolated bool) {
	switch before := f.isolated.Swap(isolated); {
	case isolated && !before:
		f.Log.Warn("availability zone isolated: its balancers get no recent data of the store")
	case before && !isolated:
		f.Log.Info("availability zone no longer isolated")
	}
}

// logSourceChange logs the first failure of a source and its first answer after that.
func (f *Follower) logSourceChange(source Source, err error) {
	name := source.String()
	switch {
	case err != nil && !f.lostSources[name]:
		f.lostSources[name] = true
		f.Log.Warn("source of the view lost", "source", name, "cause", err.Error())
	case err == nil && f.lostSources[name]:
		delete(f.lostSources, name)
		f.Log.Info("source of the view regained", "source", name)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
