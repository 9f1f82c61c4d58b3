// Package loader reads strict JSON: unknown keys, doubled keys and wrong types
// are errors that name the file, the line and the key.
//
// # Usage
//
//	var s Settings
//	if err := loader.Load("balancer.json", &s); err != nil {
//		var bad *loader.SyntaxError
//		if errors.As(err, &bad) {
//			fmt.Println(bad.Path(), bad.Line(), bad.Key())
//		}
//	}
//
// Values are checked by the `validate` tags of the type, in the notation of
// go-playground/validator.
package loader

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-playground/validator/v10"
)

// maxFileBytes bounds what is read from one file.
const maxFileBytes = 16 << 20

// SyntaxError reports input that is not strict JSON of the wanted type.
type SyntaxError struct {
	path  string
	line  int
	key   string
	cause error
}

// Path returns the file that was read.
func (e *SyntaxError) Path() string { return e.path }

// Line returns the line of the fault, counted from 1.
func (e *SyntaxError) Line() int { return e.line }

// Key returns the faulty key as a JSON pointer; it is empty for the whole value.
func (e *SyntaxError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.cause }

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: key %q: %s", e.path, e.line, e.key, e.cause)
}

// ValueError reports a value outside its range.
type ValueError struct {
	path string
	key  string
	rule string
}

// Path returns the file that was read.
func (e *ValueError) Path() string { return e.path }

// Key returns the key path of the value.
func (e *ValueError) Key() string { return e.key }

// Rule returns the rule that the value breaks.
func (e *ValueError) Rule() string { return e.rule }

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: key %q breaks the rule %q", e.path, e.key, e.rule)
}

// Load reads the file at path into v and checks its values.
func Load(path string, v any) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	if !info.Mode().IsRegular() {
		return errors.Newf("reading %s: not a regular file", path)
	}
	if info.Size() > maxFileBytes {
		return errors.Newf("reading %s: larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	return Decode(path, data, v)
}

// Decode reads data into v and checks its values; path only serves the errors.
func Decode(path string, data []byte, v any) error {
	if err := Strict(path, data, v); err != nil {
		return err
	}
	return Check(path, v)
}

// Strict reads data into v without checking its values; path only serves the
// errors.
func Strict(path string, data []byte, v any) error {
	if err := json.Unmarshal(data, v, json.RejectUnknownMembers(true)); err != nil {
		return syntaxError(path, data, err)
	}
	return nil
}

// Check checks the values of v by their validate tags.
func Check(path string, v any) error {
	err := newValidator().Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	// Maps are checked in no fixed order.
	first := slices.MinFunc(fields, func(a, b validator.FieldError) int {
		return strings.Compare(a.Namespace(), b.Namespace())
	})
	_, key, _ := strings.Cut(first.Namespace(), ".")
	rule := first.Tag()
	if first.Param() != "" {
		rule += "=" + first.Param()
	}
	return &ValueError{path: path, key: key, rule: rule}
}

func newValidator() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return check
}

func syntaxError(path string, data []byte, err error) error {
	offset := int64(0)
	key := ""
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		offset = semantic.ByteOffset
		key = string(semantic.JSONPointer)
	case errors.As(err, &syntactic):
		offset = syntactic.ByteOffset
		key = string(syntactic.JSONPointer)
	}
	offset = min(offset, int64(len(data)))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	return &SyntaxError{path: path, line: line, key: key, cause: err}
}
