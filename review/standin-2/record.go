package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
