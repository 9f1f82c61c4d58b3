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
	// maxChunkBytes is the size of each chunk of a snapshot except the last, which
	// may be smaller. It is below consul.MaxValueBytes.
	maxChunkBytes = 512 << 10
	// maxChunks is the largest number of chunks of a snapshot that is read or
	// deleted.
	maxChunks = 64
	// maxDocumentBytes is the largest size of an encoded document or record after
	// decompression.
	maxDocumentBytes = 64 << 20
)

// chunkKey returns the key of chunk n, counted from 0, of the snapshot with the
// given id, which is the id of the change that wrote it.
func chunkKey(id string, n int) string {
	return fmt.Sprintf("%s%s/%d", snapshotPrefix, id, n)
}

// writeSnapshot compresses the encoded document and writes it in chunks under the
// id of its change. It returns the number of chunks. No other change writes to
// these keys, so a write may safely be repeated.
func writeSnapshot(ctx context.Context, store *consul.Store, id string, encoded []byte) (int, error) {
	compressed, err := compressor.Compress(encoded)
	if err != nil {
		return 0, err
	}
	chunks := 0
	for len(compressed) > 0 {
		size := min(len(compressed), maxChunkBytes)
		if err := createImmutable(ctx, store, chunkKey(id, chunks), compressed[:size]); err != nil {
			return 0, errors.Wrap(err, "writing the snapshot")
		}
		compressed = compressed[size:]
		chunks++
	}
	return chunks, nil
}

// createImmutable creates a key that is only ever written with this value. A key
// that already exists is therefore no error, and a write whose response was lost
// is repeated once.
func createImmutable(ctx context.Context, store *consul.Store, key string, value []byte) error {
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

// readSnapshot reads the document of a snapshot and checks its digest. The error
// of an invalid snapshot is a RecordError.
func readSnapshot(ctx context.Context, store *consul.Store, s Snapshot) (operator.Document, error) {
	if s.Chunks > maxChunks {
		return operator.Document{}, &RecordError{revision: s.Revision, cause: errors.Newf("snapshot has %d chunks, which is too many", s.Chunks)}
	}
	var compressed bytes.Buffer
	for n := range s.Chunks {
		entry, err := store.Get(ctx, chunkKey(s.ID, n))
		if err != nil {
			return operator.Document{}, errors.Wrap(err, "reading the snapshot")
		}
		if !entry.Found() {
			return operator.Document{}, &RecordError{revision: s.Revision, cause: errors.Newf("chunk %d of the snapshot is missing", n)}
		}
		compressed.Write(entry.Value())
	}
	d, err := decodeSnapshot(compressed.Bytes(), s.Digest)
	if err != nil {
		return operator.Document{}, &RecordError{revision: s.Revision, cause: err}
	}
	return d, nil
}

// deleteSnapshot deletes the chunks of a snapshot that no root refers to. A
// failure is ignored and not retried, so it leaves chunks behind.
func deleteSnapshot(ctx context.Context, store *consul.Store, s Snapshot) {
	for n := range min(s.Chunks, maxChunks) {
		entry, err := store.Get(ctx, chunkKey(s.ID, n))
		if err == nil && entry.Found() {
			_ = store.Delete(ctx, chunkKey(s.ID, n), entry.Index())
		}
	}
}

// decodeSnapshot decodes a compressed document and checks its digest.
func decodeSnapshot(compressed []byte, digest string) (operator.Document, error) {
	encoded, err := compressor.Decompress(compressed, maxDocumentBytes)
	if err != nil {
		return operator.Document{}, errors.Wrap(err, "decompressing the document")
	}
	d, err := operator.Decode(encoded)
	if err != nil {
		return operator.Document{}, err
	}
	return d, checkDigest(d, digest)
}

// checkDigest returns an error if the digest of d is not digest.
func checkDigest(d operator.Document, digest string) error {
	actual, err := operator.Digest(d)
	if err != nil {
		return err
	}
	if actual != digest {
		return errors.New("the document does not match its digest")
	}
	return nil
}

// CompressRecord returns the record with its whole document, encoded by Encode and then
// compressed. It is sent to a peer that the patches of the root can't bring up to date.
func CompressRecord(r Record) ([]byte, error) {
	encoded, err := Encode(r)
	if err != nil {
		return nil, err
	}
	return compressor.Compress(encoded)
}

// DecompressRecord decompresses and decodes a record encoded by CompressRecord, with the same
// checks and errors as Decode.
func DecompressRecord(compressed []byte) (Record, error) {
	encoded, err := compressor.Decompress(compressed, maxDocumentBytes)
	if err != nil {
		return Record{}, &RecordError{cause: err}
	}
	return Decode(encoded)
}
