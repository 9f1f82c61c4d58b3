package publisher

import (
	"context"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

// Recovery is what to do about an accepted root that does not follow from the
// record in force, as after a restore of the platform from a backup.
type Recovery int

// The recoveries.
const (
	// LeaveRoot means that the root is right.
	LeaveRoot Recovery = iota
	// PutBack means that the root is an earlier revision: the one in force is
	// written again.
	PutBack
	// Renumber means that the root is a change that was accepted after the platform
	// went back: it gets the revision after the one in force, so that it comes in
	// force everywhere and nobody goes back.
	Renumber
)

// Recover reads the accepted root, asks decide about it, and writes the recovery.
// An absent root has revision 0. It is no error if another balancer does the same
// first. root may carry patches that lead to held.
func (p *Publisher) Recover(ctx context.Context, held Record, root Root, decide func(Root) Recovery) (Recovery, error) {
	current, err := p.currentRoot(ctx)
	if err != nil {
		return LeaveRoot, err
	}
	recovery := decide(current.root)
	var next Root
	switch recovery {
	case LeaveRoot:
		return LeaveRoot, nil
	case PutBack:
		next, err = p.putBack(ctx, held, root)
	case Renumber:
		next, err = p.renumber(ctx, held, root, current.root)
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
		return LeaveRoot, nil
	}
	return recovery, errors.Wrap(err, "recovering the accepted record")
}

// putBack returns the root of held with a snapshot of its own, since the one that
// root names may be lost.
func (p *Publisher) putBack(ctx context.Context, held Record, root Root) (Root, error) {
	next := rootOf(held)
	if root.Revision == held.Revision {
		next.Patches = root.Patches
	}
	encoded, err := operator.Encode(held.Document)
	if err != nil {
		return Root{}, err
	}
	if len(encoded) <= inlineBytes {
		next.Document = encoded
		next.Patches = nil
		return next, nil
	}
	return p.withSnapshot(ctx, next, encoded)
}

// renumber returns the root of the change in other as the revision after held.
func (p *Publisher) renumber(ctx context.Context, held Record, root, other Root) (Root, error) {
	next, _, err := Read(ctx, p.store, other, Record{})
	if err != nil {
		return Root{}, err
	}
	next.Revision = held.Revision + 1
	if root.Revision != held.Revision {
		root = rootOf(held)
	}
	root.Snapshot = Snapshot{}
	// The index only says that there is a record to compute a patch from.
	return p.prepare(ctx, accepted{root: root, record: held, index: 1}, next)
}
