package publisher

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// resolveOutcome determines whether the write of next over current took effect. It
// returns nil if next was accepted. cause is the error of the write: a conflict, or
// a response that was lost. Until ResolveTimeout it retries, as long as the outcome
// is undecided.
func (p *Publisher) resolveOutcome(ctx context.Context, current acceptedState, next Record, cause error) error {
	attempt := func() (struct{}, error) {
		return struct{}{}, p.resolveOnce(ctx, current, next, cause)
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(p.ResolveTimeout))
	var permanent *backoff.PermanentError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &permanent):
		return permanent.Unwrap()
	case isFinalRefusal(err):
		return err
	}
	return &OutcomeUnknownError{revision: next.Revision, changeID: next.ChangeID, cause: err}
}

// isFinalRefusal reports whether err says that the change was not accepted and
// never will be.
func isFinalRefusal(err error) bool {
	var race *RaceError
	var notAccepted *NotAcceptedError
	return errors.As(err, &race) || errors.As(err, &notAccepted)
}

// isRefused reports whether err is an error and a final refusal, as isFinalRefusal
// determines it.
func isRefused(err error) bool { return err != nil && isFinalRefusal(err) }

// resolveOnce returns nil if next was accepted, a permanent error if it was not
// accepted and never will be, and any other error if the outcome is undecided.
func (p *Publisher) resolveOnce(ctx context.Context, current acceptedState, next Record, cause error) error {
	latest, err := p.readCurrentRoot(ctx)
	if err != nil {
		return err
	}
	switch {
	case latest.root.ChangeID == next.ChangeID:
		return nil
	case latest.root.Revision > next.Revision:
		return p.resolveFromHistory(ctx, latest, next)
	case latest.index != current.index:
		return backoff.Permanent(&RaceError{base: current.root.Revision, accepted: latest.root})
	case latest.index == 0:
		// There is no old root to write again, as is done below, so a delayed write
		// can't be fenced off.
		return errors.Wrap(cause, "no root has been accepted yet")
	}
	// The write may be delayed and still arrive. Writing the old root again
	// increases the index, so that the compare-and-swap of a delayed write fails.
	err = p.store.CompareAndSwap(ctx, DocumentKey, current.index, current.value)
	if err != nil {
		return err
	}
	return backoff.Permanent(&NotAcceptedError{changeID: next.ChangeID, cause: cause})
}

// resolveFromHistory determines whether next was accepted when the accepted
// revision is already later than next's. Each change archives the root that it
// replaces, so the history contains the root that was accepted with next's
// revision.
func (p *Publisher) resolveFromHistory(ctx context.Context, latest acceptedState, next Record) error {
	entry, err := p.store.Get(ctx, historyKey(next.Revision))
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
	return backoff.Permanent(&RaceError{base: next.Revision - 1, accepted: latest.root})
}
