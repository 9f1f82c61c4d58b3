// Package keeper is an in-memory stand-in of the platform: it serves Consul's KV
// and session HTTP API, counts its calls, and fails on demand.
//
// # Usage
//
//	server := keeper.New()
//	group.Go(func() error { return server.Run(ctx) })
//	group.Go(func() error { return http.ListenAndServe("127.0.0.1:8500", server.API()) })
//	group.Go(func() error { return http.ListenAndServe("127.0.0.1:8501", server.Admin()) })
//
// The switches are set by POST /switch on the admin address, with any of these
// parameters: outage=on|off, slow=200ms, lose-answers=3, stale=on|off,
// lapse-sessions=1, save=1, restore=1, read-rate=2000, write-rate=300. GET
// /calls answers the counters.
package keeper

import (
	"sync"
	"time"
)

// record is one key of the store.
type record struct {
	value       []byte
	createIndex uint64
	modifyIndex uint64
	lockIndex   uint64
	session     string
}

// session is a lease that ends at its deadline unless renewed.
type session struct {
	ttl      time.Duration
	deadline time.Time
}

// image is the state of the keys at one index.
type image struct {
	index   uint64
	records map[string]record
}

func (m image) clone() image {
	records := make(map[string]record, len(m.records))
	for key, r := range m.records {
		records[key] = r
	}
	return image{index: m.index, records: records}
}

// store is the state of the stand-in.
type store struct {
	mu       sync.Mutex
	now      func() time.Time
	current  image
	stale    *image
	saved    *image
	sessions map[string]session
	// waiting holds a channel for each watched key, closed at its next change.
	waiting map[string]chan struct{}
}

func newStore() *store {
	return &store{
		now:      time.Now,
		current:  image{index: 1, records: map[string]record{}},
		sessions: map[string]session{},
		waiting:  map[string]chan struct{}{},
	}
}

// get reads a key; a read that is not consistent sees the stale image, if there
// is one.
func (s *store) get(key string, consistent bool) (record, bool, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.current
	if s.stale != nil && !consistent {
		from = *s.stale
	}
	r, found := from.records[key]
	index := from.index
	if found {
		index = r.modifyIndex
	}
	return r, found, index
}

// changed returns a channel that is closed at the next change of the key.
func (s *store) changed(key string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.waiting[key]
	if !ok {
		c = make(chan struct{})
		s.waiting[key] = c
	}
	return c
}

// wakeAll ends all waits.
func (s *store) wakeAll() {
	for key := range s.waiting {
		s.wake(key)
	}
}

func (s *store) wake(key string) {
	if c, ok := s.waiting[key]; ok {
		close(c)
		delete(s.waiting, key)
	}
}

// put writes the key if its index is the wanted one.
func (s *store) put(key string, value []byte, checked bool, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current.records[key]
	if checked && r.modifyIndex != index {
		return false
	}
	r.value = value
	s.set(key, r)
	return true
}

func (s *store) set(key string, r record) {
	s.current.index++
	r.modifyIndex = s.current.index
	if r.createIndex == 0 {
		r.createIndex = s.current.index
	}
	s.current.records[key] = r
	s.wake(key)
}

func (s *store) remove(key string, checked bool, index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.current.records[key]
	if checked && r.modifyIndex != index {
		return false
	}
	if found {
		s.current.index++
		delete(s.current.records, key)
		s.wake(key)
	}
	return true
}

// keep saves an image, or makes it the stale one.
func (s *store) keep(target **image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.current.clone()
	*target = &m
}

// forget ends the stale image.
func (s *store) forget(target **image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*target = nil
	s.wakeAll()
}

// restore goes back to the saved image, with its index.
func (s *store) restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		return false
	}
	s.current = s.saved.clone()
	s.wakeAll()
	return true
}
