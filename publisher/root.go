package publisher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const (
	// inlineBytes is the largest encoded document that a root holds itself.
	inlineBytes = 8 << 10
	// windowBytes bounds the patches that a root carries.
	windowBytes = 4 << 10
	// snapshotBytes is the size of the patches after which a snapshot is written
	// anew. It is less than windowBytes, so that the patches since the snapshot
	// are always in the window.
	snapshotBytes = windowBytes / 2
)

// Root is the accepted revision as it lies in the platform.
type Root struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	ChangeID string    `json:"change-id" cbor:"2,keyasint"`
	Author   string    `json:"author" cbor:"3,keyasint"`
	Time     time.Time `json:"time" cbor:"4,keyasint"`
	// Digest is that of the whole document.
	Digest string `json:"digest" cbor:"5,keyasint"`
	// Document is the encoded document, if it is small.
	Document jsontext.Value `json:"document,omitzero" cbor:"6,keyasint,omitempty"`
	// Snapshot names where a large document lies.
	Snapshot Snapshot `json:"snapshot,omitzero" cbor:"7,keyasint,omitzero"`
	// Patches lead to this revision, the earliest first and without a gap.
	Patches []Patch `json:"patches,omitempty" cbor:"8,keyasint,omitempty"`
}

// Snapshot names the chunks of a whole document in the platform.
type Snapshot struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// ID is the id of the change that wrote it.
	ID     string `json:"id" cbor:"2,keyasint"`
	Chunks int    `json:"chunks" cbor:"3,keyasint"`
	Digest string `json:"digest" cbor:"4,keyasint"`
}

// Patch turns the document of the revision before into that of Revision.
type Patch struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	ChangeID string `json:"change-id" cbor:"2,keyasint"`
	// Merge is a JSON Merge Patch (RFC 7396).
	Merge jsontext.Value `json:"merge" cbor:"3,keyasint"`
}

// DecodeRoot reads a root. Its error is a RecordError.
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

// Validate checks that the parts of a root fit together.
func (r Root) Validate() error {
	if r.Revision == 0 || r.ChangeID == "" {
		return errors.New("no revision or change id")
	}
	if len(r.Document) == 0 && r.Snapshot.Chunks == 0 && len(r.Patches) == 0 {
		return errors.New("no document")
	}
	for i, patch := range r.Patches {
		if want := r.Revision - uint64(len(r.Patches)-1-i); patch.Revision != want || want == 0 {
			return errors.Newf("a patch of revision %d in the place of %d", patch.Revision, want)
		}
	}
	return nil
}

// rootOf returns the root of a record without its document.
func rootOf(r Record) Root {
	return Root{Revision: r.Revision, ChangeID: r.ChangeID, Author: r.Author, Time: r.Time, Digest: r.Digest}
}

// encode returns the root as it lies in the platform.
func (r Root) encode() ([]byte, error) {
	data, err := json.Marshal(r, json.Deterministic(true))
	return data, errors.Wrap(err, "encoding the root")
}

// Since returns the root for a peer that holds revision: with only the patches
// after it, if they reach back that far.
func (r Root) Since(revision uint64) Root {
	r.Patches, _ = r.patchesAfter(revision)
	return r
}

// Extend returns the root of next with the patches of r before its own, as far
// as they follow each other and fit, so that a root that came without them can
// serve other peers.
func (r Root) Extend(next Root) Root {
	first := next.Revision - uint64(len(next.Patches))
	if r.Revision == first && len(next.Patches) > 0 {
		next.Patches = window(slices.Concat(r.Patches, next.Patches))
	}
	return next
}

// patchesAfter returns the patches that lead from revision to that of r, and
// whether they do without a gap.
func (r Root) patchesAfter(revision uint64) ([]Patch, bool) {
	count := r.Revision - revision
	if revision >= r.Revision || count > uint64(len(r.Patches)) {
		return r.Patches, false
	}
	return r.Patches[uint64(len(r.Patches))-count:], true
}

// window returns the latest patches that fit into windowBytes.
func window(patches []Patch) []Patch {
	size := 0
	for i := len(patches) - 1; i >= 0; i-- {
		size += len(patches[i].Merge)
		if size > windowBytes {
			return patches[i+1:]
		}
	}
	return patches
}

// sizeSince returns the size in bytes of the patches after revision.
func sizeSince(patches []Patch, revision uint64) int {
	size := 0
	for _, patch := range patches {
		if patch.Revision > revision {
			size += len(patch.Merge)
		}
	}
	return size
}
