// Package compressor packs what balancers keep or send each other.
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

// SizeError reports packed data that are larger than the reader takes.
type SizeError struct {
	max int
}

// Max returns the largest size in bytes that was asked for.
func (e *SizeError) Max() int { return e.max }

func (e *SizeError) Error() string {
	return fmt.Sprintf("packed data are larger than %d bytes", e.max)
}

// writers holds writers that are not in use: each has 800 KB of tables.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// Pack returns data in the gzip format. It may be called from several goroutines.
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

// Unpack returns the data that Pack packed, up to maxBytes of them. Larger data
// are a SizeError.
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
