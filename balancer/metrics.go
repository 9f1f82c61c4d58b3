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

// metricsPath is the path of the metrics in the Prometheus text format.
const metricsPath = "/metrics"

// metricSet holds the balancer's counters, gauges and histograms; docs/COUNTERS.md
// describes each of them.
type metricSet struct {
	set               *metrics.Set
	batchDuration     *metrics.Histogram
	packetsUnsent     *metrics.Counter
	entryErrors       *metrics.Counter
	peerResponsesLost *metrics.Counter
	linesLeftOut      *metrics.Counter
	// loadReportsSent and loadReportsReceived count load reports; the bytes are those of all
	// messages about the load.
	loadReportsSent, loadReportsReceived *metrics.Counter
	loadBytesSent, loadBytesReceived     *metrics.Counter
	// mu guards decisions. Balancer.mu guards badPackets.
	mu         sync.Mutex
	decisions  map[decisionKey]*metrics.Counter
	badPackets map[string]*metrics.Counter
}

// decisionKey identifies the counter of a kind of decision.
type decisionKey struct {
	action director.Action
	reason director.Reason
}

func newMetricSet(b *Balancer) *metricSet {
	set := metrics.NewSet()
	m := &metricSet{
		set:                 set,
		batchDuration:       set.NewHistogram("trefoilspring_batch_seconds"),
		packetsUnsent:       set.NewCounter("trefoilspring_packets_unsent_total"),
		entryErrors:         set.NewCounter("trefoilspring_entry_errors_total"),
		peerResponsesLost:   set.NewCounter("trefoilspring_peer_answers_lost_total"),
		linesLeftOut:        set.NewCounter("trefoilspring_log_lines_left_out_total"),
		loadReportsSent:     set.NewCounter("trefoilspring_load_reports_sent_total"),
		loadReportsReceived: set.NewCounter("trefoilspring_load_reports_received_total"),
		loadBytesSent:       set.NewCounter(`trefoilspring_load_bytes_total{direction="sent"}`),
		loadBytesReceived:   set.NewCounter(`trefoilspring_load_bytes_total{direction="received"}`),
		decisions:           make(map[decisionKey]*metrics.Counter),
		badPackets:          make(map[string]*metrics.Counter),
	}
	set.NewGauge("trefoilspring_view_age_seconds", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		age, _ := b.view.replica.Age(b.ViewClock())
		return age.Seconds()
	})
	set.NewGauge("trefoilspring_view_revision", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.view.replica.Revision())
	})
	set.NewGauge("trefoilspring_store_era", func() float64 { return float64(b.storeEra()) })
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
		if b.follower.ZoneIsolated() {
			return 1
		}
		return 0
	})
	set.NewGauge("trefoilspring_peers", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.view.peers))
	})
	set.NewGauge("trefoilspring_load_combining", func() float64 {
		b.load.mu.Lock()
		defer b.load.mu.Unlock()
		if b.load.combining {
			return 1
		}
		return 0
	})
	set.NewGauge("trefoilspring_load_zones", func() float64 { return float64(len(b.load.summaries())) })
	set.NewGauge("trefoilspring_load_age_seconds", func() float64 {
		return b.load.summaries()[b.settings.AvailabilityZone].Age.Seconds()
	})
	set.NewGauge("trefoilspring_load_reporters", func() float64 {
		return float64(b.load.summaries()[b.settings.AvailabilityZone].Balancers)
	})
	return m
}

// countDroppedReport counts a load report that wasn't used, or not whole.
func (m *metricSet) countDroppedReport(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_load_reports_dropped_total{reason=%q}`, reason)).Inc()
}

// countDecision counts a decision by action and reason.
func (m *metricSet) countDecision(d director.Decision) {
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

// countTurnedAway counts a new flow that was turned away, by its urgency.
func (m *metricSet) countTurnedAway(urgency int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_openings_turned_away_total{urgency="%d"}`, urgency)).Inc()
}

// rejectionCounts returns the numbers of packets that were answered with a reset or
// dropped, by reason. The keys begin with refusedPrefix and droppedPrefix.
func (m *metricSet) rejectionCounts() map[string]uint64 {
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

// Prefixes of the keys of rejectionCounts. The status command adds up the counters of
// all balancers by these prefixes.
const (
	refusedPrefix = "refused-"
	droppedPrefix = "dropped-"
)

// Label values for the kind of source that an update of the view was fetched from.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// recordFetch records the duration of a fetch that began at start, and counts its error
// if there was one.
func (m *metricSet) recordFetch(source string, start time.Time, err error) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`trefoilspring_view_fetch_seconds{source=%q}`, source)).UpdateDuration(start)
	if err != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_view_fetch_errors_total{source=%q}`, source)).Inc()
	}
}

// countCheck counts a target check by its verdict.
func (m *metricSet) countCheck(v director.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`trefoilspring_target_checks_total{verdict=%q}`, v.String())).Inc()
}

// setAwayPart sets the part of a service's new flows that leaves the availability zone.
func (m *metricSet) setAwayPart(service string, part float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`trefoilspring_away_part{service=%q}`, service), nil).Set(part)
}

// countBadPacket counts a datagram that was dropped because it could not be parsed.
// Balancer.mu must be held.
func (m *metricSet) countBadPacket(reason string) {
	c := m.badPackets[reason]
	if c == nil {
		c = m.set.NewCounter(fmt.Sprintf(`trefoilspring_bad_packets_total{reason=%q}`, reason))
		m.badPackets[reason] = c
	}
	c.Inc()
}

// serveMetrics serves metrics and diagnostics until ctx ends, or returns at once if no
// metrics address is set.
func (b *Balancer) serveMetrics(ctx context.Context) error {
	if !b.settings.MetricsAddress.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		b.metrics.set.WritePrometheus(w)
	})
	b.registerDiagnostics(mux)
	return serveHTTP(ctx, b.settings.MetricsAddress, mux)
}
