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
	fileExtension = ".json"
	// maxFileBytes is the largest size of one file of the folder.
	maxFileBytes = 4 << 20
	// maxFiles is the largest number of files in the folder.
	maxFiles = 10_000
)

// File is one file of the operators' folder.
type File struct {
	// Path is named in errors, and its base name determines the order in which files
	// are merged.
	Path string
	Data []byte
}

// LoadFolder reads all files of the folder dir and merges them with Merge. It
// returns a FileError if the folder has an entry that is not a regular file named
// *.json, a file of more than 4 MiB, more than 10,000 entries, or none.
func LoadFolder(dir string) (Document, error) {
	files, err := readFolder(dir)
	if err != nil {
		return Document{}, err
	}
	return Merge(files)
}

// Merge merges files by JSON Merge Patch (RFC 7396), in the byte order of their
// base names, and validates the result. Its errors are a loader.SyntaxError for a
// file that loader.Unmarshal can't decode into a Document, a FileError for one that
// is not a JSON object, and a DocumentError for an invalid value of the result.
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
		return Document{}, addLocation(files, err)
	}
	return d, nil
}

// mergeFile returns merged patched with the content of file.
func mergeFile(merged []byte, file File) ([]byte, error) {
	// Each file is decoded on its own first: the error for an unknown key, a
	// duplicate key or a wrong type can then name the line, which is lost by
	// merging.
	var part Document
	if err := loader.Unmarshal(file.Path, file.Data, &part); err != nil {
		return nil, err
	}
	if !bytes.HasPrefix(bytes.TrimLeft(file.Data, " \t\r\n"), []byte("{")) {
		return nil, &FileError{path: file.Path, reason: "is not a JSON object"}
	}
	next, err := jsonpatch.MergePatch(merged, file.Data)
	if err != nil {
		return nil, errors.Wrapf(err, "merging %s", file.Path)
	}
	return next, nil
}

// decodeMerged decodes and validates the merged document.
func decodeMerged(merged []byte) (Document, error) {
	var d Document
	if err := loader.Unmarshal("", merged, &d); err != nil {
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
	if reason := invalidNameReason(filepath.Base(path)); reason != "" {
		return File{}, &FileError{path: path, reason: reason}
	}
	// A symbolic link is refused as well, since it may point outside the folder.
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

// invalidNameReason returns why a file name is refused, or "" for a valid one.
func invalidNameReason(name string) string {
	switch {
	case strings.HasPrefix(name, "."):
		return "is a hidden file"
	case strings.HasSuffix(name, "~"), strings.HasPrefix(name, "#"), strings.HasSuffix(name, ".swp"):
		return "is an editor's backup or swap file"
	case !strings.HasSuffix(name, fileExtension):
		return "is not named *.json"
	case strings.ContainsFunc(name, isControl):
		return "has a control character in its name"
	}
	return ""
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
