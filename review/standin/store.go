package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeHistory = 20 * time.Second
	pageItems    = 50
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// item is a key of the store in the format of its calls.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is the platform's store: linearizable, with a history of 20 s.
type store struct {
	mu           sync.Mutex
	revision     uint64
	historyStart uint64
	items        map[string]item
	history      []item
	leases       map[uint64]lease
	nextLease    uint64
	changed      chan struct{}
	// largestAnswer is the size in bytes of the largest answer to a watch.
	largestAnswer int
}

func newStore() *store {
	return &store{revision: 100, historyStart: 100, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

// set writes a key, or removes it if value is nil, and returns when that was acknowledged.
func (s *store) set(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return time.Now()
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	old, exists := s.items[key]
	if value == nil && !exists {
		return
	}
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: old.Created, Lease: leaseID, Removed: value == nil, at: time.Now()}
	if !exists {
		i.Created = s.revision
	}
	if i.Removed {
		i.Created, i.Lease = 0, 0
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that ran out and drops history that is older than storeHistory.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			delete(s.leases, id)
			for key, i := range s.items {
				if i.Lease == id {
					s.put(key, nil, 0)
				}
			}
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
		s.historyStart = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// lapse ends all leases and removes their keys.
func (s *store) lapse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := len(s.leases)
	for id := range s.leases {
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.put(key, nil, 0)
			}
		}
	}
	return ended
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	status, body := s.handle(r)
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		s.mu.Lock()
		s.largestAnswer = max(s.largestAnswer, len(data))
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(r *http.Request) (int, any) {
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch {
	case r.URL.Path == "/v1/kv-key":
		return s.get(r.FormValue("key"))
	case r.URL.Path == "/v1/kv-range":
		return s.list(r.FormValue("prefix"), r.FormValue("after"))
	case r.URL.Path == "/v1/kv-watch":
		return s.watch(r)
	case r.URL.Path == "/v1/kv-txn":
		return s.transact(r)
	case r.URL.Path == "/v1/kv-lease":
		var l struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			return http.StatusBadRequest, struct{}{}
		}
		return http.StatusOK, map[string]any{"lease": s.grant(time.Duration(l.TTLMs) * time.Millisecond), "ttlMs": l.TTLMs}
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		return s.renew(last)
	}
	return http.StatusNotFound, struct{}{}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]any{"storeRevision": s.revision}
	}
	return http.StatusOK, i
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	return http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "hasMore": more, "storeRevision": s.revision}
}

// watch returns every change after a revision as soon as there is one, as PROTOCOL.md says:
// each event is an item as it was written, or a removal.
func (s *store) watch(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	ms, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone, events, revision, changed := after < s.historyStart, []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "storeRevision": revision}
		switch {
		case gone:
			return http.StatusGone, struct{}{}
		case len(events) > 0:
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, struct{}{}
		case <-timer.C:
			return http.StatusOK, answer
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.put(key, nil, 0)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := 77000 + s.nextLease
	s.leases[id] = lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	return id
}

func (s *store) renew(text string) (int, any) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	l.expiry = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}
