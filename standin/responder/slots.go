package responder

import (
	"context"
	"sync/atomic"
)

// slots bounds how many short requests run and wait.
type slots struct {
	free    chan struct{}
	waiting atomic.Int64
	queue   int64
}

func newSlots(count, queue int) *slots {
	return &slots{free: make(chan struct{}, count), queue: int64(queue)}
}

// acquire waits for a slot; it fails if too many wait or ctx ends first.
func (s *slots) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.free <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queue {
		return false
	}
	select {
	case s.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() { <-s.free }

// load returns how many slots are taken for each that there is.
func (s *slots) load() float64 { return float64(len(s.free)) / float64(cap(s.free)) }
