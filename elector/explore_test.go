package elector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/elector"
)

const (
	candidates = 2
	// The times of the model, in ticks.
	ttlTicks    = 3
	marginTicks = 1
	maxTicks    = 5
	maxDepth    = 13
)

func ticks(n int) time.Time { return time.Unix(int64(n), 0) }

// candidate is one candidate of the model, with the calls that it has sent.
type candidate struct {
	core elector.Core
	// sessionUntil is when its session ends in the store; 0 means that it ended.
	sessionUntil int
	// renewSent is when an open renewal was sent, plus 1; 0 means that none is.
	renewSent int
	// renewServed says that the store has seen the open renewal.
	renewServed bool
	// writing says that write is on its way to the store.
	writing bool
	write   elector.Write
}

// world is a state of the model. It is compared as a whole.
type world struct {
	now        int
	holder     int // 0 means none, otherwise the candidate's index plus 1.
	lockIndex  uint64
	stateIndex uint64
	stateFence uint64
	members    [candidates]candidate
}

// rules switches the mechanisms.
type rules struct {
	fencing        bool
	measuredBefore bool
}

// result is what an exploration found.
type result struct {
	states     int
	twoHolders int
	overwrites int
	lateWrites int
	writes     int
}

// start returns the world in which both candidates have a session.
func start() world {
	w := world{}
	for i := range w.members {
		w.members[i].core = elector.NewCore(ttlTicks*time.Second, marginTicks*time.Second)
		w.open(i)
	}
	return w
}

// open gives a candidate a new session.
func (w *world) open(i int) {
	m := &w.members[i]
	m.core.Lost()
	m.core.Renewed(ticks(w.now))
	m.sessionUntil = w.now + ttlTicks
}

// tick lets time go on and ends sessions.
func (w *world) tick() {
	w.now++
	for i := range w.members {
		m := &w.members[i]
		if m.sessionUntil == 0 || w.now < m.sessionUntil {
			continue
		}
		m.sessionUntil = 0
		if w.holder == i+1 {
			w.holder = 0
		}
	}
}

// explore visits every interleaving of at most maxDepth events, breadth first.
func explore(r rules) result {
	found := result{}
	seen := map[world]bool{}
	layer := []world{start()}
	for range maxDepth {
		var next []world
		for _, w := range layer {
			for _, after := range w.successors(r, &found) {
				if !seen[after] {
					seen[after] = true
					found.observe(after)
					next = append(next, after)
				}
			}
		}
		layer = next
	}
	found.states = len(seen)
	return found
}

func (f *result) observe(w world) {
	holding := 0
	for i := range w.members {
		if w.members[i].core.Holds(ticks(w.now)) {
			holding++
		}
	}
	if holding > 1 {
		f.twoHolders++
	}
}

// successors returns the worlds after each event that may come next. A pause of
// a candidate is that none of its events comes for a while.
func (w world) successors(r rules, found *result) []world {
	var list []world
	if w.now < maxTicks {
		after := w
		after.tick()
		list = append(list, after)
	}
	for i := range w.members {
		for _, event := range []func(*world, int, rules, *result) bool{
			sendRenewal, serveRenewal, answerRenewal, reopen, acquire, observe, sendWrite, serveWrite,
		} {
			after := w
			if event(&after, i, r, found) {
				list = append(list, after)
			}
		}
	}
	return list
}

func sendRenewal(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	if m.renewSent != 0 {
		return false
	}
	m.renewSent = w.now + 1
	return true
}

func serveRenewal(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	if m.renewSent == 0 || m.renewServed || m.sessionUntil == 0 {
		return false
	}
	m.renewServed = true
	m.sessionUntil = w.now + ttlTicks
	return true
}

func answerRenewal(w *world, i int, r rules, _ *result) bool {
	m := &w.members[i]
	if !m.renewServed {
		return false
	}
	sent := m.renewSent - 1
	if !r.measuredBefore {
		sent = w.now
	}
	m.core.Renewed(ticks(sent))
	m.renewSent = 0
	m.renewServed = false
	return true
}

// reopen gives a candidate a new session after it has learnt that the one before
// has ended.
func reopen(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	if m.sessionUntil != 0 || m.renewServed {
		return false
	}
	m.renewSent = 0
	w.open(i)
	return true
}

func acquire(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	if w.holder != 0 || m.sessionUntil == 0 || m.core.Next(ticks(w.now)) != elector.Acquire {
		return false
	}
	w.holder = i + 1
	w.lockIndex++
	m.core.Acquired(w.lockIndex)
	return true
}

func observe(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	if m.core.Next(ticks(w.now)) != elector.Observe {
		return false
	}
	m.core.Observed(w.stateFence, w.stateIndex)
	return true
}

func sendWrite(w *world, i int, _ rules, _ *result) bool {
	m := &w.members[i]
	write, ok := m.core.Write(ticks(w.now))
	if !ok || m.writing {
		return false
	}
	m.write = write
	m.writing = true
	// The answer may be lost: the state has to be observed in any case.
	m.core.Sent()
	return true
}

// claimedAfter reports whether a holder with a later fence is ready to write.
func (w *world) claimedAfter(fence uint64) bool {
	for i := range w.members {
		core := &w.members[i].core
		if core.Fence() > fence && core.Next(ticks(w.now)) == elector.Ready {
			return true
		}
	}
	return false
}

func serveWrite(w *world, i int, r rules, found *result) bool {
	m := &w.members[i]
	if !m.writing {
		return false
	}
	m.writing = false
	if r.fencing && m.write.Index() != w.stateIndex {
		return true
	}
	if m.write.Fence() < w.stateFence {
		found.overwrites++
	}
	if w.claimedAfter(m.write.Fence()) {
		found.lateWrites++
	}
	found.writes++
	w.stateIndex++
	w.stateFence = m.write.Fence()
	return true
}

// No interleaving of leases, pauses, writes, take-overs and lost answers lets two
// hold the role at once, or an earlier holder write once a later one is ready; the
// exploration finds these faults when their mechanisms are switched off.
func TestEveryInterleaving(t *testing.T) {
	is := is.New(t)
	found := explore(rules{fencing: true, measuredBefore: true})
	t.Logf("with both: %+v", found)
	is.True(found.writes > 0)
	is.Equal(found.overwrites, 0)
	is.Equal(found.lateWrites, 0)
	is.Equal(found.twoHolders, 0)

	unfenced := explore(rules{fencing: false, measuredBefore: true})
	t.Logf("without fencing: %+v", unfenced)
	is.True(unfenced.overwrites > 0)
	is.True(unfenced.lateWrites > 0)

	late := explore(rules{fencing: true, measuredBefore: false})
	t.Logf("measured from the answer: %+v", late)
	is.True(late.twoHolders > 0)
}
