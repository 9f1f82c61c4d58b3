package balancer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"trefoilspring.example/trefoilspring/director"
)

// metricsPath is where counters and histograms are served.
const metricsPath = "/metrics"

// meters are the balancer's counters, gauges and histograms; docs/COUNTERS.md
// says what each means.
type meters struct {
	set             *metrics.Set
	batch           *metrics.Histogram
	unsent          *metrics.Counter
	entryErrors     *metrics.Counter
	peerAnswersLost *metrics.Counter
	linesLeftOut    *metrics.Counter
	// mu guards decisions.
	mu        sync.Mutex
	decisions map[decisionKey]*metrics.Counter
	bad       map[string]*metrics.Counter
}

// decisionKey is what decisions are counted by.
type decisionKey struct {
	action director.Action
	reason director.Reason
}

func newMeters(b *Balancer) *meters {
	set := metrics.NewSet()
	m := &meters{
		set:             set,
		batch:           set.NewHistogram("trefoilspring_batch_seconds"),
		unsent:          set.NewCounter("trefoilspring_packets_unsent_total"),
		entryErrors:     set.NewCounter("trefoilspring_entry_errors_total"),
		peerAnswersLost: set.NewCounter("trefoilspring_peer_answers_lost_total"),
		linesLeftOut:    set.NewCounter("trefoilspring_log_lines_left_out_total"),
		decisions:       make(map[decisionKey]*metrics.Counter),
		bad:             make(map[string]*metrics.Counter),
	}
	set.NewGauge("trefoilspring_view_age_seconds", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		age, _ := b.view.replica.Age(time.Now())
		return age.Seconds()
	})
	set.NewGauge("trefoilspring_view_revision", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.view.replica.Revision())
	})
	set.NewGauge("trefoilspring_configuration_version", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		version, _ := b.director.Version()
		return float64(version)
	})
	set.NewGauge("trefoilspring_targets", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.director.Targets())
	})
	set.NewGauge("trefoilspring_zone_isolated", func() float64 {
		if b.follower.Isolated() {
			return 1
		}
		return 0
	})
	set.NewGauge("trefoilspring_peers", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.view.peers))
	})
	return m
}

// decision counts a decision by its action and reason, under the lock.
func (m *meters) decision(d director.Decision) {
	key := decisionKey{action: d.Action, reason: d.Reason}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.decisions[key]
	if c == nil {
		c = m.set.NewCounter(fmt.Sprintf(`trefoilspring_packets_total{decision=%q,reason=%q}`, d.Action.String(), d.Reason))
		m.decisions[key] = c
	}
	c.Inc()
}

// refusals returns how many packets were refused and dropped, by reason.
func (m *meters) refusals() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]uint64)
	for key, c := range m.decisions {
		switch key.action {
		case director.Reset:
			counts[refusedPrefix+string(key.reason)] = c.Get()
		case director.Drop:
			counts[droppedPrefix+string(key.reason)] = c.Get()
		case director.Forward:
		}
	}
	return counts
}

// Prefixes of the counters that status sums over a fleet.
const (
	refusedPrefix = "refused-"
	droppedPrefix = "dropped-"
)

// Kinds of sources of the view.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// fetched counts a question to a source of the view, with the time it took.
func (m *meters) fetched(source string, start time.Time, err error) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`trefoilspring_view_fetch_seconds{source=%q}`, source)).UpdateDuration(start)
	if err != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_view_fetch_errors_total{source=%q}`, source)).Inc()
	}
}

// check counts a check by its verdict, under the lock.
func (m *meters) check(v director.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_target_checks_total{verdict=%q}`, v.String())).Inc()
}

// badPacket counts a datagram that was dropped unread, under the lock.
func (m *meters) badPacket(reason string) {
	c := m.bad[reason]
	if c == nil {
		c = m.set.NewCounter(fmt.Sprintf(`trefoilspring_bad_packets_total{reason=%q}`, reason))
		m.bad[reason] = c
	}
	c.Inc()
}

func (b *Balancer) serveMetrics(ctx context.Context) error {
	if !b.settings.MetricsAddress.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		b.metrics.set.WritePrometheus(w)
	})
	b.handleQuestions(mux)
	return serve(ctx, b.settings.MetricsAddress, mux)
}
