package kvserver

import (
	"crypto/rand"
	"fmt"
	"time"
)

// createSession starts a session and returns its ID: 16 random bytes in the form of a
// UUID.
func (s *store) createSession(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var id [16]byte
	_, _ = rand.Read(id[:])
	name := fmt.Sprintf("%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
	s.sessions[name] = session{ttl: ttl, deadline: s.now().Add(ttl)}
	return name
}

// renewSession restarts the session's time to live. It returns false if the
// session has ended.
func (s *store) renewSession(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredSessions()
	sess, ok := s.sessions[id]
	if !ok {
		return false
	}
	sess.deadline = s.now().Add(sess.ttl)
	s.sessions[id] = sess
	return true
}

// destroySession ends the session if it exists.
func (s *store) destroySession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(id)
}

// endAllSessions ends all sessions at once.
func (s *store) endAllSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.sessions {
		s.endSession(id)
	}
}

// sweepExpiredSessions ends the sessions whose time to live is over.
func (s *store) sweepExpiredSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredSessions()
}

// endExpiredSessions is sweepExpiredSessions for callers that hold s.mu.
func (s *store) endExpiredSessions() {
	now := s.now()
	for id, sess := range s.sessions {
		if !now.Before(sess.deadline) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and unlocks its keys, which keep their values.
func (s *store) endSession(id string) {
	delete(s.sessions, id)
	for key, r := range s.current.records {
		if r.session == id {
			r.session = ""
			s.setRecord(key, r)
		}
	}
}

// acquire writes the key and locks it for the session. The result locked is false
// if another session holds the lock; valid is false if the session has ended.
func (s *store) acquire(key, id string, value []byte) (locked, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpiredSessions()
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
	s.setRecord(key, r)
	return true, true
}

// release writes the key and unlocks it. It returns false, and changes nothing, if
// the session does not hold the lock.
func (s *store) release(key, id string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current.records[key]
	if r.session != id {
		return false
	}
	r.session = ""
	r.value = value
	s.setRecord(key, r)
	return true
}
