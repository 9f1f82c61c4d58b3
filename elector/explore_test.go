package elector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/elector"
)

const (
	candidateCount = 2
	// ttlTicks, leaseMarginTicks and maxTicks are times of the model, in ticks of 1 s.
	ttlTicks         = 3
	leaseMarginTicks = 1
	maxTicks         = 5
	// maxDepth is the largest number of events in an interleaving.
	maxDepth = 13
)

// tickTime returns the time after n ticks.
func tickTime(n int) time.Time { return time.Unix(int64(n), 0) }

// candidate is one candidate of the model and its calls to the store in flight.
type candidate struct {
	core elector.Core
	// sessionUntil is the tick at which the candidate's session expires in the store;
	// 0 means that it has expired.
	sessionUntil int
	// renewalSentTick is the tick at which the renewal in flight was sent, plus 1; 0
	// means that no renewal is in flight.
	renewalSentTick int
	// renewalServed says that the store has processed the renewal in flight.
	renewalServed bool
	// writePending says that write has been sent and that the store has not processed
	// it yet.
	writePending bool
	write        elector.WriteParams
}

// modelState is one state of the model. It is a map key, so that each state is visited
// once.
type modelState struct {
	// now is the time in ticks.
	now int
	// holder is the index of the candidate that has the lease, plus 1; 0 means none.
	holder int
	// lockIndex counts the acquisitions of the lease. It is the fencing token.
	lockIndex uint64
	// stateIndex counts the writes of the role's state.
	stateIndex uint64
	// stateFence is the fencing token of the last write.
	stateFence uint64
	candidates [candidateCount]candidate
}

// mechanisms says which safety mechanisms are enabled.
type mechanisms struct {
	// fencing makes the store reject a write whose index is out of date.
	fencing bool
	// leaseFromSendTime measures a lease from when the renewal was sent, rather than
	// from when its answer arrived.
	leaseFromSendTime bool
}

// result holds the counts of one exploration.
type result struct {
	// states is the number of distinct states.
	states int
	// twoHolders counts states in which two candidates hold the role.
	twoHolders int
	// overwrites counts writes that replaced a state with a later fence.
	overwrites int
	// lateWrites counts writes that took effect although a later holder was ready.
	lateWrites int
	// writes counts all writes that took effect.
	writes int
}

// initialState returns the state in which each candidate has a session.
func initialState() modelState {
	s := modelState{}
	for i := range s.candidates {
		s.candidates[i].core = elector.NewCore(ttlTicks*time.Second, leaseMarginTicks*time.Second)
		s.openSession(i)
	}
	return s
}

// openSession gives candidate i a new session.
func (s *modelState) openSession(i int) {
	c := &s.candidates[i]
	c.core.LeaseLost()
	c.core.LeaseRenewed(tickTime(s.now))
	c.sessionUntil = s.now + ttlTicks
}

// advanceTime advances the time by one tick and expires sessions.
func (s *modelState) advanceTime() {
	s.now++
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.sessionUntil == 0 || s.now < c.sessionUntil {
			continue
		}
		c.sessionUntil = 0
		if s.holder == i+1 {
			s.holder = 0
		}
	}
}

// explore visits every interleaving of at most maxDepth events, breadth first.
func explore(enabled mechanisms) result {
	counts := result{}
	seen := map[modelState]bool{}
	layer := []modelState{initialState()}
	for range maxDepth {
		var nextLayer []modelState
		for _, s := range layer {
			for _, next := range s.successors(enabled, &counts) {
				if !seen[next] {
					seen[next] = true
					counts.countHolders(next)
					nextLayer = append(nextLayer, next)
				}
			}
		}
		layer = nextLayer
	}
	counts.states = len(seen)
	return counts
}

// countHolders counts s in twoHolders if more than one candidate holds the role.
func (r *result) countHolders(s modelState) {
	holding := 0
	for i := range s.candidates {
		if s.candidates[i].core.Holds(tickTime(s.now)) {
			holding++
		}
	}
	if holding > 1 {
		r.twoHolders++
	}
}

