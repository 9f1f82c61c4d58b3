package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/logger"
)

// Guards against lines that are lost when the program ends, and against a queue that
// aliases the buffer of the goroutine that logs.
func TestQueuedLinesAreWrittenWhenRunEnds(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logger.New(&out)
	line := []byte("one\n")
	n, err := w.Write(line)
	is.NoErr(err)
	is.Equal(n, len(line))
	copy(line, "xxx") // Write has queued a copy
	_, _ = w.Write([]byte("two\n"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(w.Run(ctx))
	is.Equal(strings.Count(out.String(), "\n"), 2)
	is.True(strings.Contains(out.String(), "one\n"))
	is.Equal(w.Dropped(), uint64(0))
}

// Guards against logging that blocks when standard output accepts no data. Lines that
// don't fit in the queue and lines that can't be written are dropped and counted.
func TestFullQueueDropsAndCountsLines(t *testing.T) {
	is := is.New(t)
	w := logger.New(failingWriter{})
	for range 1000 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), uint64(1000-512))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(w.Run(ctx))
	is.Equal(w.Dropped(), uint64(1000)) // lines that can't be written count too
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards the count of suppressed lines, which is returned once and then reset.
func TestLimiterCountsSuppressedLines(t *testing.T) {
	is := is.New(t)
	l := logger.NewLimiter(10)
	now := time.Unix(1, 0)
	allowed := 0
	for range 25 {
		if _, ok := l.Allow(now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 10)
	suppressed, ok := l.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 15)
	suppressed, ok = l.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 0)
}
