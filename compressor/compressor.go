// Package compressor compresses data that balancers store or send to each other.
//
// # Usage
//
//	packed, err := compressor.Pack(data)
//	data, err := compressor.Unpack(packed, maxBytes)
package compressor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// SizeError reports packed data whose unpacked size exceeds the limit.
type SizeError struct {
	max int
}

// Max returns the limit in bytes.
func (e *SizeError) Max() int { return e.max }

func (e *SizeError) Error() string {
	return fmt.Sprintf("unpacked data exceed %d bytes", e.max)
}

// writers is a pool, since each gzip writer holds 800 KB of tables.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack compresses data in the gzip format. It is safe for concurrent use.
func Pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&packed)
	_, err := w.Write(data)
	if err == nil {
		err = w.Close()
	}
	return packed.Bytes(), errors.Wrap(err, "packing")
}

// Unpack decompresses data in the gzip format. It returns a *SizeError if the result
// is larger than maxBytes.
func Unpack(packed []byte, maxBytes int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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
