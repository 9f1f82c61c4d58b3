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

// Publisher puts documents in force. It is for one goroutine.
type Publisher struct {
	store  *consul.Store
	author string

	// Now reads the time that a record states.
	Now func() time.Time
	// NewChangeID makes an id that no other change has.
	NewChangeID func() string
	// SettleTimeout bounds the time spent on finding out what became of a write
	// whose answer was lost.
	SettleTimeout time.Duration
}

// New returns a publisher that names author in its records.
func New(store *consul.Store, author string) *Publisher {
	return &Publisher{
		store:         store,
		author:        author,
		Now:           time.Now,
		NewChangeID:   rand.Text,
		SettleTimeout: 10 * time.Second,
	}
}

// Proposal is a change that is to be accepted.
type Proposal struct {
	Document operator.Document
	// CheckBase refuses the change unless BasedOn is the accepted revision.
	CheckBase bool
	BasedOn   uint64
	// AllowLargeChange switches the guard against large losses off.
	AllowLargeChange bool
}

// Result is the accepted record.
type Result struct {
	Record Record
	// Changed is false if the same document was accepted before.
	Changed bool
}

// accepted is the root in the platform with its record; index is 0 if there is
// none.
type accepted struct {
	root   Root
	record Record
	index  uint64
	value  []byte
}

// Current returns the accepted record; its revision is 0 if there is none.
func (p *Publisher) Current(ctx context.Context) (Record, error) {
	current, err := p.current(ctx)
	if err != nil {
		return Record{}, err
	}
	return current.record, nil
}

func (p *Publisher) current(ctx context.Context) (accepted, error) {
	current, err := p.currentRoot(ctx)
	if err != nil || current.index == 0 {
		return accepted{}, err
	}
	current.record, _, err = Read(ctx, p.store, current.root, Record{})
	return current, err
}

// currentRoot reads the root without its document.
func (p *Publisher) currentRoot(ctx context.Context) (accepted, error) {
	entry, err := p.store.Get(ctx, DocumentKey)
	if err != nil {
		return accepted{}, errors.Wrap(err, "reading the accepted record")
	}
	if !entry.Found() {
		return accepted{}, nil
	}
	root, err := DecodeRoot(entry.Value())
	if err != nil {
		return accepted{}, err
	}
	return accepted{root: root, index: entry.Index(), value: entry.Value()}, nil
}

// Publish makes the proposal the accepted record. A document that is already
// accepted is no change and no error. Its errors are a RaceError, an
// operator.LossError, a NotAcceptedError, an OutcomeUnknownError, and those of
// the platform for a change that was not run.
func (p *Publisher) Publish(ctx context.Context, proposal Proposal) (Result, error) {
	current, err := p.current(ctx)
	if err != nil {
		return Result{}, err
	}
	next, err := p.next(current.record, proposal.Document)
	if err != nil {
		return Result{}, err
	}
	if next.Digest == current.record.Digest {
		return Result{Record: current.record}, nil
	}
	if proposal.CheckBase && proposal.BasedOn != current.record.Revision {
		return Result{}, &RaceError{base: proposal.BasedOn, other: current.root}
	}
	if !proposal.AllowLargeChange {
		if err := operator.CheckLoss(current.record.Document, next.Document); err != nil {
			return Result{}, err
		}
	}
	if err := p.archive(ctx, current); err != nil {
		return Result{}, err
	}
	if err := p.write(ctx, current, next); err != nil {
		return Result{}, err
	}
	p.prune(ctx, next.Revision)
	return Result{Record: next, Changed: true}, nil
}

// Rollback makes a new revision with the document of an earlier one.
func (p *Publisher) Rollback(ctx context.Context, revision uint64, proposal Proposal) (Result, error) {
	earlier, err := p.Revision(ctx, revision)
	if err != nil {
		return Result{}, err
	}
	proposal.Document = earlier.Document
	return p.Publish(ctx, proposal)
}

func (p *Publisher) next(current Record, document operator.Document) (Record, error) {
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

// write makes next the accepted record.
func (p *Publisher) write(ctx context.Context, current accepted, next Record) error {
	root, err := p.prepare(ctx, current, next)
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
		err = p.settle(ctx, current, next, err)
	case err != nil:
		err = errors.Wrap(err, "writing the record")
	}
	if isRefused(err) && root.Snapshot.ID == next.ChangeID {
		deleteSnapshot(ctx, p.store, root.Snapshot)
	}
	return err
}

// prepare returns the root of next, after writing its snapshot if it needs one.
func (p *Publisher) prepare(ctx context.Context, current accepted, next Record) (Root, error) {
	encoded, err := operator.Encode(next.Document)
	if err != nil {
		return Root{}, err
	}
	root := rootOf(next)
	if len(encoded) <= inlineBytes {
		root.Document = encoded
		return root, nil
	}
	root.Patches, err = nextPatches(current, next, encoded)
	if err != nil {
		return Root{}, err
	}
	root.Snapshot = current.root.Snapshot
	covered := uint64(len(root.Patches)) >= root.Revision-root.Snapshot.Revision
	if root.Snapshot.Chunks > 0 && covered && sizeSince(root.Patches, root.Snapshot.Revision) <= snapshotBytes {
		return root, nil
	}
	return p.withSnapshot(ctx, root, encoded)
}

// withSnapshot writes the snapshot of root and returns the root that names it.
func (p *Publisher) withSnapshot(ctx context.Context, root Root, encoded []byte) (Root, error) {
	chunks, err := writeSnapshot(ctx, p.store, root.ChangeID, encoded)
	if err != nil {
		return Root{}, err
	}
	root.Snapshot = Snapshot{Revision: root.Revision, ID: root.ChangeID, Chunks: chunks, Digest: root.Digest}
	return root, nil
}

// nextPatches returns the patches of the root that follows current.
func nextPatches(current accepted, next Record, encoded []byte) ([]Patch, error) {
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
	return window(append(slices.Clone(current.root.Patches), patch)), nil
}
