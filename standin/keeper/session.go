package keeper

import (
	"crypto/rand"
	"fmt"
	"time"
)

func (s *store) createSession(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var id [16]byte
	_, _ = rand.Read(id[:])
	name := fmt.Sprintf("%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
	s.sessions[name] = session{ttl: ttl, deadline: s.now().Add(ttl)}
	return name
}

func (s *store) renewSession(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, ok := s.sessions[id]
	if !ok {
		return false
	}
	held.deadline = s.now().Add(held.ttl)
	s.sessions[id] = held
	return true
}

func (s *store) destroySession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

// lapseSessions ends all sessions at once.
func (s *store) lapseSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		s.end(id)
	}
}

// sweep ends the sessions whose time to live is over.
func (s *store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *store) expire() {
	now := s.now()
	for id, held := range s.sessions {
		if !now.Before(held.deadline) {
			s.end(id)
		}
	}
}

// end removes a session and releases its keys, which keep their values.
func (s *store) end(id string) {
	delete(s.sessions, id)
	for key, r := range s.current.records {
		if r.session == id {
			r.session = ""
			s.set(key, r)
		}
	}
}

// acquire locks the key for the session. The second result is false for a
// session that has ended.
func (s *store) acquire(key, id string, value []byte) (locked, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.sessions[id]; !ok {
		return false, false
	}
	r := s.current.records[key]
	if r.session != "" && r.session != id {
		return false, true
	}
	if r.session == "" {
		r.lockIndex++
	}
	r.session = id
	r.value = value
	s.set(key, r)
	return true, true
}

func (s *store) release(key, id string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current.records[key]
	if r.session != id {
		return false
	}
	r.session = ""
	r.value = value
	s.set(key, r)
	return true
}
