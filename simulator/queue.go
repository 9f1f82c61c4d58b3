package simulator

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function that runs at a virtual time. sequence orders events
// of the same time.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue holds events in the order of their times. Events of the same time keep
// the order in which they were added.
type eventQueue struct {
	events       []scheduledEvent
	lastSequence uint64
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at.Equal(b.at) {
		return a.sequence < b.sequence
	}
	return a.at.Before(b.at)
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface. Use add to add an event.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(scheduledEvent)) }

// Pop implements heap.Interface. Use removeFirst to remove an event.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = scheduledEvent{}
	q.events = q.events[:len(q.events)-1]
	return last
}

func (q *eventQueue) nextTime() time.Time { return q.events[0].at }

func (q *eventQueue) add(at time.Time, run func()) {
	q.lastSequence++
	heap.Push(q, scheduledEvent{at: at, sequence: q.lastSequence, run: run})
}

func (q *eventQueue) removeFirst() scheduledEvent { return heap.Pop(q).(scheduledEvent) }
