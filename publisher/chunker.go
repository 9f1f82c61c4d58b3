package publisher

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/compressor"
	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
)

const (
	// chunkBytes is the size of a chunk of a snapshot.
	chunkBytes = 512 << 10
	// maxChunks bounds a snapshot.
	maxChunks = 64
	// maxDocumentBytes bounds an encoded document.
	maxDocumentBytes = 64 << 20
)

func chunkKey(id string, n int) string {
	return fmt.Sprintf("%s%s/%d", snapshotKey, id, n)
}

// writeSnapshot writes the document in chunks under the id of its change. No
// other change writes there, so that a write may be repeated.
func writeSnapshot(ctx context.Context, store *consul.Store, id string, encoded []byte) (int, error) {
	packed, err := compressor.Pack(encoded)
	if err != nil {
		return 0, err
	}
	chunks := 0
	for len(packed) > 0 {
		size := min(len(packed), chunkBytes)
		if err := writeOnce(ctx, store, chunkKey(id, chunks), packed[:size]); err != nil {
			return 0, errors.Wrap(err, "writing the snapshot")
		}
		packed = packed[size:]
		chunks++
	}
	return chunks, nil
}

// writeOnce writes a key that never has another value.
func writeOnce(ctx context.Context, store *consul.Store, key string, value []byte) error {
	err := store.CompareAndSwap(ctx, key, 0, value)
	var unknown *consul.UnknownOutcomeError
	if errors.As(err, &unknown) {
		err = store.CompareAndSwap(ctx, key, 0, value)
	}
	var conflict *consul.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// readSnapshot reads a document and checks its digest.
func readSnapshot(ctx context.Context, store *consul.Store, s Snapshot) (operator.Document, error) {
	if s.Chunks > maxChunks {
		return operator.Document{}, &RecordError{revision: s.Revision, cause: errors.Newf("%d chunks", s.Chunks)}
	}
	var packed bytes.Buffer
	for n := range s.Chunks {
		entry, err := store.Get(ctx, chunkKey(s.ID, n))
		if err != nil {
			return operator.Document{}, errors.Wrap(err, "reading the snapshot")
		}
		if !entry.Found() {
			return operator.Document{}, &RecordError{revision: s.Revision, cause: errors.Newf("chunk %d is missing", n)}
		}
		packed.Write(entry.Value())
	}
	d, err := unpack(packed.Bytes(), s.Digest)
	if err != nil {
		return operator.Document{}, &RecordError{revision: s.Revision, cause: err}
	}
	return d, nil
}

// deleteSnapshot removes a snapshot that nothing refers to; it is retried by
// nobody, so that a failure leaves its chunks behind.
func deleteSnapshot(ctx context.Context, store *consul.Store, s Snapshot) {
	for n := range min(s.Chunks, maxChunks) {
		entry, err := store.Get(ctx, chunkKey(s.ID, n))
		if err == nil && entry.Found() {
			_ = store.Delete(ctx, chunkKey(s.ID, n), entry.Index())
		}
	}
}

func unpack(packed []byte, digest string) (operator.Document, error) {
	encoded, err := compressor.Unpack(packed, maxDocumentBytes)
	if err != nil {
		return operator.Document{}, errors.Wrap(err, "reading the document")
	}
	d, err := operator.Decode(encoded)
	if err != nil {
		return operator.Document{}, err
	}
	return d, checkDigest(d, digest)
}

func checkDigest(d operator.Document, digest string) error {
	found, err := operator.Digest(d)
	if err != nil {
		return err
	}
	if found != digest {
		return errors.New("the digest differs")
	}
	return nil
}

// Pack returns the whole record, compressed, for a peer that no patches lead to
// it.
func Pack(r Record) ([]byte, error) {
	encoded, err := Encode(r)
	if err != nil {
		return nil, err
	}
	return compressor.Pack(encoded)
}

// Unpack reads what Pack made, with the checks of Decode.
func Unpack(packed []byte) (Record, error) {
	encoded, err := compressor.Unpack(packed, maxDocumentBytes)
	if err != nil {
		return Record{}, &RecordError{cause: err}
	}
	return Decode(encoded)
}
