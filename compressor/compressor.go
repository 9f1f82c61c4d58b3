// Package compressor compresses data that balancers store or send to each other.
//
// # Usage
//
//	compressed, err := compressor.Compress(data)
//	data, err := compressor.Decompress(compressed, maxBytes)
package compressor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// SizeError reports compressed data whose decompressed size exceeds the limit.
type SizeError struct {
	max int
}

// Max returns the limit in bytes.
func (e *SizeError) Max() int { return e.max }

func (e *SizeError) Error() string {
	return fmt.Sprintf("decompressed data exceed %d bytes", e.max)
}

// writers is a pool, since each gzip writer holds 800 KB of tables.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Compress compresses data in the gzip format. It is safe for concurrent use.
func Compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&compressed)
	_, err := w.Write(data)
	if err == nil {
		err = w.Close()
	}
	return compressed.Bytes(), errors.Wrap(err, "packing")
}

// Decompress decompresses data in the gzip format. It returns a *SizeError if the result
// is larger than maxBytes.
func Decompress(compressed []byte, maxBytes int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking")
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking")
	}
	if len(data) > maxBytes {
		return nil, &SizeError{max: maxBytes}
	}
	return data, nil
}
