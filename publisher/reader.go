package publisher

import (
	"context"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

// Source is the origin of the document of a record that ReadRecord returned.
type Source int

// The sources of a document.
const (
	// FromRoot means that the root itself contained the document.
	FromRoot Source = iota
	// FromPatches means that the root's patches were applied to the document of the
	// held record.
	FromPatches
	// FromSnapshot means that the snapshot was read from the platform and the root's
	// later patches were applied to it.
	FromSnapshot
)

// ReadRecord returns the record of a root, with its whole document. held is the latest
// record that the caller has, or the zero Record. ReadRecord does not call the
// platform if the root contains the document or if the root's patches can be applied
// to held.
//
// A document that does not match the root's digest is never returned; the error
// is then a RecordError. The error is a GapError if the patches can't be applied
// to held and the root has no snapshot, and an error of package consul if the
// snapshot could not be read.
func ReadRecord(ctx context.Context, store *consul.Store, root Root, held Record) (Record, Source, error) {
	if len(root.Document) > 0 {
		d, err := operator.Decode(root.Document)
		return newVerifiedRecord(root, d, FromRoot, err)
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
		d, err = applyPatches(d, patches)
	}
	return newVerifiedRecord(root, d, FromSnapshot, err)
}

// Advance returns the record of a root by applying the root's patches to the
// record held. Its error is a GapError if the patches can't be applied to held, and
// otherwise a RecordError.
func Advance(root Root, held Record) (Record, error) {
	patches, ok := root.patchesAfter(held.Revision)
	if !ok || held.Revision == 0 || !root.descendsFrom(held) {
		return Record{}, &GapError{held: held.Revision, revision: root.Revision}
	}
	d, err := applyPatches(held.Document, patches)
	record, _, err := newVerifiedRecord(root, d, FromPatches, err)
	return record, err
}

// descendsFrom reports whether the root may descend from the record held. It
// returns false if the root has a patch for held's revision that belongs to
// another change. Without a patch for that revision it can't tell, and returns
// true.
func (r Root) descendsFrom(held Record) bool {
	for _, patch := range r.Patches {
		if patch.Revision == held.Revision {
			return patch.ChangeID == held.ChangeID
		}
	}
	return true
}

// applyPatches returns d with the patches applied in order.
func applyPatches(d operator.Document, patches []Patch) (operator.Document, error) {
	for _, patch := range patches {
		next, err := operator.Apply(d, patch.Merge)
		if err != nil {
			return operator.Document{}, err
		}
		d = next
	}
	return d, nil
}

// newVerifiedRecord returns the record of root with document d, after checking d
// against the root's digest. It does not validate the document, as the publisher
// validated the document that has this digest. err is the error of obtaining d, if
// any; it is returned in a RecordError.
func newVerifiedRecord(root Root, d operator.Document, source Source, err error) (Record, Source, error) {
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
