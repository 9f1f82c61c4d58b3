package responder

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// State is what a target says of itself.
type State string

// The states of a target.
const (
	StateServing  State = "serving"
	StateCold     State = "cold"
	StateDraining State = "draining"
)

// Report is the answer to GET /health.
type Report struct {
	State         State   `json:"state"`
	StartedUnixMs int64   `json:"started-unix-ms"`
	Load          float64 `json:"load"`
	Slots         int     `json:"slots"`
	OpenFlows     int64   `json:"open-flows"`
}

// health holds the switches of the health endpoint.
type health struct {
	mu       sync.Mutex
	lie      State
	lag      time.Duration
	draining bool
	// reported is what a lagging endpoint repeats until the lag is over.
	reported   Report
	reportedAt time.Time
}

func (t *Responder) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.report(time.Now()))
	})
	mux.HandleFunc("POST /switch", t.switchHealth)
	return mux
}

// report returns what the endpoint says: the truth, the lie, or, while it lags,
// what was so up to one lag ago.
func (t *Responder) report(now time.Time) Report {
	started, open, cold := t.warmth.view(now)
	h := &t.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lag > 0 && !h.reportedAt.IsZero() && now.Sub(h.reportedAt) < h.lag {
		return h.reported
	}
	r := Report{
		State: StateServing, StartedUnixMs: started.UnixMilli(),
		Load: t.slots.load(), Slots: t.settings.Slots, OpenFlows: open,
	}
	switch {
	case h.lie != "":
		r.State = h.lie
	case h.draining:
		r.State = StateDraining
	case cold:
		r.State = StateCold
	}
	h.reported, h.reportedAt = r, now
	return r
}

// switchHealth sets the switches that the query names: lie=healthy|cold|
// draining|off, lag=DURATION, drain=1|0, cold=1.
func (t *Responder) switchHealth(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	lag, err := parseLag(query.Get("lag"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if query.Get("cold") == "1" {
		t.warmth.chill(time.Now())
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
		t.health.lie = ""
	case "healthy":
		t.health.lie = StateServing
	default:
		t.health.lie = State(lie)
	}
}

func parseLag(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
