package publisher

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

// Publisher writes documents to the platform as new accepted revisions, and reads
// earlier ones. It must not be used by several goroutines at once.
type Publisher struct {
	store  *consul.Store
	author string

	// Now returns the time that is written into a new record.
	Now func() time.Time
	// NewChangeID returns an id that no other change has.
	NewChangeID func() string
	// ResolveTimeout limits the time spent on determining whether a write took
	// effect that conflicted or whose response was lost.
	ResolveTimeout time.Duration
}

// New returns a publisher whose records name author. It gives up determining the
// outcome of a write after 10 seconds.
func New(store *consul.Store, author string) *Publisher {
	return &Publisher{
		store:          store,
		author:         author,
		Now:            time.Now,
		NewChangeID:    rand.Text,
		ResolveTimeout: 10 * time.Second,
	}
}

// Proposal is a change for Publish to make.
type Proposal struct {
	// Document is the whole new document.
	Document operator.Document
	// CheckBase makes Publish refuse the change unless BasedOn is the accepted
	// revision.
	CheckBase bool
	// BasedOn is the revision that the change was made from. It is used only with
	// CheckBase; 0 means that no document was accepted yet.
	BasedOn uint64
	// AllowLargeChange disables operator.CheckLargeChange, the guard against changes that
	// remove a large part of the document.
	AllowLargeChange bool
}

// Result holds the outcome of Publish.
type Result struct {
	// Record is the accepted record.
	Record Record
	// Changed reports whether Publish made a new revision. It is false if the
	// accepted document is already the proposed one.
	Changed bool
}

// acceptedState holds the accepted root as read from the platform.
type acceptedState struct {
	root Root
	// record is the record of root. readCurrentRoot leaves it empty.
	record Record
	// index is the platform's index of the root's key, for CompareAndSwap. It is 0
	// if no root was written yet.
	index uint64
	// value is the encoded root.
	value []byte
}

// Current returns the accepted record. It is the zero Record, with revision 0, if
// no document was accepted yet.
func (p *Publisher) Current(ctx context.Context) (Record, error) {
	current, err := p.readCurrent(ctx)
	if err != nil {
		return Record{}, err
	}
	return current.record, nil
}

// readCurrent reads the accepted root and its record.
func (p *Publisher) readCurrent(ctx context.Context) (acceptedState, error) {
	current, err := p.readCurrentRoot(ctx)
	if err != nil || current.index == 0 {
		return acceptedState{}, err
	}
	current.record, _, err = ReadRecord(ctx, p.store, current.root, Record{})
	return current, err
}

// readCurrentRoot reads the accepted root, but not its record.
func (p *Publisher) readCurrentRoot(ctx context.Context) (acceptedState, error) {
	entry, err := p.store.Get(ctx, DocumentKey)
	if err != nil {
		return acceptedState{}, errors.Wrap(err, "reading the accepted record")
	}
	if !entry.Found() {
		return acceptedState{}, nil
	}
	root, err := DecodeRoot(entry.Value())
	if err != nil {
		return acceptedState{}, err
	}
	return acceptedState{root: root, index: entry.Index(), value: entry.Value()}, nil
}

// Publish makes the proposed document the accepted revision. If the document is
// already accepted, it makes no revision and returns no error. Its errors are:
//
//   - a RaceError if another change was accepted first;
//   - an operator.LargeChangeError if the guard against large changes refused the change;
//   - a NotAcceptedError if the response to the write was lost and the write
//     provably did not take effect;
//   - an OutcomeUnknownError if the write may or may not have taken effect;
//   - an error of operator.Validate if the document is invalid;
//   - a RecordError if the accepted root can't be used;
//   - an error of package consul if the platform could not be read or did not run
//     the change.
func (p *Publisher) Publish(ctx context.Context, proposal Proposal) (Result, error) {
	current, err := p.readCurrent(ctx)
	if err != nil {
		return Result{}, err
	}
	next, err := p.newRecord(current.record, proposal.Document)
	if err != nil {
		return Result{}, err
	}
	if next.Digest == current.record.Digest {
		return Result{Record: current.record}, nil
	}
	if proposal.CheckBase && proposal.BasedOn != current.record.Revision {
		return Result{}, &RaceError{base: proposal.BasedOn, accepted: current.root}
	}
	if !proposal.AllowLargeChange {
		if err := operator.CheckLargeChange(current.record.Document, next.Document); err != nil {
			return Result{}, err
		}
	}
	if err := p.archive(ctx, current); err != nil {
		return Result{}, err
	}
	if err := p.writeRecord(ctx, current, next); err != nil {
		return Result{}, err
	}
	p.prune(ctx, next.Revision)
	return Result{Record: next, Changed: true}, nil
}

