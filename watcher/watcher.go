package watcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/publisher"
)

const (
	firstRetry = 100 * time.Millisecond
	maxRetry   = 3 * time.Second
)

// Watcher watches the accepted record. Its methods may be called from several
// goroutines; its fields are set before Run or Tell is called.
type Watcher struct {
	store *consul.Store

	// OnDocument is called with each record that comes in force, one at a time
	// and with growing revisions.
	OnDocument func(publisher.Record)
	// OnRoot is called after OnDocument with the root of the record, for telling
	// peers.
	OnRoot func(publisher.Root)
	// Wait is how long one query waits for a change.
	Wait time.Duration
	// Log gets one line for each change of state.
	Log *slog.Logger

	mu     sync.Mutex
	core   Core
	record publisher.Record
	root   publisher.Root
	// platform is the root that was last read there; it is for the loop alone.
	platform  publisher.Root
	sources   map[publisher.Source]uint64
	invalid   uint64
	recovered uint64
	failures  uint64
}

// New returns a watcher of the store.
func New(store *consul.Store) *Watcher {
	return &Watcher{
		store:      store,
		OnDocument: func(publisher.Record) {},
		OnRoot:     func(publisher.Root) {},
		Wait:       consul.DefaultWait,
		Log:        slog.New(slog.DiscardHandler),
		sources:    map[publisher.Source]uint64{},
	}
}

// Run watches the platform until ctx is done, through its outages.
func (w *Watcher) Run(ctx context.Context) error {
	retry := newRetry()
	state := poll{}
	for ctx.Err() == nil {
		if w.query(ctx, &state) {
			retry.Reset()
			continue
		}
		w.pause(ctx, retry.NextBackOff())
	}
	return nil
}

// poll is what one query leaves for the next.
type poll struct {
	after   uint64
	failing bool
}

// query waits for a change once, and reports whether the platform answered.
func (w *Watcher) query(ctx context.Context, state *poll) bool {
	entry, err := w.store.Watch(ctx, publisher.DocumentKey, state.after, w.Wait)
	if ctx.Err() != nil {
		return false
	}
	w.logTurn(&state.failing, err)
	if err != nil {
		// After a failure the record is read at once, as it may have changed.
		state.after = 0
		return false
	}
	if !w.read(ctx, entry) || !w.recover(ctx) {
		state.after = 0
		return false
	}
	state.after = consul.NextIndex(state.after, entry.StoreIndex())
	return true
}

// Tell offers a record that a peer has told.
func (w *Watcher) Tell(r publisher.Record) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.core.Revision()
	verdict := w.core.Offer(r.Revision, r.ChangeID)
	switch verdict {
	case Taken:
		w.record = r
		w.Log.Info("revision in force", "revision", r.Revision, "change-id", r.ChangeID)
		w.OnDocument(r)
	case Forked:
		w.Log.Error("two changes have one revision", "revision", r.Revision, "change-id", r.ChangeID)
	case Older:
		w.Log.Warn("earlier revision ignored", "revision", r.Revision, "in-force", before)
	case Same:
	}
	return verdict
}

// Record returns the record in force; its revision is 0 if there is none.
func (w *Watcher) Record() publisher.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record
}

// Counts returns the number of offers for each verdict.
func (w *Watcher) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Counts()
}

// Invalid returns how many records were refused as invalid.
func (w *Watcher) Invalid() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.invalid
}

// Failures returns how many queries the platform failed to answer.
func (w *Watcher) Failures() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

// read takes up a root, and reports whether the platform answered all it took.
func (w *Watcher) read(ctx context.Context, entry consul.Entry) bool {
	if !entry.Found() {
		w.platform = publisher.Root{}
		return true
	}
	root, err := publisher.DecodeRoot(entry.Value())
	if err == nil {
		w.platform = root
		_, err = w.TellRoot(ctx, root)
	}
	var invalid *publisher.RecordError
	switch {
	case err == nil:
		return true
	case errors.As(err, &invalid):
		w.refuse(err)
		return true
	}
	w.Log.Warn("snapshot not read", "error", err)
	return false
}

// refuse counts an invalid record.
func (w *Watcher) refuse(err error) {
	w.mu.Lock()
	w.invalid++
	w.mu.Unlock()
	w.Log.Error("invalid record ignored", "error", err)
}

// TellRoot offers a root, and reads its snapshot from the platform if its patches
// don't lead to it from the revision in force. Its errors are those of
// publisher.Read.
func (w *Watcher) TellRoot(ctx context.Context, root publisher.Root) (Verdict, error) {
	held := w.Record()
	if root.Revision <= held.Revision {
		return w.Tell(publisher.Record{Revision: root.Revision, ChangeID: root.ChangeID}), nil
	}
	record, source, err := publisher.Read(ctx, w.store, root, held)
	if err != nil {
		return 0, err
	}
	w.count(source)
	return w.take(record, root), nil
}

// TellPatches offers a root of a peer by its patches alone. Its error is a
// publisher.GapError if they don't lead to it from the revision in force.
func (w *Watcher) TellPatches(root publisher.Root) (Verdict, error) {
	held := w.Record()
	if root.Revision <= held.Revision {
		return w.Tell(publisher.Record{Revision: root.Revision, ChangeID: root.ChangeID}), nil
	}
	record, err := publisher.Advance(root, held)
	if err != nil {
		return 0, err
	}
	w.count(publisher.FromPatches)
	return w.take(record, root), nil
}

// take offers a record with its root, which is kept for peers.
func (w *Watcher) take(record publisher.Record, root publisher.Root) Verdict {
	verdict := w.Tell(record)
	if verdict == Taken {
		w.mu.Lock()
		root = w.root.Extend(root)
		w.root = root
		w.mu.Unlock()
		w.OnRoot(root)
	}
	return verdict
}

// Root returns the latest root that was taken, for telling peers; its revision is
// 0 if there is none.
func (w *Watcher) Root() publisher.Root {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.root
}

func (w *Watcher) count(source publisher.Source) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sources[source]++
}

// Sources returns how many records came from a source.
func (w *Watcher) Sources(source publisher.Source) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sources[source]
}

// logTurn counts a failure, and logs when the platform fails or comes back.
func (w *Watcher) logTurn(failing *bool, err error) {
	if err != nil {
		w.mu.Lock()
		w.failures++
		w.mu.Unlock()
	}
	switch {
	case err != nil && !*failing:
		w.Log.Warn("platform fails", "error", err)
	case err == nil && *failing:
		w.Log.Info("platform answers again")
	}
	*failing = err != nil
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = maxRetry
	return retry
}