// successors returns the states after each event that is possible next. A paused
// candidate is modelled by an interleaving in which none of its events occurs for a
// while.
func (s modelState) successors(enabled mechanisms, counts *result) []modelState {
	var list []modelState
	if s.now < maxTicks {
		next := s
		next.advanceTime()
		list = append(list, next)
	}
	for i := range s.candidates {
		for _, event := range []func(*modelState, int, mechanisms, *result) bool{
			sendRenewal, serveRenewal, answerRenewal, reopenSession, acquireRole, readState, sendWrite, serveWrite,
		} {
			next := s
			if event(&next, i, enabled, counts) {
				list = append(list, next)
			}
		}
	}
	return list
}

// sendRenewal is an event of the model, like all functions that successors lists. An
// event of candidate i changes s and returns true, or returns false if it can't occur
// in s.
func sendRenewal(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if c.renewalSentTick != 0 {
		return false
	}
	c.renewalSentTick = s.now + 1
	return true
}

func serveRenewal(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if c.renewalSentTick == 0 || c.renewalServed || c.sessionUntil == 0 {
		return false
	}
	c.renewalServed = true
	c.sessionUntil = s.now + ttlTicks
	return true
}

func answerRenewal(s *modelState, i int, enabled mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if !c.renewalServed {
		return false
	}
	sent := c.renewalSentTick - 1
	if !enabled.leaseFromSendTime {
		sent = s.now
	}
	c.core.LeaseRenewed(tickTime(sent))
	c.renewalSentTick = 0
	c.renewalServed = false
	return true
}

// reopenSession gives a candidate a new session after it has learnt that its earlier
// session has expired.
func reopenSession(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if c.sessionUntil != 0 || c.renewalServed {
		return false
	}
	c.renewalSentTick = 0
	s.openSession(i)
	return true
}

func acquireRole(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if s.holder != 0 || c.sessionUntil == 0 || c.core.NextStep(tickTime(s.now)) != elector.AcquireRole {
		return false
	}
	s.holder = i + 1
	s.lockIndex++
	c.core.RoleAcquired(s.lockIndex)
	return true
}

func readState(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	if c.core.NextStep(tickTime(s.now)) != elector.ReadState {
		return false
	}
	c.core.StateRead(s.stateFence, s.stateIndex)
	return true
}

func sendWrite(s *modelState, i int, _ mechanisms, _ *result) bool {
	c := &s.candidates[i]
	write, ok := c.core.PrepareWrite(tickTime(s.now))
	if !ok || c.writePending {
		return false
	}
	c.write = write
	c.writePending = true
	// The answer to the write may be lost, so the state has to be read again anyway.
	c.core.WriteSent()
	return true
}

// laterHolderReady reports whether a holder with a later fence is ready to write.
func (s *modelState) laterHolderReady(fence uint64) bool {
	for i := range s.candidates {
		core := &s.candidates[i].core
		if core.Fence() > fence && core.NextStep(tickTime(s.now)) == elector.Ready {
			return true
		}
	}
	return false
}

func serveWrite(s *modelState, i int, enabled mechanisms, counts *result) bool {
	c := &s.candidates[i]
	if !c.writePending {
		return false
	}
	c.writePending = false
	if enabled.fencing && c.write.Index() != s.stateIndex {
		return true
	}
	if c.write.Fence() < s.stateFence {
		counts.overwrites++
	}
	if s.laterHolderReady(c.write.Fence()) {
		counts.lateWrites++
	}
	counts.writes++
	s.stateIndex++
	s.stateFence = c.write.Fence()
	return true
}

// No interleaving of lease renewals, pauses, writes, take-overs and lost answers lets
// two candidates hold the role at once, or lets an earlier holder write once a later
// holder is ready. With one of the mechanisms disabled, the exploration finds the fault
// that the mechanism prevents.
func TestFencingInEveryInterleaving(t *testing.T) {
	is := is.New(t)
	counts := explore(mechanisms{fencing: true, leaseFromSendTime: true})
	t.Logf("with both mechanisms: %+v", counts)
	is.True(counts.writes > 0)
	is.Equal(counts.overwrites, 0)
	is.Equal(counts.lateWrites, 0)
	is.Equal(counts.twoHolders, 0)

	unfenced := explore(mechanisms{fencing: false, leaseFromSendTime: true})
	t.Logf("without fencing: %+v", unfenced)
	is.True(unfenced.overwrites > 0)
	is.True(unfenced.lateWrites > 0)

	late := explore(mechanisms{fencing: true, leaseFromSendTime: false})
	t.Logf("lease measured from the answer: %+v", late)
	is.True(late.twoHolders > 0)
}