// Rollback publishes the document of an earlier revision as a new revision, with
// the other fields of proposal. Its errors are those of RecordAt and Publish.
func (p *Publisher) Rollback(ctx context.Context, revision uint64, proposal Proposal) (Result, error) {
	earlier, err := p.RecordAt(ctx, revision)
	if err != nil {
		return Result{}, err
	}
	proposal.Document = earlier.Document
	return p.Publish(ctx, proposal)
}

// newRecord returns the record that follows current and holds document. It returns
// an error if the document is invalid.
func (p *Publisher) newRecord(current Record, document operator.Document) (Record, error) {
	if err := operator.Validate(document); err != nil {
		return Record{}, err
	}
	digest, err := operator.Digest(document)
	if err != nil {
		return Record{}, err
	}
	return Record{
		Revision: current.Revision + 1,
		ChangeID: p.NewChangeID(),
		Author:   p.author,
		Time:     p.Now().UTC().Truncate(time.Second),
		Digest:   digest,
		Document: document,
	}, nil
}

// writeRecord replaces the accepted root current by the root of next. If the
// change is refused for good, it deletes the snapshot that it wrote for next.
func (p *Publisher) writeRecord(ctx context.Context, current acceptedState, next Record) error {
	root, err := p.prepareRoot(ctx, current, next)
	if err != nil {
		return err
	}
	value, err := root.encode()
	if err != nil {
		return err
	}
	err = p.store.CompareAndSwap(ctx, DocumentKey, current.index, value)
	var conflict *consul.ConflictError
	var unknown *consul.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict), errors.As(err, &unknown):
		err = p.resolveOutcome(ctx, current, next, err)
	case err != nil:
		err = errors.Wrap(err, "writing the record")
	}
	if isRefused(err) && root.Snapshot.ID == next.ChangeID {
		deleteSnapshot(ctx, p.store, root.Snapshot)
	}
	return err
}

// prepareRoot returns the root of next, which follows current. The root contains a
// document of at most maxInlineBytes. The root of a larger document keeps the
// snapshot of current if it contains all patches since that snapshot and their
// total size is at most maxPatchBytesSinceSnapshot; otherwise prepareRoot writes a
// new snapshot.
func (p *Publisher) prepareRoot(ctx context.Context, current acceptedState, next Record) (Root, error) {
	encoded, err := operator.Encode(next.Document)
	if err != nil {
		return Root{}, err
	}
	root := newRoot(next)
	if len(encoded) <= maxInlineBytes {
		root.Document = encoded
		return root, nil
	}
	root.Patches, err = extendPatches(current, next, encoded)
	if err != nil {
		return Root{}, err
	}
	root.Snapshot = current.root.Snapshot
	patchesReachSnapshot := uint64(len(root.Patches)) >= root.Revision-root.Snapshot.Revision
	if root.Snapshot.Chunks > 0 && patchesReachSnapshot && patchBytesAfter(root.Patches, root.Snapshot.Revision) <= maxPatchBytesSinceSnapshot {
		return root, nil
	}
	return p.addSnapshot(ctx, root, encoded)
}

// addSnapshot writes the encoded document of root as a snapshot and returns root
// with a reference to the snapshot.
func (p *Publisher) addSnapshot(ctx context.Context, root Root, encoded []byte) (Root, error) {
	chunks, err := writeSnapshot(ctx, p.store, root.ChangeID, encoded)
	if err != nil {
		return Root{}, err
	}
	root.Snapshot = Snapshot{Revision: root.Revision, ID: root.ChangeID, Chunks: chunks, Digest: root.Digest}
	return root, nil
}

// extendPatches returns the patches for the root of next: those of current and the
// patch from current to next, as far as they fit. encoded is the encoded document
// of next.
func extendPatches(current acceptedState, next Record, encoded []byte) ([]Patch, error) {
	if current.index == 0 {
		return nil, nil
	}
	before, err := operator.Encode(current.record.Document)
	if err != nil {
		return nil, err
	}
	merge, err := operator.Patch(before, encoded)
	if err != nil {
		return nil, err
	}
	patch := Patch{Revision: next.Revision, ChangeID: next.ChangeID, Merge: merge}
	return latestPatches(append(slices.Clone(current.root.Patches), patch)), nil
}
