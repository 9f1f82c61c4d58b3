// Package journal records the requests of callers and the packets and requests that
// targets received, as JSON lines, so that a test run can be evaluated without the
// balancers' own data.
//
// # Usage
//
//	w, err := journal.OpenWriter("out/target-bd-01.jsonl")
//	if err != nil {
//		return err
//	}
//	defer w.Close()
//	err = w.Append(journal.Entry{Run: &journal.Run{Target: "bd-01", ID: "c1-1"}})
//
// Each line is written without buffering, so that a process that is killed loses
// none.
package journal

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Entry is one line of a journal; exactly one field is set.
type Entry struct {
	Request  *Request  `json:"request,omitempty"`
	Run      *Run      `json:"run,omitempty"`
	Arrival  *Arrival  `json:"arrival,omitempty"`
	Packets  *Packets  `json:"packets,omitempty"`
	Collapse *Collapse `json:"collapse,omitempty"`
}

// Writer appends entries to a journal. Its methods may be called from several
// goroutines.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// OpenWriter opens the journal at path for appending, and creates the file if it
// does not exist.
func OpenWriter(path string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the journal %s", path)
	}
	return &Writer{file: file}, nil
}

// Append writes an entry as one line.
func (w *Writer) Append(e Entry) error {
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encoding a journal entry")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.file.Write(append(line, '\n'))
	return errors.Wrap(err, "writing a journal entry")
}

// Close closes the journal's file.
func (w *Writer) Close() error { return w.file.Close() }

// Read returns the entries of the journal at path. A malformed last line is
// ignored, since a process that is killed may leave one; a malformed line before
// it is an error.
func Read(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrapf(err, "reading the journal %s", path)
	}
	defer func() { _ = file.Close() }()
	var entries []Entry
	var malformed error
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if malformed != nil {
			return nil, errors.Wrapf(malformed, "reading the journal %s", path)
		}
		var e Entry
		if malformed = json.Unmarshal(scanner.Bytes(), &e); malformed == nil {
			entries = append(entries, e)
		}
	}
	return entries, errors.Wrapf(scanner.Err(), "reading the journal %s", path)
}
