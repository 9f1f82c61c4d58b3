package compressor_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/compressor"
)

func TestDecompressReturnsCompressedData(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("route "), 1000)
	compressed, err := compressor.Compress(data)
	is.NoErr(err)
	is.True(len(compressed) < len(data)/10)
	again, err := compressor.Decompress(compressed, len(data))
	is.NoErr(err)
	is.Equal(again, data)
}

func TestDecompressLimitsSize(t *testing.T) {
	is := is.New(t)
	compressed, err := compressor.Compress(make([]byte, 1<<20))
	is.NoErr(err)
	_, err = compressor.Decompress(compressed, 1000)
	var size *compressor.SizeError
	is.True(errors.As(err, &size))
	is.Equal(size.Max(), 1000)
}

func TestDecompressRejectsInvalidData(t *testing.T) {
	is := is.New(t)
	_, err := compressor.Decompress([]byte("not compressed"), 100)
	is.True(err != nil)
}
