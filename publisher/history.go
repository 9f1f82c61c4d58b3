package publisher

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/platform"
)

// pruneDepth is how many revisions beyond HistoryLength are looked at, so that
// one that was missed is removed by a later change.
const pruneDepth = 3

// archive copies the accepted record into the history before it is replaced. A
// record has one content, so that the key is written once and by anyone.
func (p *Publisher) archive(ctx context.Context, current accepted) error {
	if current.index == 0 {
		return nil
	}
	err := p.store.CompareAndSwap(ctx, historyKeyOf(current.record.Revision), 0, current.value)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	var unknown *platform.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// The write may be repeated, since it can only write the same.
		err = p.store.CompareAndSwap(ctx, historyKeyOf(current.record.Revision), 0, current.value)
		if errors.As(err, &conflict) {
			return nil
		}
	}
	return errors.Wrap(err, "archiving the accepted record")
}

// prune removes what is beyond the length of the history. A failure leaves an
// old revision behind, which a later change removes.
func (p *Publisher) prune(ctx context.Context, revision uint64) {
	for depth := range uint64(pruneDepth) {
		if revision <= HistoryLength+depth+1 {
			return
		}
		key := historyKeyOf(revision - HistoryLength - depth - 1)
		entry, err := p.store.Get(ctx, key)
		if err != nil || !entry.Found() {
			return
		}
		if err := p.store.Delete(ctx, key, entry.Index()); err != nil {
			return
		}
	}
}

// History returns the accepted record and those before it, the latest first, at
// most limit of them.
func (p *Publisher) History(ctx context.Context, limit int) ([]Record, error) {
	current, err := p.Current(ctx)
	if err != nil || current.Revision == 0 {
		return nil, err
	}
	records := []Record{current}
	for revision := current.Revision - 1; revision > 0 && len(records) < limit; revision-- {
		record, err := p.archived(ctx, revision)
		var none *NoRevisionError
		if errors.As(err, &none) {
			break
		}
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// Revision returns the record of one revision; its error is a NoRevisionError if
// the history does not hold it.
func (p *Publisher) Revision(ctx context.Context, revision uint64) (Record, error) {
	current, err := p.Current(ctx)
	if err != nil {
		return Record{}, err
	}
	if revision > 0 && current.Revision == revision {
		return current, nil
	}
	return p.archived(ctx, revision)
}

func (p *Publisher) archived(ctx context.Context, revision uint64) (Record, error) {
	entry, err := p.store.Get(ctx, historyKeyOf(revision))
	if err != nil {
		return Record{}, errors.Wrap(err, "reading the history")
	}
	if !entry.Found() {
		return Record{}, &NoRevisionError{revision: revision}
	}
	return Decode(entry.Value())
}
