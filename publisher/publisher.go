package publisher

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/platform"
)

// Publisher puts documents in force. It is for one goroutine.
type Publisher struct {
	store  *platform.Store
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
func New(store *platform.Store, author string) *Publisher {
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

// accepted is the record in the platform; index is 0 if there is none.
type accepted struct {
	record Record
	index  uint64
	value  []byte
}

// Current returns the accepted record; its revision is 0 if there is none.
func (p *Publisher) Current(ctx context.Context) (Record, error) {
	current, err := p.current(ctx)
	return current.record, err
}

func (p *Publisher) current(ctx context.Context) (accepted, error) {
	entry, err := p.store.Get(ctx, DocumentKey)
	if err != nil {
		return accepted{}, errors.Wrap(err, "reading the accepted record")
	}
	if !entry.Found() {
		return accepted{}, nil
	}
	record, err := Decode(entry.Value())
	if err != nil {
		return accepted{}, err
	}
	return accepted{record: record, index: entry.Index(), value: entry.Value()}, nil
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
		return Result{}, &RaceError{base: proposal.BasedOn, other: current.record}
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
	digest, err := digestOf(document)
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

func (p *Publisher) write(ctx context.Context, current accepted, next Record) error {
	value, err := Encode(next)
	if err != nil {
		return err
	}
	err = p.store.CompareAndSwap(ctx, DocumentKey, current.index, value)
	var conflict *platform.ConflictError
	var unknown *platform.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return p.settle(ctx, current, next, err)
	case err != nil:
		return errors.Wrap(err, "writing the record")
	}
	return nil
}
