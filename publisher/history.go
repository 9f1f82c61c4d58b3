package publisher

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
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
	err := writeOnce(ctx, p.store, historyKeyOf(current.root.Revision), current.value)
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
		p.pruneSnapshot(ctx, revision-HistoryLength-depth-1, entry)
		if err := p.store.Delete(ctx, key, entry.Index()); err != nil {
			return
		}
	}
}

// pruneSnapshot removes the snapshot of an archived root, if the revision after
// it has another one: the roots that share a snapshot follow each other.
func (p *Publisher) pruneSnapshot(ctx context.Context, revision uint64, entry consul.Entry) {
	root, err := DecodeRoot(entry.Value())
	if err != nil || root.Snapshot.Chunks == 0 {
		return
	}
	after, err := p.archived(ctx, revision+1)
	if err == nil && after.Snapshot.ID != root.Snapshot.ID {
		deleteSnapshot(ctx, p.store, root.Snapshot)
	}
}

// History returns the accepted root and those before it, the latest first, at
// most limit of them.
func (p *Publisher) History(ctx context.Context, limit int) ([]Root, error) {
	current, err := p.currentRoot(ctx)
	if err != nil || current.index == 0 {
		return nil, err
	}
	roots := []Root{current.root}
	for revision := current.root.Revision - 1; revision > 0 && len(roots) < limit; revision-- {
		root, err := p.archived(ctx, revision)
		var none *NoRevisionError
		if errors.As(err, &none) {
			break
		}
		if err != nil {
			return nil, err
		}
		roots = append(roots, root)
	}
	return roots, nil
}

// Revision returns the record of one revision; its error is a NoRevisionError if
// the history does not hold it.
func (p *Publisher) Revision(ctx context.Context, revision uint64) (Record, error) {
	current, err := p.currentRoot(ctx)
	if err != nil {
		return Record{}, err
	}
	root := current.root
	if revision == 0 || root.Revision != revision {
		root, err = p.archived(ctx, revision)
	}
	if err != nil {
		return Record{}, err
	}
	record, _, err := Read(ctx, p.store, root, Record{})
	return record, err
}

func (p *Publisher) archived(ctx context.Context, revision uint64) (Root, error) {
	entry, err := p.store.Get(ctx, historyKeyOf(revision))
	if err != nil {
		return Root{}, errors.Wrap(err, "reading the history")
	}
	if !entry.Found() {
		return Root{}, &NoRevisionError{revision: revision}
	}
	return DecodeRoot(entry.Value())
}
