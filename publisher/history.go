package publisher

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
)

// maxPrunedRevisions is the number of revisions older than the history that each
// change tries to delete. It is more than one, so that a later change deletes a
// revision whose deletion failed.
const maxPrunedRevisions = 3

// archive copies the accepted root into the history before a new one replaces it.
// The record of a revision never changes, so the key is written only once, and it
// doesn't matter by which publisher.
func (p *Publisher) archive(ctx context.Context, current acceptedState) error {
	if current.index == 0 {
		return nil
	}
	err := createImmutable(ctx, p.store, historyKey(current.root.Revision), current.value)
	return errors.Wrap(err, "archiving the accepted record")
}

// prune deletes archived roots, with their snapshots, that are too old for the
// history that precedes revision. If it fails, a later change deletes what is
// left.
func (p *Publisher) prune(ctx context.Context, revision uint64) {
	for depth := range uint64(maxPrunedRevisions) {
		if revision <= HistoryLength+depth+1 {
			return
		}
		key := historyKey(revision - HistoryLength - depth - 1)
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

// pruneSnapshot deletes the snapshot of an archived root if the root of the next
// revision, also in the history, has another one. Only consecutive revisions
// share a snapshot, so no later revision uses the deleted one either.
func (p *Publisher) pruneSnapshot(ctx context.Context, revision uint64, entry consul.Entry) {
	root, err := DecodeRoot(entry.Value())
	if err != nil || root.Snapshot.Chunks == 0 {
		return
	}
	next, err := p.readArchivedRoot(ctx, revision+1)
	if err == nil && next.Snapshot.ID != root.Snapshot.ID {
		deleteSnapshot(ctx, p.store, root.Snapshot)
	}
}

// History returns the accepted root and the archived roots before it, the latest
// first. It returns at most limit roots, but always the accepted one, and none if
// no document was accepted yet.
func (p *Publisher) History(ctx context.Context, limit int) ([]Root, error) {
	current, err := p.readCurrentRoot(ctx)
	if err != nil || current.index == 0 {
		return nil, err
	}
	roots := []Root{current.root}
	for revision := current.root.Revision - 1; revision > 0 && len(roots) < limit; revision-- {
		root, err := p.readArchivedRoot(ctx, revision)
		var missing *NoRevisionError
		if errors.As(err, &missing) {
			break
		}
		if err != nil {
			return nil, err
		}
		roots = append(roots, root)
	}
	return roots, nil
}

// RecordAt returns the record of a revision. Its error is a NoRevisionError if the
// revision is neither the accepted one nor in the history.
func (p *Publisher) RecordAt(ctx context.Context, revision uint64) (Record, error) {
	current, err := p.readCurrentRoot(ctx)
	if err != nil {
		return Record{}, err
	}
	root := current.root
	if revision == 0 || root.Revision != revision {
		root, err = p.readArchivedRoot(ctx, revision)
	}
	if err != nil {
		return Record{}, err
	}
	record, _, err := ReadRecord(ctx, p.store, root, Record{})
	return record, err
}

// readArchivedRoot reads the root of a revision from the history. Its error is a
// NoRevisionError if the history does not contain the revision.
func (p *Publisher) readArchivedRoot(ctx context.Context, revision uint64) (Root, error) {
	entry, err := p.store.Get(ctx, historyKey(revision))
	if err != nil {
		return Root{}, errors.Wrap(err, "reading the history")
	}
	if !entry.Found() {
		return Root{}, &NoRevisionError{revision: revision}
	}
	return DecodeRoot(entry.Value())
}
