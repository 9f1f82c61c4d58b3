// Package kvserver is an in-memory stand-in for the platform, the Consul store that
// balancers and operators share: it serves Consul's KV and session HTTP API, counts
// its calls, and fails on demand.
//
// # Usage
//
//	server := kvserver.New()
//	group.Go(func() error { return server.Run(ctx) })
//	group.Go(func() error { return http.ListenAndServe("127.0.0.1:8500", server.API()) })
//	group.Go(func() error { return http.ListenAndServe("127.0.0.1:8501", server.Admin()) })
//
// POST /switch on the admin address injects faults, with any of these parameters:
//
//   - outage=on|off closes connections without a response.
//   - slow=200ms delays each call.
//   - lose-answers=3 runs the next 3 writes, but closes their connections without
//     a response.
//   - stale=on|off answers reads without the parameter "consistent" from a
//     snapshot, taken when the switch was set.
//   - lapse-sessions=1 ends all sessions.
//   - save=1 takes a snapshot of all keys and sessions, and restore=1 goes back to it and
//     raises the number in the header Store-Era of all responses.
//   - read-rate=2000 and write-rate=300 limit the calls a second; 0 sets no limit.
//
// GET /calls returns the counters as JSON.
package kvserver

import (
	"maps"
	"sync"
	"time"
)

// record is the value and the lock of one key. Its indexes are values of the
// store's index, which grows by 1 with each write.
type record struct {
	value       []byte
	createIndex uint64
	modifyIndex uint64
	// lockIndex counts how often the key was locked.
	lockIndex uint64
	// session is the ID of the session that locks the key, or "" if none does.
	session string
}

// session is a lease that ends at its deadline unless it is renewed.
type session struct {
	ttl      time.Duration
	deadline time.Time
}

// snapshot holds all keys as of one index of the store.
type snapshot struct {
	index   uint64
	records map[string]record
	// sessions is set in saved snapshots only.
	sessions map[string]session
}

// clone returns a copy with a record map of its own; the values are shared.
func (s snapshot) clone() snapshot {
	records := make(map[string]record, len(s.records))
	for key, r := range s.records {
		records[key] = r
	}
	return snapshot{index: s.index, records: records}
}

// store holds the keys and sessions of the stand-in.
type store struct {
	mu      sync.Mutex
	now     func() time.Time
	current snapshot
	// stale, unless it is nil, answers the reads that don't ask for consistency.
	stale *snapshot
	// saved is what restore goes back to; nil if nothing was saved. era is 1 more than the
	// number of times that it did.
	saved    *snapshot
	era      uint64
	sessions map[string]session
	// changes holds a channel for each watched key, closed at its next change.
	changes map[string]chan struct{}
}

func newStore() *store {
	return &store{
		now:      time.Now,
		era:      1,
		current:  snapshot{index: 1, records: map[string]record{}},
		sessions: map[string]session{},
		changes:  map[string]chan struct{}{},
	}
}

// get returns a key's record, whether the key exists, and its modify index, or the
// index of the whole store if the key does not exist. A read that is not consistent
// sees the stale snapshot, if there is one.
func (s *store) get(key string, consistent bool) (record, bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.current
	if s.stale != nil && !consistent {
		snap = *s.stale
	}
	r, found := snap.records[key]
	index := snap.index
	if found {
		index = r.modifyIndex
	}
	return r, found, index
}

// nextChange returns a channel that is closed at the next change of the key.
func (s *store) nextChange(key string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.changes[key]
	if !ok {
		c = make(chan struct{})
		s.changes[key] = c
	}
	return c
}

// wakeAllWaiters ends all blocking queries. The caller holds s.mu.
func (s *store) wakeAllWaiters() {
	for key := range s.changes {
		s.wakeWaiters(key)
	}
}

// wakeWaiters ends the blocking queries for the key. The caller holds s.mu.
func (s *store) wakeWaiters(key string) {
	if c, ok := s.changes[key]; ok {
		close(c)
		delete(s.changes, key)
	}
}

// put writes the key. With checkIndex, it changes nothing and returns false unless
// the key's modify index equals index; index 0 stands for a key that does not exist.
func (s *store) put(key string, value []byte, checkIndex bool, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current.records[key]
	if checkIndex && r.modifyIndex != index {
		return false
	}
	r.value = value
	s.setRecord(key, r)
	return true
}

// setRecord stores a record under the next index of the store. The caller holds
// s.mu.
func (s *store) setRecord(key string, r record) {
	s.current.index++
	r.modifyIndex = s.current.index
	if r.createIndex == 0 {
		r.createIndex = s.current.index
	}
	s.current.records[key] = r
	s.wakeWaiters(key)
}

// remove deletes the key, with the same check as put.
func (s *store) remove(key string, checkIndex bool, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.current.records[key]
	if checkIndex && r.modifyIndex != index {
		return false
	}
	if found {
		s.current.index++
		delete(s.current.records, key)
		s.wakeWaiters(key)
	}
	return true
}

// takeSnapshot copies the current keys to target, which is &s.stale or &s.saved.
func (s *store) takeSnapshot(target **snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.current.clone()
	snap.sessions = maps.Clone(s.sessions)
	*target = &snap
}

// discardSnapshot sets target to nil and ends all blocking queries, so that their
// callers see the current keys.
func (s *store) discardSnapshot(target **snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*target = nil
	s.wakeAllWaiters()
}

// restore goes back to the saved snapshot, also with the store's index and sessions, and
// begins a new era. It returns false if nothing was saved.
func (s *store) restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		return false
	}
	s.current = s.saved.clone()
	s.sessions = maps.Clone(s.saved.sessions)
	s.era++
	s.wakeAllWaiters()
	return true
}

// currentEra returns the number of the era.
func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
