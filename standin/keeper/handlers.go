package keeper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	indexHeader = "X-Consul-Index"
	// defaultWait and maxWait bound a blocking query.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// defaultTTL is the time to live of a session that names none.
	defaultTTL = 10 * time.Second
)

// pair is one element of the answer to a read.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex uint64
	ModifyIndex uint64
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	if after > 0 {
		s.counter.add(func(c *Calls) { c.Watches++ })
		s.wait(r, key, after)
	} else {
		s.counter.add(func(c *Calls) { c.Gets++ })
	}
	rec, found, index := s.store.get(key, query.Has("consistent"))
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if !found {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	body, err := json.Marshal([]pair{{
		LockIndex:   rec.lockIndex,
		Key:         key,
		Value:       rec.value,
		Session:     rec.session,
		CreateIndex: rec.createIndex,
		ModifyIndex: rec.modifyIndex,
	}})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if after > 0 {
		s.counter.add(func(c *Calls) { c.WatchBytesOut += uint64(len(body)) })
	}
	s.answer(w, http.StatusOK, body)
}

// wait returns when the key's index differs from after, or the wait is over.
func (s *Server) wait(r *http.Request, key string, after uint64) {
	changed := s.store.changed(key)
	_, found, index := s.store.get(key, false)
	if s.switches.down() || index < after || found && index != after {
		return
	}
	timer := time.NewTimer(waitOf(r))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func waitOf(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	s.counter.add(func(c *Calls) { c.Writes++ })
	value, err := s.body(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	query := r.URL.Query()
	var done bool
	switch {
	case query.Has("acquire"):
		valid := false
		done, valid = s.store.acquire(key, query.Get("acquire"), value)
		if !valid {
			http.Error(w, "invalid session", http.StatusInternalServerError)
			return
		}
	case query.Has("release"):
		done = s.store.release(key, query.Get("release"), value)
	default:
		index, err := casIndex(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		done = s.store.put(key, value, query.Has("cas"), index)
	}
	s.answerWrite(w, strconv.AppendBool(nil, done))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.counter.add(func(c *Calls) { c.Deletes++ })
	index, err := casIndex(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := s.store.remove(r.PathValue("key"), r.URL.Query().Has("cas"), index)
	s.answerWrite(w, strconv.AppendBool(nil, done))
}

func casIndex(r *http.Request) (uint64, error) {
	query := r.URL.Query()
	if !query.Has("cas") {
		return 0, nil
	}
	return strconv.ParseUint(query.Get("cas"), 10, 64)
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	s.counter.add(func(c *Calls) { c.Sessions++ })
	data, err := s.body(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var spec struct{ TTL string }
	if err := json.Unmarshal(data, &spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(spec.TTL)
	if err != nil || ttl <= 0 {
		ttl = defaultTTL
	}
	body, _ := json.Marshal(struct{ ID string }{s.store.createSession(ttl)})
	s.answerWrite(w, body)
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.counter.add(func(c *Calls) { c.Sessions++ })
	if !s.store.renewSession(r.PathValue("id")) {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	s.answerWrite(w, []byte("[]"))
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.counter.add(func(c *Calls) { c.Sessions++ })
	s.store.destroySession(r.PathValue("id"))
	s.answerWrite(w, []byte("true"))
}
