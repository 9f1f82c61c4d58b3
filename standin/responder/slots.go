package responder

import (
	"context"
	"sync/atomic"
)

// slots is a semaphore that limits how many short requests run concurrently and
// how many wait for a slot.
type slots struct {
	// inUse holds one element for each slot in use.
	inUse      chan struct{}
	waiting    atomic.Int64
	maxWaiting int64
}

func newSlots(count, maxWaiting int) *slots {
	return &slots{inUse: make(chan struct{}, count), maxWaiting: int64(maxWaiting)}
}

// acquire waits for a slot. It returns false if maxWaiting requests wait already,
// or if ctx ends first.
func (s *slots) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.inUse <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.maxWaiting {
		return false
	}
	select {
	case s.inUse <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() { <-s.inUse }

// utilization returns the share of the slots that are in use, from 0 to 1.
func (s *slots) utilization() float64 { return float64(len(s.inUse)) / float64(cap(s.inUse)) }
