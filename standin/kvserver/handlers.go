package kvserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// indexHeader carries the index of a read key: its modify index, or the index
	// of the whole store if the key does not exist.
	indexHeader = "X-Consul-Index"
	// eraHeader carries the era, which rises by one each time that the store returns from
	// a saved copy. Consul has no such header.
	eraHeader = "Store-Era"
	// defaultWait is how long a blocking query waits if its "wait" parameter is
	// missing or invalid; maxWait is the upper limit of that parameter.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// defaultTTL is the time to live of a session whose TTL is missing or invalid.
	defaultTTL = 10 * time.Second
)

// pair is one element of the response to a read, in Consul's JSON form.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex uint64
	ModifyIndex uint64
}

// readKey answers GET /v1/kv/{key}; with an "index" parameter, it is a blocking
// query that waits for the key's next change.
func (s *Server) readKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	if after > 0 {
		s.counter.update(func(c *CallCounts) { c.Watches++ })
		s.waitForChange(r, key, after)
	} else {
		s.counter.update(func(c *CallCounts) { c.Gets++ })
	}
	rec, found, index := s.store.get(key, query.Has("consistent"))
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if !found {
		s.respond(w, http.StatusNotFound, nil)
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
		s.counter.update(func(c *CallCounts) { c.WatchBytesOut += uint64(len(body)) })
	}
	s.respond(w, http.StatusOK, body)
}

// waitForChange returns at once if the key's modify index differs from after, if the
// store's index is below after (a restore can lower it), or during an outage.
// Otherwise, it returns at the key's next change, when the request's wait time is
// over, or when the client has disconnected.
func (s *Server) waitForChange(r *http.Request, key string, after uint64) {
	changed := s.store.nextChange(key)
	_, found, index := s.store.get(key, false)
	if s.switches.inOutage() || index < after || found && index != after {
		return
	}
	timer := time.NewTimer(waitDuration(r))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// waitDuration returns how long a blocking query may wait.
func waitDuration(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

// writeKey answers PUT /v1/kv/{key}, with the parameters acquire, release or cas.
func (s *Server) writeKey(w http.ResponseWriter, r *http.Request) {
	s.counter.update(func(c *CallCounts) { c.Writes++ })
	value, err := s.readBody(r)
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
	s.respondToWrite(w, strconv.AppendBool(nil, done))
}

// deleteKey answers DELETE /v1/kv/{key}, with or without the parameter cas.
func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	s.counter.update(func(c *CallCounts) { c.Deletes++ })
	index, err := casIndex(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := s.store.remove(r.PathValue("key"), r.URL.Query().Has("cas"), index)
	s.respondToWrite(w, strconv.AppendBool(nil, done))
}

// casIndex returns the index of a compare-and-swap, which the parameter cas gives,
// or 0 without this parameter.
func casIndex(r *http.Request) (uint64, error) {
	query := r.URL.Query()
	if !query.Has("cas") {
		return 0, nil
	}
	return strconv.ParseUint(query.Get("cas"), 10, 64)
}

// createSession answers PUT /v1/session/create.
func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	s.counter.update(func(c *CallCounts) { c.Sessions++ })
	data, err := s.readBody(r)
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
	s.respondToWrite(w, body)
}

// renewSession answers PUT /v1/session/renew/{id}.
func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.counter.update(func(c *CallCounts) { c.Sessions++ })
	if !s.store.renewSession(r.PathValue("id")) {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	s.respondToWrite(w, []byte("[]"))
}

// destroySession answers PUT /v1/session/destroy/{id}, also for an unknown session.
func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.counter.update(func(c *CallCounts) { c.Sessions++ })
	s.store.destroySession(r.PathValue("id"))
	s.respondToWrite(w, []byte("true"))
}
