package responder

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// State is the health state that a target reports.
type State string

// The health states of a target.
const (
	// StateServing is the state of a target that accepts flows.
	StateServing State = "serving"
	// StateCold is the state of a target in its cold start, when it supports fewer
	// open flows.
	StateCold State = "cold"
	// StateDraining is the state of a target that is being drained.
	StateDraining State = "draining"
)

// Report is the response to GET /health.
type Report struct {
	State State `json:"state"`
	// StartedUnixMs is the start of the target in milliseconds since 1970.
	StartedUnixMs int64 `json:"started-unix-ms"`
	// Load is the share of the slots that are in use, from 0 to 1.
	Load float64 `json:"load"`
	// Slots is how many short requests the target runs concurrently.
	Slots     int   `json:"slots"`
	OpenFlows int64 `json:"open-flows"`
}

// healthEndpoint holds the test switches of the health endpoint and its last report.
type healthEndpoint struct {
	mu sync.Mutex
	// forcedState is reported in place of the actual state, unless it is empty.
	forcedState State
	// lag is the maximum age of cachedReport; 0 disables the cache.
	lag      time.Duration
	draining bool
	// cachedReport is the report that was computed at cachedAt. It is repeated
	// until it is as old as lag.
	cachedReport Report
	cachedAt     time.Time
}

// healthHandler returns the handler of the health endpoint and its test switches.
func (t *Responder) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.healthReport(time.Now()))
	})
	mux.HandleFunc("POST /switch", t.handleSwitch)
	return mux
}

// healthReport returns the report of the endpoint at now. It returns the cached
// report if that is younger than the lag; else it computes a new one, whose state
// is the forced state if one is set, and the actual state otherwise.
func (t *Responder) healthReport(now time.Time) Report {
	started, open, cold := t.coldStart.snapshot(now)
	h := &t.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lag > 0 && !h.cachedAt.IsZero() && now.Sub(h.cachedAt) < h.lag {
		return h.cachedReport
	}
	r := Report{
		State: StateServing, StartedUnixMs: started.UnixMilli(),
		Load: t.slots.utilization(), Slots: t.settings.Slots, OpenFlows: open,
	}
	switch {
	case h.forcedState != "":
		r.State = h.forcedState
	case h.draining:
		r.State = StateDraining
	case cold:
		r.State = StateCold
	}
	h.cachedReport, h.cachedAt = r, now
	return r
}

// handleSwitch sets the test switches of the health endpoint by the query
// parameters of the request. Parameters that are absent change nothing:
//
//   - lie=healthy|cold|draining forces the reported state; lie=off ends that.
//   - lag=DURATION makes the endpoint repeat a report until it is that old.
//   - drain=1 sets the target draining; drain=0 ends that.
//   - cold=1 restarts the cold start.
func (t *Responder) handleSwitch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	lag, err := parseLag(query.Get("lag"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if query.Get("cold") == "1" {
		t.coldStart.restart(time.Now())
	}
	t.health.mu.Lock()
	defer t.health.mu.Unlock()
	if query.Has("lag") {
		t.health.lag = lag
	}
	if query.Has("drain") {
		t.health.draining = query.Get("drain") == "1"
	}
	switch lie := query.Get("lie"); lie {
	case "":
	case "off":
		t.health.forcedState = ""
	case "healthy":
		t.health.forcedState = StateServing
	default:
		t.health.forcedState = State(lie)
	}
}

// parseLag parses the query parameter lag; an absent one is 0.
func parseLag(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
