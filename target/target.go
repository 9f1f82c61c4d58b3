// Package target asks targets for their health.
//
// # Usage
//
//	p := target.New()
//	p.Targets = func() []*planner.Target { … }
//	p.OnProbe = func(id planner.TargetID, probe assessor.Probe) { … }
//	err := p.Run(ctx) // until ctx ends
//
// A target answers GET /health at its health address with
//
//	{"state": "serving", "started-unix-ms": 1764846488000, "load": 0.3, "slots": 3, "open-flows": 120}
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/planner"
)

const (
	// Interval is the time between two probes of a target.
	Interval = time.Second
	// timeout bounds one probe.
	timeout = 800 * time.Millisecond
	// maxAtOnce bounds the probes under way.
	maxAtOnce = 32
	// maxReportBytes bounds an answer.
	maxReportBytes = 4 << 10
)

// Report is what a target says of itself.
type Report struct {
	State         string  `json:"state"`
	StartedUnixMs int64   `json:"started-unix-ms"`
	Load          float64 `json:"load"`
	Slots         int     `json:"slots"`
	OpenFlows     int64   `json:"open-flows"`
}

// StatusError reports an answer that is not a report.
type StatusError struct {
	status int
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string { return "the target answered " + http.StatusText(e.status) }

// ReportError reports an answer that can't be read.
type ReportError struct {
	address netip.AddrPort
	cause   error
}

// Address returns whose answer it was.
func (e *ReportError) Address() netip.AddrPort { return e.address }

// Unwrap returns what went wrong.
func (e *ReportError) Unwrap() error { return e.cause }

func (e *ReportError) Error() string {
	return "reading the report of " + e.address.String() + ": " + e.cause.Error()
}

// Prober probes targets again and again. Its fields must be set before Run.
type Prober struct {
	// Targets returns the targets to probe now.
	Targets func() []*planner.Target
	// OnProbe takes the outcome of each probe; it is called from several goroutines.
	OnProbe func(planner.TargetID, assessor.Probe)
	// Fetch asks one target.
	Fetch func(ctx context.Context, address netip.AddrPort) (Report, error)
	// Count counts the probes, and the failed ones by reason.
	Count func(name string, n int64)
}

// New returns a Prober that asks over HTTP, and has no targets.
func New() *Prober {
	client := &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Prober{
		Targets: func() []*planner.Target { return nil },
		OnProbe: func(planner.TargetID, assessor.Probe) {},
		Count:   func(string, int64) {},
		Fetch: func(ctx context.Context, address netip.AddrPort) (Report, error) {
			return fetch(ctx, client, address)
		},
	}
}

// Run probes once each Interval until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.probeAll(ctx)
		}
	}
}

func (p *Prober) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxAtOnce)
	for _, t := range p.Targets() {
		group.Go(func() error {
			p.probe(ctx, t)
			return nil
		})
	}
	_ = group.Wait() // No probe returns an error.
}

func (p *Prober) probe(ctx context.Context, t *planner.Target) {
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := p.Fetch(probeCtx, t.Health())
	if ctx.Err() != nil {
		return // The end of Run says nothing about the target.
	}
	p.Count("probes", 1)
	probe := assessor.Probe{At: time.Now(), Answered: err == nil}
	if err != nil {
		p.Count("probe-"+reason(err), 1)
	} else if report.StartedUnixMs > 0 {
		probe.Started = time.UnixMilli(report.StartedUnixMs)
	}
	p.OnProbe(t.ID(), probe)
}

// The reasons for a failed probe.
const (
	timedOut    = "timed-out"
	malformed   = "malformed"
	unreachable = "unreachable"
)

// Events returns the names that Count is called with.
func Events() []string {
	return []string{"probes", "probe-" + timedOut, "probe-" + malformed, "probe-" + unreachable}
}

// reason names why a probe failed.
func reason(err error) string {
	var status *StatusError
	var report *ReportError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return timedOut
	case errors.As(err, &status), errors.As(err, &report):
		return malformed
	default:
		return unreachable
	}
}

func fetch(ctx context.Context, client *http.Client, address netip.AddrPort) (Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health", http.NoBody)
	if err != nil {
		return Report{}, errors.Wrap(err, "building a probe")
	}
	response, err := client.Do(request)
	if err != nil {
		return Report{}, errors.Wrapf(err, "probing %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Report{}, &StatusError{status: response.StatusCode}
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, &ReportError{address: address, cause: err}
	}
	return report, nil
}
