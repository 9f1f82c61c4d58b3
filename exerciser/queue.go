package exerciser

import (
	"container/heap"
	"time"
)

type event struct {
	at     time.Time
	number uint64
	do     func()
}

// queue holds events in the order of their times, then of their making.
type queue struct {
	events []event
	made   uint64
}

func (q *queue) Len() int { return len(q.events) }

func (q *queue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at.Equal(b.at) {
		return a.number < b.number
	}
	return a.at.Before(b.at)
}

func (q *queue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push is for container/heap alone.
func (q *queue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop is for container/heap alone.
func (q *queue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = event{}
	q.events = q.events[:len(q.events)-1]
	return last
}

func (q *queue) first() time.Time { return q.events[0].at }

func (q *queue) put(at time.Time, do func()) {
	q.made++
	heap.Push(q, event{at: at, number: q.made, do: do})
}

func (q *queue) take() event { return heap.Pop(q).(event) }
