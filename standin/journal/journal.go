// Package journal keeps what callers and targets saw, as JSON lines, so that
// the outcome of a run can be judged without asking a balancer.
//
// # Usage
//
//	w, err := journal.Create("out/target-bd-01.jsonl")
//	if err != nil {
//		return err
//	}
//	defer w.Close()
//	err = w.Append(journal.Entry{Run: &journal.Run{Target: "bd-01", ID: "c1-1"}})
//
// Each line is handed to the kernel at once, so that a process that is killed
// loses none.
package journal

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Entry is one line; exactly one field is set.
type Entry struct {
	Request  *Request  `json:"request,omitempty"`
	Run      *Run      `json:"run,omitempty"`
	Arrival  *Arrival  `json:"arrival,omitempty"`
	Packets  *Packets  `json:"packets,omitempty"`
	Collapse *Collapse `json:"collapse,omitempty"`
}

// Writer appends entries to a file; its methods may be called from several
// goroutines.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Create opens the journal at path for appending.
func Create(path string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the journal %s", path)
	}
	return &Writer{file: file}, nil
}

// Append writes one line.
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

// Close closes the file.
func (w *Writer) Close() error { return w.file.Close() }

// Read returns the entries of the journal at path; a last line that was cut
// short is passed over.
func Read(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrapf(err, "reading the journal %s", path)
	}
	defer func() { _ = file.Close() }()
	var entries []Entry
	var broken error
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if broken != nil {
			return nil, errors.Wrapf(broken, "reading the journal %s", path)
		}
		var e Entry
		if broken = json.Unmarshal(lines.Bytes(), &e); broken == nil {
			entries = append(entries, e)
		}
	}
	return entries, errors.Wrapf(lines.Err(), "reading the journal %s", path)
}
