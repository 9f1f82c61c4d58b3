package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/detector"
)

// adminTimeout bounds the reading of one admin request.
const adminTimeout = 5 * time.Second

var stateNames = map[detector.State]string{
	detector.Joining: "joining",
	detector.Ready:   "ready",
	detector.Leaving: "leaving",
	detector.Gone:    "gone",
}

// Status is what a balancer says of itself at /status.
type Status struct {
	Name             string         `json:"name"`
	AvailabilityZone string         `json:"availability-zone"`
	State            string         `json:"state"`
	Active           uint64         `json:"active-revision"`
	Prepared         uint64         `json:"prepared-revision"`
	Members          []MemberStatus `json:"members"`
	TrackedBuckets   int            `json:"tracked-buckets"`
	Records          int            `json:"records"`
}

// MemberStatus is another balancer as this one sees it.
type MemberStatus struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Suspect bool   `json:"suspect"`
	Active  uint64 `json:"active-revision"`
}

func (s *Server) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.HandleFunc("GET /status", s.serveStatus)
	mux.HandleFunc("GET /debug/vars", s.serveVars)
	mux.HandleFunc("GET /explain", s.serveExplain)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.AdminAddress.String())
	if err != nil {
		return errors.Wrap(err, "listening for admin requests")
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving admin requests")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.coordinator.State()
	s.mu.Unlock()
	if state != detector.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, stateNames[state])
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that went away needs no answer.
	_ = json.NewEncoder(w).Encode(s.status(time.Now()))
}

func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, s.vars.String())
}

func (s *Server) status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.coordinator.Tracker()
	status := Status{
		Name:             s.settings.Name,
		AvailabilityZone: s.settings.AvailabilityZone,
		State:            stateNames[s.coordinator.State()],
		Prepared:         s.coordinator.Revision(),
		TrackedBuckets:   t.Tracked(),
		Records:          t.Records(),
	}
	if p := t.Active(); p != nil {
		status.Active = p.Revision()
	}
	for _, m := range s.coordinator.Members(now) {
		contact, _ := s.node.Contact(m.ID())
		status.Members = append(status.Members, MemberStatus{
			Name:    contact.Name,
			State:   stateNames[m.State()],
			Suspect: m.Suspect(),
			Active:  m.Active(),
		})
	}
	return status
}
