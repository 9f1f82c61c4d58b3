package publisher

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// settle finds out whether next, written over current, was accepted. The cause
// is a conflict or a lost answer.
func (p *Publisher) settle(ctx context.Context, current accepted, next Record, cause error) error {
	step := func() (struct{}, error) {
		return struct{}{}, p.settleOnce(ctx, current, next, cause)
	}
	_, err := backoff.Retry(ctx, step, backoff.WithMaxElapsedTime(p.SettleTimeout))
	var permanent *backoff.PermanentError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &permanent):
		return permanent.Unwrap()
	case isVerdict(err):
		return err
	}
	return &OutcomeUnknownError{revision: next.Revision, changeID: next.ChangeID, cause: err}
}

// isVerdict reports whether err says what became of the change.
func isVerdict(err error) bool {
	var race *RaceError
	var not *NotAcceptedError
	return errors.As(err, &race) || errors.As(err, &not)
}

// isRefused reports whether err says that the change is not and will never be
// accepted.
func isRefused(err error) bool { return err != nil && isVerdict(err) }

// settleOnce returns nil if next was accepted, a permanent error if it was not
// and never will be, and any other error if that is still open.
func (p *Publisher) settleOnce(ctx context.Context, current accepted, next Record, cause error) error {
	now, err := p.currentRoot(ctx)
	if err != nil {
		return err
	}
	switch {
	case now.root.ChangeID == next.ChangeID:
		return nil
	case now.root.Revision > next.Revision:
		return p.settleByHistory(ctx, now, next)
	case now.index != current.index:
		return backoff.Permanent(&RaceError{base: current.root.Revision, other: now.root})
	case now.index == 0:
		// Nothing can be written over an absent record without making one.
		return errors.Wrap(cause, "the record is still absent")
	}
	// The write may still be on its way. Writing the old record once more moves
	// the index on, after which the late write must fail.
	err = p.store.CompareAndSwap(ctx, DocumentKey, current.index, current.value)
	if err != nil {
		return err
	}
	return backoff.Permanent(&NotAcceptedError{changeID: next.ChangeID, cause: cause})
}

// settleByHistory decides when later changes have been accepted meanwhile: each
// of them archived the record before it.
func (p *Publisher) settleByHistory(ctx context.Context, now accepted, next Record) error {
	entry, err := p.store.Get(ctx, historyKeyOf(next.Revision))
	if err != nil {
		return err
	}
	if !entry.Found() {
		return errors.Newf("revision %d is not in the history", next.Revision)
	}
	archived, err := DecodeRoot(entry.Value())
	if err != nil {
		return err
	}
	if archived.ChangeID == next.ChangeID {
		return nil
	}
	return backoff.Permanent(&RaceError{base: next.Revision - 1, other: now.root})
}
