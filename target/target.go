// Package target probes the health of targets over HTTP.
//
// # Usage
//
//	p := target.New()
//	p.Targets = func() []*planner.Target { … }
//	p.OnProbe = func(id planner.TargetID, probe assessor.Probe) { … }
//	err := p.Run(ctx) // until ctx is done
//
// A target responds to GET /health at its health address with
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
	// Interval is the time between the starts of two rounds of probes.
	Interval = time.Second
	// probeTimeout bounds one probe, from the connect to the end of the response.
	probeTimeout = 800 * time.Millisecond
	// maxConcurrentProbes bounds the number of probes that run at the same time.
	maxConcurrentProbes = 32
	// maxReportBytes bounds the part of a response body that is read.
	maxReportBytes = 4 << 10
)

// Report is the body of a target's health response. A probe only uses StartedUnixMs; the
// other fields must have the right JSON type, or the report is malformed.
type Report struct {
	State string `json:"state"`
	// StartedUnixMs is the start time of the target's process, in milliseconds since the
	// Unix epoch; 0 stands for unknown.
	StartedUnixMs int64   `json:"started-unix-ms"`
	Load          float64 `json:"load"`
	Slots         int     `json:"slots"`
	OpenFlows     int64   `json:"open-flows"`
}

// StatusError reports a health response with an HTTP status other than 200.
type StatusError struct {
	status int
}

// Status returns the HTTP status code.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string {
	return "the health response has the status " + http.StatusText(e.status)
}

// ReportError reports a health response whose body can't be read or is not a valid Report.
type ReportError struct {
	address netip.AddrPort
	cause   error
}

// Address returns the health address of the target.
func (e *ReportError) Address() netip.AddrPort { return e.address }

// Unwrap returns the error of the read or of the JSON decoder.
func (e *ReportError) Unwrap() error { return e.cause }

func (e *ReportError) Error() string {
	return "reading the health report of " + e.address.String() + ": " + e.cause.Error()
}

// Prober probes the health of targets periodically. Its fields must be set before Run.
type Prober struct {
	// Targets returns the targets to probe. It is called once for each round of probes.
	Targets func() []*planner.Target
	// OnProbe is called with the outcome of each probe, from several goroutines at once.
	OnProbe func(planner.TargetID, assessor.Probe)
	// Fetch requests the health report of the target with the health address.
	Fetch func(ctx context.Context, address netip.AddrPort) (Report, error)
	// Count adds n to the counter of all probes, or of the probes that failed for one
	// reason. Events lists the names. It is called from several goroutines at once.
	Count func(name string, n int64)
}

// New returns a Prober without targets, whose Fetch uses HTTP without following redirects.
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
			return fetchReport(ctx, client, address)
		},
	}
}

// Run probes all targets once each Interval until ctx is done, and then returns nil. A
// round that takes longer than Interval delays the next one.
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

// probeAll probes each target once and waits for all outcomes.
func (p *Prober) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, t := range p.Targets() {
		group.Go(func() error {
			p.probe(ctx, t)
			return nil
		})
	}
	_ = group.Wait() // No probe returns an error.
}

// probe probes one target, counts the outcome and passes it to OnProbe.
func (p *Prober) probe(ctx context.Context, t *planner.Target) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.Fetch(probeCtx, t.HealthAddress())
	if ctx.Err() != nil {
		return // Run is stopping: the probe was cancelled, so it shows nothing about the target.
	}
	p.Count("probes", 1)
	probe := assessor.Probe{At: time.Now(), Answered: err == nil}
	if err != nil {
		p.Count("probe-"+failureReason(err), 1)
	} else if report.StartedUnixMs > 0 {
		probe.Started = time.UnixMilli(report.StartedUnixMs)
	}
	p.OnProbe(t.ID(), probe)
}

// The reasons why a probe failed. Each is the last part of a counter name.
const (
	reasonTimedOut    = "timed-out"
	reasonMalformed   = "malformed"
	reasonUnreachable = "unreachable"
)

// Events returns all counter names that the package passes to Prober.Count.
func Events() []string {
	return []string{"probes", "probe-" + reasonTimedOut, "probe-" + reasonMalformed, "probe-" + reasonUnreachable}
}

// failureReason returns the reason why a probe failed with err.
func failureReason(err error) string {
	var status *StatusError
	var report *ReportError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTimedOut
	case errors.As(err, &status), errors.As(err, &report):
		return reasonMalformed
	default:
		return reasonUnreachable
	}
}

// fetchReport requests /health from an address and decodes the report. It returns a
// StatusError or a ReportError if the target responds, but not with a report.
func fetchReport(ctx context.Context, client *http.Client, address netip.AddrPort) (Report, error) {
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
