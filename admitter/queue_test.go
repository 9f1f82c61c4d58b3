package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/admitter"
	"trefoilspring.example/trefoilspring/aggregator"
)

// unevenTargets plays, in virtual time, targets of two slots and a queue of eight that work for 13 ms
// on a request at speed 1. A quarter of them has a speed of 0.55, the others 1.2. Each request
// of a caller is tried three times at once, and balancers see the answers as a Recorder does.
type unevenTargets struct {
	admitter admitter.Admitter
	limits   bool
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	targets  [50]unevenTarget
	demand   [2]aggregator.Demand
	time     [2]time.Duration
	total    outcomes
}

// outcomes counts requests by urgency, and the tries that full targets failed.
type outcomes struct {
	asked, answered [2]int
	failed          int
}

type unevenTarget struct {
	busy  int
	queue []func()
	speed float64
}

const (
	unevenSlots = 2
	unevenQueue = 8
	unevenWork  = 13 * time.Millisecond
	unevenPath  = 4 * time.Millisecond
	// unevenRoom is how many requests a second the targets work on at speed 1.
	unevenRoom = 50 * unevenSlots * float64(time.Second) / float64(unevenWork)
)

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (u *unevenTargets) after(delay time.Duration, run func()) {
	heap.Push(&u.events, event{u.now + delay, run})
}

func (u *unevenTargets) around(mean time.Duration) time.Duration {
	return time.Duration(u.random.ExpFloat64() * float64(mean))
}

// arrive begins requests of an urgency: a tenth of the room for three seconds, then part of it.
func (u *unevenTargets) arrive(urgency int, part float64) {
	rate := part * unevenRoom
	if u.now < 3*time.Second {
		rate = 0.05 * unevenRoom
	}
	u.total.asked[urgency]++
	u.try(urgency, 3)
	u.after(u.around(time.Duration(float64(time.Second)/rate)), func() { u.arrive(urgency, part) })
}

func (u *unevenTargets) try(urgency, tries int) {
	if tries == 0 {
		return
	}
	again := func() { u.try(urgency, tries-1) }
	d := &u.demand[urgency]
	d.Openings++
	class := aggregator.Class{Service: "desk", Urgency: urgency}
	if !u.admitter.Admit(start.Add(u.now), class, address(u.random.IntN(500)), u.random.Uint64()) && u.limits {
		d.Rejected++
		u.after(unevenPath, again)
		return
	}
	d.Requests++
	sentAt, t := u.now, &u.targets[u.random.IntN(len(u.targets))]
	answer := func() {
		u.demand[urgency].Answered++
		u.time[urgency] += u.now - sentAt
	}
	succeed := func() {
		u.after(unevenPath/2, func() {
			answer()
			u.total.answered[urgency]++
		})
	}
	u.after(unevenPath/2, func() {
		switch {
		case t.busy < unevenSlots:
			u.work(t, succeed)
		case len(t.queue) < unevenQueue:
			t.queue = append(t.queue, succeed)
		default:
			u.total.failed++
			u.after(unevenPath/2, func() {
				answer()
				again()
			})
		}
	})
}

func (u *unevenTargets) work(t *unevenTarget, done func()) {
	t.busy++
	u.after(u.around(time.Duration(float64(unevenWork)/t.speed)), func() {
		t.busy--
		done()
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			u.work(t, next)
		}
	})
}

// second plays a second, and then tells the admitter of the one before.
func (u *unevenTargets) second(previous map[int]aggregator.Demand) map[int]aggregator.Demand {
	end := u.now + time.Second
	for len(u.events) > 0 && u.events[0].at < end {
		e := heap.Pop(&u.events).(event)
		u.now = e.at
		e.run()
	}
	u.now = end
	if previous != nil {
		u.admitter.Observe(start.Add(u.now), []admitter.Observation{{
			Service: "desk", Slots: unevenSlots * float64(len(u.targets)), Goal: 300 * time.Millisecond, Path: unevenPath, Demand: previous,
		}})
	}
	seen := make(map[int]aggregator.Demand)
	for urgency, d := range u.demand {
		d.Concurrency = d.Requests * u.time[urgency].Seconds() / max(d.Answered, 1)
		seen[urgency] = d
	}
	u.demand, u.time = [2]aggregator.Demand{}, [2]time.Duration{}
	return seen
}

// play returns the outcomes of 15 seconds, four seconds after the overload began. Three tenths
// of the requests are urgent.
func playUneven(limits bool, load float64) outcomes {
	u := unevenTargets{limits: limits, random: rand.New(rand.NewPCG(1, 2))}
	for i := range u.targets {
		u.targets[i].speed = 1.2
		if i%4 == 0 {
			u.targets[i].speed = 0.55
		}
	}
	u.arrive(0, 0.3*load)
	u.arrive(1, 0.7*load)
	var seen map[int]aggregator.Demand
	for second := range 22 {
		if second == 7 {
			u.total = outcomes{}
		}
		seen = u.second(seen)
	}
	return u.total
}

// Callers ask for more than targets of uneven speeds can do, and full targets fail requests at once,
// which look like quick answers. The urgent requests get 0.97 of what they ask, since
// there is room for them alone, and targets fail a quarter as many for each that they answer.
func TestUrgentRequestsAreServedByUnevenTargets(t *testing.T) {
	for _, load := range []float64{1.15, 1.3, 1.6} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			before, after := playUneven(false, load), playUneven(true, load)
			t.Log("without and with admission:", before, after)
			is.True(float64(after.answered[0]) >= 0.97*float64(after.asked[0]))
			failures := func(o outcomes) float64 { return float64(o.failed) / float64(o.answered[0]+o.answered[1]) }
			is.True(failures(after) <= failures(before)/4)
		})
	}
}
