package auditor

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilspring.example/trefoilspring/standin/journal"
)

// Range and precision of the latencies that are told apart, in milliseconds.
const (
	minLatencyMs     = 1
	maxLatencyMs     = 60_000
	latencyPrecision = 3
)

// Quality is how short requests fared that began in one phase of an outage.
type Quality struct {
	// Phase is before, out (while the zone was out) or after its return.
	Phase         string  `json:"phase"`
	Requests      int     `json:"requests"`
	AnsweredShare float64 `json:"answered-share"`
	// P50Ms and P99Ms are percentiles of the time from the first attempt of a
	// request to its answer.
	P50Ms int64 `json:"p50-ms"`
	P99Ms int64 `json:"p99-ms"`
}

// phases names the phases in order.
var phases = [...]string{"before", "out", "after"}

// phaseOf returns which phase of an outage a time lies in.
func (o Outage) phaseOf(unixMs int64) int {
	switch {
	case unixMs < o.AcceptedUnixMs:
		return 0
	case o.ReturnedUnixMs == 0 || unixMs < o.ReturnedUnixMs:
		return 1
	default:
		return 2
	}
}

// Qualities sums the short requests of a run by the phases of its first outage;
// it is empty for a run without one.
func Qualities(in Input) []Quality {
	if len(in.Outages) == 0 {
		return nil
	}
	begun := beginnings(in.Entries)
	var sums [len(phases)]Quality
	var latencies [len(phases)]*hdrhistogram.Histogram
	for i := range phases {
		sums[i].Phase = phases[i]
		latencies[i] = hdrhistogram.New(minLatencyMs, maxLatencyMs, latencyPrecision)
	}
	answered := make([]int, len(phases))
	for _, e := range in.Entries {
		r := e.Request
		if r == nil || !r.Final || r.Kind == journal.KindStream {
			continue
		}
		phase := in.Outages[0].phaseOf(begun[r.ID])
		sums[phase].Requests++
		if r.Outcome == journal.Answered {
			answered[phase]++
			// A longer one counts as the longest.
			_ = latencies[phase].RecordValue(min(max(r.EndUnixMs-begun[r.ID], minLatencyMs), maxLatencyMs))
		}
	}
	for i := range sums {
		sums[i].AnsweredShare = float64(answered[i]) / float64(max(sums[i].Requests, 1))
		sums[i].P50Ms = latencies[i].ValueAtQuantile(50)
		sums[i].P99Ms = latencies[i].ValueAtQuantile(99)
	}
	return sums[:]
}

// beginnings returns when the first attempt of each request began.
func beginnings(entries []journal.Entry) map[string]int64 {
	begun := make(map[string]int64)
	for _, e := range entries {
		if r := e.Request; r != nil {
			first, known := begun[r.ID]
			if !known || r.StartUnixMs < first {
				begun[r.ID] = r.StartUnixMs
			}
		}
	}
	return begun
}
