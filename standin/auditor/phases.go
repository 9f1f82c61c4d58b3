package auditor

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilspring.example/trefoilspring/standin/journal"
)

// The histograms hold latencies from minLatencyMs to maxLatencyMs, to latencyDigits
// significant digits.
const (
	minLatencyMs  = 1
	maxLatencyMs  = 60_000
	latencyDigits = 3
)

// PhaseSummary sums the short requests that began before, during or after a zone
// outage.
type PhaseSummary struct {
	// Phase is "before", "out" (while the zone was out) or "after" (after its return).
	Phase    string `json:"phase"`
	Requests int    `json:"requests"`
	// AnsweredShare is the share of answered requests, from 0 to 1.
	AnsweredShare float64 `json:"answered-share"`
	// P50Ms and P99Ms are percentiles of the time from the first attempt of a
	// request to its response, in milliseconds.
	P50Ms int64 `json:"p50-ms"`
	P99Ms int64 `json:"p99-ms"`
}

// phases holds the names of the phases, in order of time.
var phases = [...]string{"before", "out", "after"}

// phaseAt returns the index in phases of the phase that a time lies in.
func (o ZoneOutage) phaseAt(unixMs int64) int {
	switch {
	case unixMs < o.AcceptedUnixMs:
		return 0
	case o.ReturnedUnixMs == 0 || unixMs < o.ReturnedUnixMs:
		return 1
	default:
		return 2
	}
}

// SummarizePhases sums the short requests of a run by the phases of its first
// zone outage. It returns nil for a run without a zone outage.
func SummarizePhases(in Input) []PhaseSummary {
	if len(in.Outages) == 0 {
		return nil
	}
	starts := firstAttemptStarts(in.Entries)
	var summaries [len(phases)]PhaseSummary
	var latencies [len(phases)]*hdrhistogram.Histogram
	for i := range phases {
		summaries[i].Phase = phases[i]
		latencies[i] = hdrhistogram.New(minLatencyMs, maxLatencyMs, latencyDigits)
	}
	answered := make([]int, len(phases))
	for _, e := range in.Entries {
		r := e.Request
		if r == nil || !r.Final || r.Kind == journal.KindStream {
			continue
		}
		phase := in.Outages[0].phaseAt(starts[r.ID])
		summaries[phase].Requests++
		if r.Outcome == journal.Answered {
			answered[phase]++
			// A latency outside the histogram's range counts as its nearest bound.
			_ = latencies[phase].RecordValue(min(max(r.EndUnixMs-starts[r.ID], minLatencyMs), maxLatencyMs))
		}
	}
	for i := range summaries {
		summaries[i].AnsweredShare = float64(answered[i]) / float64(max(summaries[i].Requests, 1))
		summaries[i].P50Ms = latencies[i].ValueAtQuantile(50)
		summaries[i].P99Ms = latencies[i].ValueAtQuantile(99)
	}
	return summaries[:]
}

// firstAttemptStarts maps the ID of each request to the time at which its first
// attempt began, in milliseconds since 1970.
func firstAttemptStarts(entries []journal.Entry) map[string]int64 {
	starts := make(map[string]int64)
	for _, e := range entries {
		if r := e.Request; r != nil {
			first, known := starts[r.ID]
			if !known || r.StartUnixMs < first {
				starts[r.ID] = r.StartUnixMs
			}
		}
	}
	return starts
}
