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

func TestQueuedLinesAreWrittenAtTheEnd(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logger.New(&out)
	line := []byte("one\n")
	n, err := w.Write(line)
	is.NoErr(err)
	is.Equal(n, len(line))
	copy(line, "xxx") // the writer keeps a copy
	_, _ = w.Write([]byte("two\n"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(w.Run(ctx))
	is.Equal(strings.Count(out.String(), "\n"), 2)
	is.True(strings.Contains(out.String(), "one\n"))
	is.Equal(w.Dropped(), uint64(0))
}

// Load pattern: standard output takes nothing while lines come. Who logs is never
// held up, and what is lost is counted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	is := is.New(t)
	w := logger.New(failing{})
	for range 1000 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), uint64(1000-512))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(w.Run(ctx))
	is.Equal(w.Dropped(), uint64(1000)) // those that could not be written count too
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestBudgetCountsWhatIsLeftOut(t *testing.T) {
	is := is.New(t)
	b := logger.NewBudget(10)
	now := time.Unix(1, 0)
	taken := 0
	for range 25 {
		if _, ok := b.Take(now); ok {
			taken++
		}
	}
	is.Equal(taken, 10)
	left, ok := b.Take(now.Add(time.Second))
	is.True(ok)
	is.Equal(left, 15)
	left, ok = b.Take(now.Add(time.Second))
	is.True(ok)
	is.Equal(left, 0)
}
