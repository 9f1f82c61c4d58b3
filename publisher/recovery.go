package publisher

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

// Recovery is the action for an accepted root that does not follow from the active
// record. Such a root appears, for example, after the platform was restored from a
// backup.
type Recovery int

// The actions for an accepted root.
const (
	// KeepRoot means that the root is correct and stays as it is.
	KeepRoot Recovery = iota
	// RestoreRoot means that the root is an earlier revision, and that the root of the
	// active record is written again.
	RestoreRoot
	// RenumberRoot means that the root is a new change that was accepted after the
	// platform had lost revisions. The change is written again with the revision
	// after the active one, so that every balancer activates it and none returns to
	// an earlier revision.
	RenumberRoot
)

// Recover reads the accepted root, calls decide with it, and writes the root that
// the returned Recovery requires. It calls decide with the zero Root if there is
// no accepted root. held is the active record. root is the latest root that the
// caller received; its patches are kept if it has held's revision. Recover returns
// the action that it took. If another balancer changes the accepted root first, it
// returns KeepRoot and no error.
func (p *Publisher) Recover(ctx context.Context, held Record, root Root, decide func(Root) Recovery) (Recovery, error) {
	current, err := p.readCurrentRoot(ctx)
	if err != nil {
		return KeepRoot, err
	}
	recovery := decide(current.root)
	var next Root
	switch recovery {
	case KeepRoot:
		return KeepRoot, nil
	case RestoreRoot:
		next, err = p.rootWithSnapshot(ctx, held, root)
	case RenumberRoot:
		next, err = p.renumberRoot(ctx, held, root, current.root)
	}
	if err != nil {
		return recovery, err
	}
	value, err := next.encode()
	if err != nil {
		return recovery, err
	}
	err = p.store.CompareAndSwap(ctx, DocumentKey, current.index, value)
	var conflict *consul.ConflictError
	if errors.As(err, &conflict) {
		return KeepRoot, nil
	}
	return recovery, errors.Wrap(err, "recovering the accepted record")
}

// rootWithSnapshot returns the root of held. It contains a small document. For a
// larger one it writes a new snapshot, since the platform may have lost the
// snapshot of root.
func (p *Publisher) rootWithSnapshot(ctx context.Context, held Record, root Root) (Root, error) {
	next := newRoot(held)
	if root.Revision == held.Revision {
		next.Patches = root.Patches
	}
	encoded, err := operator.Encode(held.Document)
	if err != nil {
		return Root{}, err
	}
	if len(encoded) <= maxInlineBytes {
		next.Document = encoded
		next.Patches = nil
		return next, nil
	}
	return p.addSnapshot(ctx, next, encoded)
}

// renumberRoot returns the root of the change in accepted, with the revision after
// held's and a patch from held. The root of a large document gets a new snapshot.
func (p *Publisher) renumberRoot(ctx context.Context, held Record, root, accepted Root) (Root, error) {
	next, _, err := ReadRecord(ctx, p.store, accepted, Record{})
	if err != nil {
		return Root{}, err
	}
	next.Revision = held.Revision + 1
	if root.Revision != held.Revision {
		root = newRoot(held)
	}
	root.Snapshot = Snapshot{}
	// A non-zero index tells prepareRoot that there is a record from which to
	// compute a patch. It is not used for a write.
	return p.prepareRoot(ctx, acceptedState{root: root, record: held, index: 1}, next)
}
