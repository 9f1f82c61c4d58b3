package operator

import "fmt"

// FileError reports an entry of the folder that can't be a part of the document.
type FileError struct {
	path   string
	reason string
}

// Path returns the path of the entry.
func (e *FileError) Path() string { return e.path }

// Reason says what is wrong with the entry.
func (e *FileError) Reason() string { return e.reason }

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %s", e.path, e.reason)
}

// DocumentError reports a value of the merged document that breaks a rule.
type DocumentError struct {
	path   string
	line   int
	key    string
	reason string
}

// Path returns the file that set the value; it is empty for a document that was
// not loaded from a folder.
func (e *DocumentError) Path() string { return e.path }

// Line returns the line of the value, counted from 1, or 0 if there is no file.
func (e *DocumentError) Line() int { return e.line }

// Key returns the value's key as a JSON pointer.
func (e *DocumentError) Key() string { return e.key }

// Reason says which rule the value breaks.
func (e *DocumentError) Reason() string { return e.reason }

func (e *DocumentError) Error() string {
	if e.path == "" {
		return fmt.Sprintf("key %q: %s", e.key, e.reason)
	}
	return fmt.Sprintf("%s:%d: key %q: %s", e.path, e.line, e.key, e.reason)
}
