// Package logger writes log lines without ever blocking who logs, and bounds how
// many lines of a kind are written.
//
// # Usage
//
//	w := logger.New(os.Stdout)
//	group.Go(func() error { return w.Run(ctx) })
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	routine := logger.NewBudget(20)
//	if left, ok := routine.Take(now); ok {
//		log.Info("flow opened", "left-out", left)
//	}
package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueLines is how many lines wait to be written; at 400 bytes each, 200 KB.
const queueLines = 512

// Writer passes lines on from a goroutine of its own. Its methods may be called
// from several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a Writer to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a line. A line that finds the queue full is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes until ctx ends, then what is queued. It returns nil: a log that
// can't be written ends nothing.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Budget bounds the lines of one kind. It is not safe for use from several
// goroutines.
type Budget struct {
	limiter *rate.Limiter
	left    int
}

// NewBudget returns a Budget of so many lines a second, and as many at once.
func NewBudget(perSecond int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Take reports whether a line may be written now, and how many were left out
// since the last one that was.
func (b *Budget) Take(now time.Time) (left int, ok bool) {
	if !b.limiter.AllowN(now, 1) {
		b.left++
		return 0, false
	}
	left, b.left = b.left, 0
	return left, true
}
