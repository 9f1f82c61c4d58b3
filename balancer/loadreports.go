package balancer

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// droppedReportLinesPerSecond limits the log lines about reports that are dropped.
	droppedReportLinesPerSecond = 1
	// memberTTL is how long a balancer counts after its registration ended. Registrations lapse
	// while the store is down, and balancers that run register again within 6 s.
	memberTTL = 10 * time.Second
)

// Reasons for dropping a load report, beside those of aggregator.InvalidError.
const (
	reasonUnknownBalancer = "unknown-balancer"
	reasonUnknownEntry    = "unknown-target"
)

// takeReport ends the window of the balancer's own report. l.mu must be held.
func (l *load) takeReport(now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l.report, l.takenAt = b.director.TakeReport(now), now
	l.report.Balancer, l.report.AvailabilityZone = b.settings.Name, b.settings.AvailabilityZone
	if l.report.Window > 0 {
		l.countDropped(now, b.settings.Name, l.combiner.Add(now, 0, l.report))
		l.combiner.Unknown() // targets that were removed within the window
	}
}

// receive adds a report that arrived from another balancer.
func (l *load) receive(data []byte) {
	b := l.balancer
	l.mu.Lock()
	defer l.mu.Unlock()
	now := b.ViewClock()
	r, err := aggregator.DecodeReport(data)
	if err != nil {
		l.countDropped(now, "", err)
		return
	}
	if r.Window == 0 {
		return // the sender only asks for the Picture and the clock
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, member := l.members[r.Balancer]
	if p, registered := b.view.peers[r.Balancer]; registered && p.AvailabilityZone == b.settings.AvailabilityZone {
		member = true // since the last tick
	}
	if !member || r.AvailabilityZone != b.settings.AvailabilityZone {
		l.drop(now, r.Balancer, reasonUnknownBalancer)
		return
	}
	age := time.Duration(now.UnixNano()-r.Clock) - r.Held
	if err = l.combiner.Add(now, age, r); err == nil {
		b.metrics.loadReportsReceived.Inc()
	}
	l.countDropped(now, r.Balancer, err)
	if l.combiner.Unknown() > 0 {
		l.drop(now, r.Balancer, reasonUnknownEntry)
	}
}

// countDropped counts a report that isn't used because of an error. l.mu must be held.
func (l *load) countDropped(now time.Time, from string, err error) {
	var invalid *aggregator.InvalidError
	if errors.As(err, &invalid) {
		l.drop(now, from, invalid.Reason())
	}
}

// drop counts a report of a balancer that isn't used, or not whole, and logs it within a limit.
// l.mu must be held.
func (l *load) drop(now time.Time, from, reason string) {
	l.balancer.metrics.countDroppedReport(reason)
	if suppressed, ok := l.droppedLimiter.Allow(now); ok {
		l.balancer.log.Warn("load report dropped", "peer", from[:min(len(from), maxCauseBytes)], "reason", reason, "left-out", suppressed)
	}
}

// updateMembers updates the balancers of the own zone. l.mu must be held.
func (l *load) updateMembers(now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l.members[b.settings.Name] = now
	for name, p := range b.view.peers {
		if p.AvailabilityZone == b.settings.AvailabilityZone {
			l.members[name] = now
		}
	}
	maps.DeleteFunc(l.members, func(_ string, registered time.Time) bool { return now.Sub(registered) > memberTTL })
}
