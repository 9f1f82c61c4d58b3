package compressor_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/compressor"
)

func TestUnpackReturnsPackedData(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("route "), 1000)
	packed, err := compressor.Pack(data)
	is.NoErr(err)
	is.True(len(packed) < len(data)/10)
	again, err := compressor.Unpack(packed, len(data))
	is.NoErr(err)
	is.Equal(again, data)
}

func TestUnpackLimitsSize(t *testing.T) {
	is := is.New(t)
	packed, err := compressor.Pack(make([]byte, 1<<20))
	is.NoErr(err)
	_, err = compressor.Unpack(packed, 1000)
	var size *compressor.SizeError
	is.True(errors.As(err, &size))
	is.Equal(size.Max(), 1000)
}

func TestUnpackRejectsInvalidData(t *testing.T) {
	is := is.New(t)
	_, err := compressor.Unpack([]byte("not packed"), 100)
	is.True(err != nil)
}
