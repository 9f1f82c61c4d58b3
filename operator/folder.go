package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"trefoilspring.example/trefoilspring/loader"
)

const (
	extension = ".json"
	// maxFileBytes bounds one file of the folder.
	maxFileBytes = 4 << 20
	// maxFiles bounds the folder.
	maxFiles = 10_000
)

// File is one file of the operators' folder.
type File struct {
	// Path serves the errors; the order of files is that of their base names.
	Path string
	Data []byte
}

// LoadFolder reads all files of the folder dir and merges them with Merge. An
// entry that is not a regular file named *.json is a FileError.
func LoadFolder(dir string) (Document, error) {
	files, err := readFolder(dir)
	if err != nil {
		return Document{}, err
	}
	return Merge(files)
}

// Merge merges files, in the byte order of their base names, by JSON Merge Patch
// (RFC 7396) and checks the result. Its errors are a loader.SyntaxError for a
// file that is not strict JSON of the document's type, and a DocumentError for a
// value that breaks a rule.
func Merge(files []File) (Document, error) {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int {
		return strings.Compare(filepath.Base(a.Path), filepath.Base(b.Path))
	})
	merged := []byte("{}")
	for _, file := range files {
		next, err := mergeFile(merged, file)
		if err != nil {
			return Document{}, err
		}
		merged = next
	}
	d, err := decodeMerged(merged)
	if err != nil {
		return Document{}, locate(files, err)
	}
	return d, nil
}

func mergeFile(merged []byte, file File) ([]byte, error) {
	// Each file alone must have the document's type, so that an unknown key, a
	// doubled key or a wrong type is found with its line.
	var part Document
	if err := loader.Strict(file.Path, file.Data, &part); err != nil {
		return nil, err
	}
	if !bytes.HasPrefix(bytes.TrimLeft(file.Data, " \t\r\n"), []byte("{")) {
		return nil, &FileError{path: file.Path, reason: "holds no JSON object"}
	}
	next, err := jsonpatch.MergePatch(merged, file.Data)
	if err != nil {
		return nil, errors.Wrapf(err, "merging %s", file.Path)
	}
	return next, nil
}

func decodeMerged(merged []byte) (Document, error) {
	var d Document
	if err := loader.Strict("", merged, &d); err != nil {
		return Document{}, err
	}
	if err := Validate(d); err != nil {
		return Document{}, err
	}
	return d, nil
}

func readFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrapf(err, "reading the folder %s", dir)
	}
	if len(entries) > maxFiles {
		return nil, &FileError{path: dir, reason: "holds too many files"}
	}
	files := make([]File, 0, len(entries))
	for _, entry := range entries {
		file, err := readFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	if len(files) == 0 {
		return nil, &FileError{path: dir, reason: "holds no file"}
	}
	return files, nil
}

func readFile(path string) (File, error) {
	if reason := nameFault(filepath.Base(path)); reason != "" {
		return File{}, &FileError{path: path, reason: reason}
	}
	// A symbolic link is refused as well, since its end may lie anywhere.
	info, err := os.Lstat(path)
	if err != nil {
		return File{}, errors.Wrapf(err, "reading %s", path)
	}
	if !info.Mode().IsRegular() {
		return File{}, &FileError{path: path, reason: "is not a regular file"}
	}
	if info.Size() > maxFileBytes {
		return File{}, &FileError{path: path, reason: "is too large"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Wrapf(err, "reading %s", path)
	}
	return File{Path: path, Data: data}, nil
}

// nameFault says why a file name is refused; it is empty for a good one.
func nameFault(name string) string {
	switch {
	case strings.HasPrefix(name, "."):
		return "is hidden"
	case strings.HasSuffix(name, "~"), strings.HasPrefix(name, "#"), strings.HasSuffix(name, ".swp"):
		return "is left over from an editor"
	case !strings.HasSuffix(name, extension):
		return "is not named *.json"
	case strings.ContainsFunc(name, isControl):
		return "has a control character in its name"
	}
	return ""
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
