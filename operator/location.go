package operator

import (
	"bytes"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// addLocation adds file and line to a DocumentError: those of the last file that
// sets its key. If no file does, it takes the closest parent key that a file sets.
// It returns other errors unchanged.
func addLocation(files []File, err error) error {
	var invalid *DocumentError
	if !errors.As(err, &invalid) {
		return err
	}
	located := *invalid
	for pointer := invalid.key; ; pointer = parentPointer(pointer) {
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

// parentPointer returns the JSON pointer without its last part.
func parentPointer(pointer string) string {
	return pointer[:max(strings.LastIndexByte(pointer, '/'), 0)]
}

// lineOf returns the line, counted from 1, at which data sets the key that pointer
// names, or 0 if data doesn't set it.
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
