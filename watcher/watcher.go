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

// After a failed query, the next one is made after about initialRetryDelay. The delay
// grows exponentially with consecutive failures, up to about maxRetryDelay.
const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
)

// Watcher watches the accepted record in the platform. Its methods may be called from
// several goroutines, except that only one Run may be active at a time. Its fields are set
// before Run or an Offer method is called.
type Watcher struct {
	store *consul.Store

	// OnRecord is called with each record that comes in force, in ascending order of
	// the revisions. Calls don't overlap. It must not call methods of the Watcher.
	OnRecord func(publisher.Record)
	// OnRoot is called after OnRecord with the root of the record, which can be
	// sent to peers. A record that Offer puts in force has no root.
	OnRoot func(publisher.Root)
	// Wait is how long the platform waits for a change before it answers a query.
	Wait time.Duration
	// Log gets a line for each revision that comes in force or is ignored, when the
	// platform starts or stops failing, and for each error.
	Log *slog.Logger

	mu   sync.Mutex
	core Core
	// record is the record in force, and root is the root of the latest record that
	// came in force with a root.
	record publisher.Record
	root   publisher.Root
	// platformRoot is the root that was last read from the platform. Only Run uses it.
	platformRoot publisher.Root
	// sourceCounts, invalid, recoveries and failures are the values of RecordsFrom,
	// InvalidRecords, Recoveries and Failures.
	sourceCounts map[publisher.Source]uint64
	invalid      uint64
	recoveries   uint64
	failures     uint64
}

// New returns a watcher of the platform's key-value store.
func New(store *consul.Store) *Watcher {
	return &Watcher{
		store:        store,
		OnRecord:     func(publisher.Record) {},
		OnRoot:       func(publisher.Root) {},
		Wait:         consul.DefaultWait,
		Log:          slog.New(slog.DiscardHandler),
		sourceCounts: map[publisher.Source]uint64{},
	}
}

// Run watches the platform until ctx is done, and retries after failures. It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	retry := newRetry()
	state := queryState{}
	for ctx.Err() == nil {
		if w.query(ctx, &state) {
			retry.Reset()
			continue
		}
		w.sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// queryState is the state that one query passes on to the next one.
type queryState struct {
	// after is the index of the store after which the next query waits for a change,
	// or 0 for a query that is answered at once.
	after uint64
	// failing is true if the last query failed.
	failing bool
}

// query queries the platform once and processes the answer. It returns false if the
// platform failed to answer this query or one that the answer made necessary.
func (w *Watcher) query(ctx context.Context, state *queryState) bool {
	entry, err := w.store.Watch(ctx, publisher.DocumentKey, state.after, w.Wait)
	if ctx.Err() != nil {
		return false
	}
	w.recordOutcome(&state.failing, err)
	if err != nil {
		// The next query must not wait for a change, because the record may have
		// changed during the failure.
		state.after = 0
		return false
	}
	if !w.processEntry(ctx, entry) || !w.recover(ctx) {
		state.after = 0
		return false
	}
	state.after = consul.NextIndex(state.after, entry.StoreIndex())
	return true
}

// Offer offers a record, for instance from a peer, to the core. It calls OnRecord if the
// record comes in force.
func (w *Watcher) Offer(r publisher.Record) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.core.Revision()
	verdict := w.core.Offer(r.Revision, r.ChangeID)
	switch verdict {
	case Taken:
		w.record = r
		w.Log.Info("revision in force", "revision", r.Revision, "change-id", r.ChangeID)
		w.OnRecord(r)
	case Forked:
		w.Log.Error("two changes have the same revision; the one in force stays", "revision", r.Revision, "change-id", r.ChangeID)
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

// InvalidRecords returns the number of records that were ignored as invalid.
func (w *Watcher) InvalidRecords() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.invalid
}

// Failures returns the number of queries for changes that the platform failed to answer.
func (w *Watcher) Failures() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures
}

// processEntry offers the root in an entry of the store. An invalid record is counted and
// ignored. It returns false if the record could not be read for another reason, for
// instance because the platform failed to return the snapshot.
func (w *Watcher) processEntry(ctx context.Context, entry consul.Entry) bool {
	if !entry.Found() {
		w.platformRoot = publisher.Root{}
		return true
	}
	root, err := publisher.DecodeRoot(entry.Value())
	if err == nil {
		w.platformRoot = root
		_, err = w.OfferRoot(ctx, root)
	}
	var invalid *publisher.RecordError
	switch {
	case err == nil:
		return true
	case errors.As(err, &invalid):
		w.countInvalid(err)
		return true
	}
	w.Log.Warn("reading the snapshot failed", "error", err)
	return false
}

// countInvalid counts and logs an invalid record.
func (w *Watcher) countInvalid(err error) {
	w.mu.Lock()
	w.invalid++
	w.mu.Unlock()
	w.Log.Error("invalid record ignored", "error", err)
}

// OfferRoot offers the record of a root. It reads the snapshot from the platform if the
// root contains neither the document nor the patches that lead from the revision in force
// to that of the root. Its errors are those of publisher.ReadRecord.
func (w *Watcher) OfferRoot(ctx context.Context, root publisher.Root) (Verdict, error) {
	inForce := w.Record()
	if root.Revision <= inForce.Revision {
		return w.Offer(publisher.Record{Revision: root.Revision, ChangeID: root.ChangeID}), nil
	}
	record, source, err := publisher.ReadRecord(ctx, w.store, root, inForce)
	if err != nil {
		return 0, err
	}
	w.countSource(source)
	return w.offerWithRoot(record, root), nil
}

// OfferPatches offers the record that results from the patches of a root, without a call
// to the platform. Its error is a publisher.GapError if the patches don't lead from the
// revision in force to that of the root, and otherwise a publisher.RecordError.
func (w *Watcher) OfferPatches(root publisher.Root) (Verdict, error) {
	inForce := w.Record()
	if root.Revision <= inForce.Revision {
		return w.Offer(publisher.Record{Revision: root.Revision, ChangeID: root.ChangeID}), nil
	}
	record, err := publisher.Advance(root, inForce)
	if err != nil {
		return 0, err
	}
	w.countSource(publisher.FromPatches)
	return w.offerWithRoot(record, root), nil
}

// offerWithRoot offers a record. If the record comes in force, its root is kept for Root
// and passed to OnRoot.
func (w *Watcher) offerWithRoot(record publisher.Record, root publisher.Root) Verdict {
	verdict := w.Offer(record)
	if verdict == Taken {
		w.mu.Lock()
		root = w.root.PrependPatchesTo(root)
		w.root = root
		w.mu.Unlock()
		w.OnRoot(root)
	}
	return verdict
}

// Root returns the root of the latest record that came in force with a root, to be sent to
// peers. Its revision is 0 if there is none.
func (w *Watcher) Root() publisher.Root {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.root
}

// countSource counts a record from source.
func (w *Watcher) countSource(source publisher.Source) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sourceCounts[source]++
}

// RecordsFrom returns the number of records that were assembled from source.
func (w *Watcher) RecordsFrom(source publisher.Source) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sourceCounts[source]
}

// recordOutcome counts a failed query, and logs when the platform starts or stops failing.
func (w *Watcher) recordOutcome(failing *bool, err error) {
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

// sleep waits for d or until ctx is done.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// newRetry returns the delays between queries after failures.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	retry.MaxInterval = maxRetryDelay
	return retry
}
