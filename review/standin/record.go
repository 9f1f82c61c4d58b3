package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the run's record: what was sent, answered and run, and each broken rule.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records a broken rule. The first few are shown too.
func (r *record) breaks(rule, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.line("BROKEN %s: %s", rule, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	if r.broken <= 3 {
		fmt.Printf("broken %s: %s\n", rule, text)
	}
}

func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
