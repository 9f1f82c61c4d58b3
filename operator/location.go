package operator

import (
	"bytes"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// locate adds file and line to a DocumentError: those of the last file that sets
// its key, or the closest key above it.
func locate(files []File, err error) error {
	var fault *DocumentError
	if !errors.As(err, &fault) {
		return err
	}
	located := *fault
	for pointer := fault.key; ; pointer = parent(pointer) {
		for _, file := range slices.Backward(files) {
			if line := lineOf(file.Data, pointer); line > 0 {
				located.path = file.Path
				located.line = line
				return &located
			}
		}
		if pointer == "" {
			return err
		}
	}
}

func parent(pointer string) string {
	return pointer[:max(strings.LastIndexByte(pointer, '/'), 0)]
}

// lineOf returns the line at which data sets the pointer, or 0 if it doesn't.
func lineOf(data []byte, pointer string) int {
	d := jsontext.NewDecoder(bytes.NewReader(data))
	for {
		if _, err := d.ReadToken(); err != nil {
			return 0
		}
		if string(d.StackPointer()) == pointer {
			return 1 + bytes.Count(data[:d.InputOffset()], []byte("\n"))
		}
	}
}
