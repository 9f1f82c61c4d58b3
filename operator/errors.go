package operator

import "fmt"

// FileError reports a file of the folder, or the folder itself, that can't be
// merged into the document.
type FileError struct {
	path   string
	reason string
}

// Path returns the path of the file or folder.
func (e *FileError) Path() string { return e.path }

// Reason returns what is wrong with the file or folder.
func (e *FileError) Reason() string { return e.reason }

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %s", e.path, e.reason)
}

// DocumentError reports an invalid value of a document.
type DocumentError struct {
	path   string
	line   int
	key    string
	reason string
}

// Path returns the path of the last file that sets the value or, if none does, the
// closest key above it. It is empty for a document that was not merged from files.
func (e *DocumentError) Path() string { return e.path }

// Line returns the line of the value in that file, counted from 1, or 0 if there
// is no file.
func (e *DocumentError) Line() int { return e.line }

// Key returns the location of the value in the document as a JSON pointer.
func (e *DocumentError) Key() string { return e.key }

// Reason returns what is wrong with the value.
func (e *DocumentError) Reason() string { return e.reason }

func (e *DocumentError) Error() string {
	if e.path == "" {
		return fmt.Sprintf("key %q: %s", e.key, e.reason)
	}
	return fmt.Sprintf("%s:%d: key %q: %s", e.path, e.line, e.key, e.reason)
}
