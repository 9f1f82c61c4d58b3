package kvserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxValueBytes is the largest request body that is accepted.
	maxValueBytes = 1 << 20
	// sweepInterval is how often Run looks for sessions whose time to live is over.
	sweepInterval = 20 * time.Millisecond
)

// Server serves the stand-in's API and its admin interface. Its methods may be
// called from several goroutines.
type Server struct {
	store    *store
	switches switches
	counter  counter
}

// New returns a Server with an empty store and all fault switches off.
func New() *Server {
	return &Server{store: newStore()}
}

// Run ends sessions whose time to live is over, until ctx is done. It always
// returns nil.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.store.sweepExpiredSessions()
		}
	}
}

// Calls returns the counters of the calls since the start.
func (s *Server) Calls() CallCounts { return s.counter.snapshot() }

// API returns the handler of Consul's KV and session API.
func (s *Server) API() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.withFaults(false, s.readKey))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.withFaults(true, s.writeKey))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.withFaults(true, s.deleteKey))
	mux.HandleFunc("PUT /v1/session/create", s.withFaults(true, s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.withFaults(true, s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.withFaults(true, s.destroySession))
	return mux
}

// Admin returns the handler of POST /switch and GET /calls.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, r *http.Request) {
		err := r.ParseForm()
		if err == nil {
			err = s.SetSwitches(r.Form)
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

// withFaults applies the faults that take effect before a call runs: the delay, the
// outage and the rate limits. The flag writes selects the rate limit of writes
// instead of that of reads.
func (s *Server) withFaults(writes bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxValueBytes)
		if delay := s.switches.delay(); delay > 0 {
			time.Sleep(delay)
		}
		s.abortInOutage()
		if !s.switches.allowCall(writes) {
			s.counter.update(func(c *CallCounts) { c.RateLimited++ })
			http.Error(w, "rate limit reached", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

// abortInOutage closes the connection without a response during an outage.
func (s *Server) abortInOutage() {
	if s.switches.inOutage() {
		panic(http.ErrAbortHandler)
	}
}

// respond sends the response of a call.
func (s *Server) respond(w http.ResponseWriter, status int, body []byte) {
	s.abortInOutage()
	s.counter.update(func(c *CallCounts) { c.BytesOut += uint64(len(body)) })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(s.store.currentEra(), 10))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// respondToWrite sends the response of a write that has run, or closes the
// connection without one if the switch lose-answers is set.
func (s *Server) respondToWrite(w http.ResponseWriter, body []byte) {
	if s.switches.takeLostAnswer() {
		s.counter.update(func(c *CallCounts) { c.LostAnswers++ })
		panic(http.ErrAbortHandler)
	}
	s.respond(w, http.StatusOK, body)
}

// readBody reads and counts the body of a request. It returns an error if the body
// is larger than maxValueBytes.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	s.counter.update(func(c *CallCounts) { c.BytesIn += uint64(len(data)) })
	return data, err
}
