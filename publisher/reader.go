package publisher

import (
	"context"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

// Source says how a root was turned into a record.
type Source int

// The sources of a record.
const (
	// FromRoot is a document that lay in the root itself.
	FromRoot Source = iota
	// FromPatches is the held document, changed by the root's patches.
	FromPatches
	// FromSnapshot is the snapshot, changed by the root's patches.
	FromSnapshot
)

// Read turns a root into a whole record. It needs no call to the platform if the
// root holds the document, or if its patches lead there from the record held
// (which may be the zero Record). A document that does not match its digest is
// never returned: its error is a RecordError.
func Read(ctx context.Context, store *consul.Store, root Root, held Record) (Record, Source, error) {
	if len(root.Document) > 0 {
		d, err := operator.Decode(root.Document)
		return complete(root, d, FromRoot, err)
	}
	if record, err := Advance(root, held); err == nil {
		return record, FromPatches, nil
	}
	if root.Snapshot.Chunks == 0 {
		return Record{}, FromSnapshot, &GapError{held: held.Revision, revision: root.Revision}
	}
	d, err := readSnapshot(ctx, store, root.Snapshot)
	if err != nil {
		return Record{}, FromSnapshot, err
	}
	patches, ok := root.patchesAfter(root.Snapshot.Revision)
	if ok {
		d, err = applyAll(d, patches)
	}
	return complete(root, d, FromSnapshot, err)
}

// Advance turns a root into a whole record by its patches alone. Its error is a
// GapError if they don't lead there from the record held, and otherwise a
// RecordError.
func Advance(root Root, held Record) (Record, error) {
	patches, ok := root.patchesAfter(held.Revision)
	if !ok || held.Revision == 0 || !root.follows(held) {
		return Record{}, &GapError{held: held.Revision, revision: root.Revision}
	}
	d, err := applyAll(held.Document, patches)
	record, _, err := complete(root, d, FromPatches, err)
	return record, err
}

// follows reports whether the root's patches name the change held, as far as
// they reach back to it.
func (r Root) follows(held Record) bool {
	for _, patch := range r.Patches {
		if patch.Revision == held.Revision {
			return patch.ChangeID == held.ChangeID
		}
	}
	return true
}

func applyAll(d operator.Document, patches []Patch) (operator.Document, error) {
	for _, patch := range patches {
		next, err := operator.Apply(d, patch.Merge)
		if err != nil {
			return operator.Document{}, err
		}
		d = next
	}
	return d, nil
}

// complete checks the document against the root's digest. A patched document is
// not validated again: the publisher validated the one with this digest.
func complete(root Root, d operator.Document, source Source, err error) (Record, Source, error) {
	if err == nil {
		err = checkDigest(d, root.Digest)
	}
	if err != nil {
		return Record{}, source, &RecordError{revision: root.Revision, cause: err}
	}
	return Record{
		Revision: root.Revision,
		ChangeID: root.ChangeID,
		Author:   root.Author,
		Time:     root.Time,
		Digest:   root.Digest,
		Document: d,
	}, source, nil
}
