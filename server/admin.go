package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/explainer"
)

// adminReadTimeout bounds the time to read the header of one admin request.
const adminReadTimeout = 5 * time.Second

// stateNames holds the names of balancer states in admin responses.
var stateNames = map[detector.State]string{
	detector.Joining: "joining",
	detector.Ready:   "ready",
	detector.Leaving: "leaving",
	detector.Gone:    "gone",
}

// serveAdmin serves the admin HTTP interface until ctx is done: liveness, readiness,
// status, counters and explanations of flows.
func (s *Server) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.HandleFunc("GET "+explainer.StatusPath, explainer.NewHandler(func(*http.Request) (any, error) {
		return s.status(time.Now()), nil
	}))
	mux.HandleFunc("GET "+explainer.CountersPath, s.serveCounters)
	mux.HandleFunc("GET "+explainer.FlowPath, explainer.NewHandler(func(r *http.Request) (any, error) {
		flow, err := explainer.ParseFlow(r.URL.Query())
		if err != nil {
			return nil, err
		}
		return s.explain(time.Now(), flow), nil
	}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminReadTimeout}
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

// serveReady responds with the name of the balancer's state, and with status 200 if it is
// ready, else 503.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.coordinator.State()
	s.mu.Unlock()
	if state != detector.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, stateNames[state])
}

// serveCounters responds with all counters as a JSON object.
func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintln(w, s.vars.String())
}

// status returns the balancer's state, revisions and members.
func (s *Server) status(now time.Time) explainer.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.coordinator.Tracker()
	status := explainer.Status{
		Name:             s.settings.Name,
		AvailabilityZone: s.settings.AvailabilityZone,
		State:            stateNames[s.coordinator.State()],
		PreparedRevision: s.coordinator.Revision(),
		TrackedBuckets:   t.Tracked(),
		Records:          t.Records(),
	}
	if p := t.Active(); p != nil {
		status.ActiveRevision = p.Revision()
	}
	for _, m := range s.coordinator.Members(now) {
		contact, _ := s.node.Contact(m.ID())
		status.Members = append(status.Members, explainer.MemberStatus{
			Name:           contact.Name,
			State:          stateNames[m.State()],
			Suspect:        m.Suspect(),
			ActiveRevision: m.ActiveRevision(),
		})
	}
	return status
}
