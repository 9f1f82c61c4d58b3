package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	// maxValueBytes is the largest value that is taken.
	maxValueBytes = 1 << 20
	// sweepInterval is how often sessions are checked for their end.
	sweepInterval = 20 * time.Millisecond
)

// Server is the stand-in. Its methods may be called from several goroutines.
type Server struct {
	store    *store
	switches switches
	counter  counter
}

// New returns an empty stand-in without faults.
func New() *Server {
	return &Server{store: newStore()}
}

// Run ends sessions in time until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.store.sweep()
		}
	}
}

// Calls returns the counters.
func (s *Server) Calls() Calls { return s.counter.read() }

// API returns the handler of the platform's API.
func (s *Server) API() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.guard(false, s.read))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.guard(true, s.write))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.guard(true, s.remove))
	mux.HandleFunc("PUT /v1/session/create", s.guard(true, s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.guard(true, s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.guard(true, s.destroySession))
	return mux
}

// Admin returns the handler of the switches and counters.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, r *http.Request) {
		err := r.ParseForm()
		if err == nil {
			err = s.Switch(r.Form)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
	return mux
}

// guard shows the faults that come before a call is run.
func (s *Server) guard(writes bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxValueBytes)
		if delay := s.switches.delay(); delay > 0 {
			time.Sleep(delay)
		}
		s.endIfDown()
		if !s.switches.allow(writes) {
			s.counter.add(func(c *Calls) { c.RateLimited++ })
			http.Error(w, "rate limit reached", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// endIfDown closes the connection without an answer during an outage.
func (s *Server) endIfDown() {
	if s.switches.down() {
		panic(http.ErrAbortHandler)
	}
}

// answer writes the result of a call.
func (s *Server) answer(w http.ResponseWriter, status int, body []byte) {
	s.endIfDown()
	s.counter.add(func(c *Calls) { c.BytesOut += uint64(len(body)) })
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// answerWrite writes the result of a write, unless its answer is lost.
func (s *Server) answerWrite(w http.ResponseWriter, body []byte) {
	if s.switches.takeLost() {
		s.counter.add(func(c *Calls) { c.Lost++ })
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, body)
}

// body reads a request's body.
func (s *Server) body(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	s.counter.add(func(c *Calls) { c.BytesIn += uint64(len(data)) })
	return data, err
}
