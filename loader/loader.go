// Package loader decodes JSON strictly: unknown keys, duplicate keys and wrong
// types are errors that name the file, the line and the key. It also checks the
// decoded values.
//
// # Usage
//
//	var s Settings
//	if err := loader.Load("balancer.json", &s); err != nil {
//		var syntax *loader.SyntaxError
//		if errors.As(err, &syntax) {
//			fmt.Println(syntax.Path(), syntax.Line(), syntax.Key())
//		}
//	}
//
// The rules for values are the `validate` tags of the type, in the notation of
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

// maxFileBytes is the largest size of a file that Load reads.
const maxFileBytes = 16 << 20

// SyntaxError reports input that is not valid JSON or doesn't match the type that
// it is decoded into.
type SyntaxError struct {
	path  string
	line  int
	key   string
	cause error
}

// Path returns the path or other name of the input.
func (e *SyntaxError) Path() string { return e.path }

// Line returns the line of the error, counted from 1.
func (e *SyntaxError) Line() int { return e.line }

// Key returns the key of the invalid value as a JSON pointer; it is empty for the
// whole input.
func (e *SyntaxError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.cause }

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d: key %q: %s", e.path, e.line, e.key, e.cause)
}

// ValueError reports a value that breaks the rule in its `validate` tag.
type ValueError struct {
	path string
	key  string
	rule string
}

// Path returns the path or other name of the input.
func (e *ValueError) Path() string { return e.path }

// Key returns the keys that lead to the value, such as targets[bd-01].weight.
func (e *ValueError) Key() string { return e.key }

// Rule returns the rule that the value breaks, such as max=100.
func (e *ValueError) Rule() string { return e.rule }

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: key %q breaks the rule %q", e.path, e.key, e.rule)
}

// Load decodes the file at path into v and checks the values by their `validate`
// tags. The file must be regular and at most 16 MiB large. Errors in its content
// are a SyntaxError or a ValueError.
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

// Decode decodes data into v and checks the values by their `validate` tags. The
// path is only named in errors, which are a SyntaxError or a ValueError.
func Decode(path string, data []byte, v any) error {
	if err := Unmarshal(path, data, v); err != nil {
		return err
	}
	return Validate(path, v)
}

// Unmarshal decodes data into v without checking the values. The path is only named
// in errors, which are a SyntaxError.
func Unmarshal(path string, data []byte, v any) error {
	if err := json.Unmarshal(data, v, json.RejectUnknownMembers(true)); err != nil {
		return newSyntaxError(path, data, err)
	}
	return nil
}

// Validate checks the values of the struct v by their `validate` tags. Its error is
// a ValueError for the first invalid value by key; path is only named in it.
func Validate(path string, v any) error {
	err := newValidator().Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	// The validator walks maps in random order; the first key in alphabetical order
	// makes the error deterministic.
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

// newValidator returns a validator that names fields by their JSON keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// newSyntaxError returns a SyntaxError with the line and key of err.
func newSyntaxError(path string, data []byte, err error) error {
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
