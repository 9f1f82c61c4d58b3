package publisher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const (
	// maxInlineBytes is the largest size of an encoded document that a root contains
	// itself.
	maxInlineBytes = 8 << 10
	// maxPatchBytes is the largest total size of the patches in a root.
	maxPatchBytes = 4 << 10
	// maxPatchBytesSinceSnapshot is the largest total size of the patches since the
	// snapshot. A change that would exceed it writes a new snapshot. It is less than
	// maxPatchBytes, so that the root always contains all patches since its
	// snapshot.
	maxPatchBytesSinceSnapshot = maxPatchBytes / 2
)

// Root describes a revision as it is stored in the platform. The document is
// either in Document or in the chunks of Snapshot.
type Root struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	ChangeID string    `json:"change-id" cbor:"2,keyasint"`
	Author   string    `json:"author" cbor:"3,keyasint"`
	Time     time.Time `json:"time" cbor:"4,keyasint"`
	// Digest is the operator.Digest of the whole document.
	Digest string `json:"digest" cbor:"5,keyasint"`
	// Document is the encoded document, or empty if it is larger than
	// maxInlineBytes.
	Document jsontext.Value `json:"document,omitzero" cbor:"6,keyasint,omitempty"`
	// Snapshot is the snapshot of a large document, at this revision or an earlier
	// one from which Patches lead to this revision.
	Snapshot Snapshot `json:"snapshot,omitzero" cbor:"7,keyasint,omitzero"`
	// Patches are the patches of consecutive revisions up to this one, the earliest
	// first.
	Patches []Patch `json:"patches,omitempty" cbor:"8,keyasint,omitempty"`
}

// Snapshot identifies the chunks of a whole document in the platform.
type Snapshot struct {
	// Revision is the revision of the document.
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// ID is the id of the change that wrote the snapshot.
	ID string `json:"id" cbor:"2,keyasint"`
	// Chunks is the number of chunks; 0 means that there is no snapshot.
	Chunks int `json:"chunks" cbor:"3,keyasint"`
	// Digest is the operator.Digest of the document.
	Digest string `json:"digest" cbor:"4,keyasint"`
}

// Patch turns the document of revision Revision-1 into the document of Revision.
type Patch struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// ChangeID is the id of the change that made Revision.
	ChangeID string `json:"change-id" cbor:"2,keyasint"`
	// Merge is a JSON Merge Patch (RFC 7396).
	Merge jsontext.Value `json:"merge" cbor:"3,keyasint"`
}

// DecodeRoot decodes and validates a root. Its error is a RecordError.
func DecodeRoot(data []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(data, &r); err != nil {
		return Root{}, &RecordError{cause: err}
	}
	if err := r.Validate(); err != nil {
		return Root{}, &RecordError{revision: r.Revision, cause: err}
	}
	return r, nil
}

// Validate checks that the root has a revision, a change id and some form of the
// document, and that its patches are of consecutive revisions up to its own.
func (r Root) Validate() error {
	if r.Revision == 0 || r.ChangeID == "" {
		return errors.New("it has no revision or no change id")
	}
	if len(r.Document) == 0 && r.Snapshot.Chunks == 0 && len(r.Patches) == 0 {
		return errors.New("it has no document, snapshot or patches")
	}
	for i, patch := range r.Patches {
		if want := r.Revision - uint64(len(r.Patches)-1-i); patch.Revision != want || want == 0 {
			return errors.Newf("a patch has revision %d, want revision %d", patch.Revision, want)
		}
	}
	return nil
}

// newRoot returns the root of a record, without document, snapshot and patches.
func newRoot(r Record) Root {
	return Root{Revision: r.Revision, ChangeID: r.ChangeID, Author: r.Author, Time: r.Time, Digest: r.Digest}
}

// encode returns the root as JSON, as it is stored in the platform.
func (r Root) encode() ([]byte, error) {
	data, err := json.Marshal(r, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the root")
}

// WithPatchesAfter returns the root for a peer that has the given revision. If the
// patches reach back to that revision, it includes only the later ones; otherwise it
// includes all patches.
func (r Root) WithPatchesAfter(revision uint64) Root {
	r.Patches, _ = r.patchesAfter(revision)
	return r
}

// PrependPatchesTo returns next with the patches of r before its own, as many as fit.
// It adds none unless the patches of next start at the revision of r. A root that was
// received with few patches can thereby be passed on to peers at older revisions.
func (r Root) PrependPatchesTo(next Root) Root {
	first := next.Revision - uint64(len(next.Patches))
	if r.Revision == first && len(next.Patches) > 0 {
		next.Patches = latestPatches(slices.Concat(r.Patches, next.Patches))
	}
	return next
}

// patchesAfter returns the patches that turn the document of revision into that of
// r, and true. If r has not all of them, or revision is not earlier than r's, it
// returns all patches of r and false.
func (r Root) patchesAfter(revision uint64) ([]Patch, bool) {
	count := r.Revision - revision
	if revision >= r.Revision || count > uint64(len(r.Patches)) {
		return r.Patches, false
	}
	return r.Patches[uint64(len(r.Patches))-count:], true
}

// latestPatches returns the latest patches whose total size is at most
// maxPatchBytes.
func latestPatches(patches []Patch) []Patch {
	size := 0
	for i := len(patches) - 1; i >= 0; i-- {
		size += len(patches[i].Merge)
		if size > maxPatchBytes {
			return patches[i+1:]
		}
	}
	return patches
}

// patchBytesAfter returns the total size in bytes of the patches with a later
// revision than revision.
func patchBytesAfter(patches []Patch, revision uint64) int {
	size := 0
	for _, patch := range patches {
		if patch.Revision > revision {
			size += len(patch.Merge)
		}
	}
	return size
}
