package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store stands in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{}
	log      *record
}

func newStore(log *record) *store {
	return &store{revision: 20, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), log: log}
}

// set writes a key, or removes it if value is nil, and returns the time of the acknowledgement.
func (s *store) set(key string, value []byte, leaseID uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setLocked(key, value, leaseID)
}

func (s *store) setLocked(key string, value []byte, leaseID uint64) time.Time {
	old, had := s.items[key]
	if value == nil && !had {
		return time.Now()
	}
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, Removed: value == nil}
	if had {
		i.Created = old.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
		s.log.write("store revision %d %s = %s", s.revision, key, clip(string(value)))
	}
	return time.Now()
}

func clip(s string) string {
	if s == "" {
		return "(removed)"
	}
	if len(s) > 300 {
		return s[:300] + "..."
	}
	return s
}

// expire ends leases whose time is over, until done is closed.
func (s *store) expire(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().Before(l.end) {
				continue
			}
			delete(s.leases, id)
			for key, i := range s.items {
				if i.Lease == id {
					s.setLocked(key, nil, 0)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	return nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	last := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	id, _ := strconv.ParseUint(last, 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-range":
		s.list(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/v1/kv-lease":
		var b struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		s.lastID++
		ttl := time.Duration(b.TTLMs) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		got := s.lastID
		s.mu.Unlock()
		answer(w, 200, map[string]any{"lease": got, "ttlMs": b.TTLMs})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, 404, struct{}{})
			return
		}
		answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		answer(w, 404, struct{}{})
	}
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[k])
	}
	body := map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision}
	s.mu.Unlock()
	answer(w, 200, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		body := map[string]any{"events": events, "storeRevision": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			answer(w, 200, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, 412, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, struct{}{})
			return
		}
	}
	for _, p := range t.Puts {
		s.setLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.setLocked(k, nil, 0)
	}
	answer(w, 200, map[string]any{"revision": s.revision})
}
