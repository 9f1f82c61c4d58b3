// Package logger writes log lines without blocking the goroutines that log, and limits
// the rate of repetitive lines.
//
// # Usage
//
//	w := logger.New(os.Stdout)
//	group.Go(func() error { return w.Run(ctx) })
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	routine := logger.NewLimiter(20)
//	if suppressed, ok := routine.Allow(now); ok {
//		log.Info("flow opened", "left-out", suppressed)
//	}
package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// maxQueuedLines limits the lines that wait to be written; at 400 bytes each, 200 KB.
const maxQueuedLines = 512

// Writer queues lines, and Run writes them. The methods may be called from several
// goroutines.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
}

// New returns a Writer whose lines Run writes to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of a line. If the queue is full, the line is dropped and counted.
// Write returns len(line) and no error in both cases.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full or
// writing failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, then the lines that are still queued. It always
// returns nil, because a log that can't be written must not stop the program.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-ctx.Done():
			w.writeQueued()
			return nil
		}
	}
}

func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Limiter limits the rate of one kind of line. It is not safe for use from several
// goroutines.
type Limiter struct {
	limiter    *rate.Limiter
	suppressed int
}

// NewLimiter returns a Limiter that allows perSecond lines per second, in bursts of up to
// as many.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow reports whether a line may be written now. If so, it also returns the number of
// lines suppressed since the last allowed one.
func (l *Limiter) Allow(now time.Time) (suppressed int, ok bool) {
	if !l.limiter.AllowN(now, 1) {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
