// Package auditor checks the guarantees of the load balancer against the journals
// that callers and targets wrote during a test run. It opens no file and reads no
// clock.
//
// # Usage
//
//	report := auditor.Evaluate(auditor.Input{Entries: entries, Outages: outages})
//	for _, v := range report.Violations() {
//		fmt.Println(v)
//	}
package auditor

import (
	"fmt"

	"trefoilspring.example/trefoilspring/standin/journal"
)

// zoneOutDeadlineMs is how long packets may still reach an availability zone after
// the change that took it out was accepted, in milliseconds.
const zoneOutDeadlineMs = 5000

// ZoneOutage is a period in which operators had taken an availability zone out.
type ZoneOutage struct {
	Zone string
	// AcceptedUnixMs is when the change that took the zone out was accepted.
	// ReturnedUnixMs is when the change that brought it back was sent, or 0 if there
	// was none. Both are milliseconds since 1970.
	AcceptedUnixMs, ReturnedUnixMs int64
}

// Input is the data of a test run.
type Input struct {
	// Entries are the entries of all journals, in any order.
	Entries []journal.Entry
	Outages []ZoneOutage
	// DrainingTargets names the targets that were draining; Report.Imbalance leaves
	// them out.
	DrainingTargets []string
	// Seed is the seed of the run, which the Report repeats.
	Seed uint64
}

// Report is the result of a test run. The command standin report prints it as JSON.
type Report struct {
	// Requests counts requests, by their last attempt, and Answered, RefusedNotRun
	// and Unanswered count them by the outcome of this attempt. Unanswered includes
	// those whose connection broke.
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused-not-run"`
	Unanswered    int `json:"unanswered"`
	// BrokenFlowsAllowed counts the flows that broke because their zone was taken
	// out, and BrokenFlows all other flows that broke.
	BrokenFlows        int `json:"broken-flows"`
	BrokenFlowsAllowed int `json:"broken-flows-allowed"`
	// WrongServicePackets counts packets that reached a target of another service.
	WrongServicePackets int64 `json:"wrong-service-packets"`
	// DuplicateRuns counts further runs of requests that are not idempotent.
	DuplicateRuns int `json:"duplicate-runs"`
	// FalseNotRun counts attempts that a target ran although the caller was told
	// that they did not run.
	FalseNotRun int `json:"false-not-run"`
	// PartialAnswers counts attempts with an incomplete or altered response.
	PartialAnswers int `json:"partial-answers"`
	// ZoneOutLastPacketMs is the longest time after the acceptance of a zone outage
	// at which a packet reached the zone, while the zone was out; 0 if none did. It
	// is a lower bound, since journals hold only the first and last of several
	// packets.
	ZoneOutLastPacketMs int64 `json:"zone-out-last-packet-ms"`
	// Imbalance is the number of flows of the busiest target over the mean of its
	// service, in the worst service.
	Imbalance float64 `json:"imbalance-max-over-mean"`
	// Collapses counts targets that failed because they got too many flows while
	// they were cold.
	Collapses int `json:"collapses"`
	// NoPackets is true if no target recorded a packet.
	NoPackets bool `json:"unheard"`
	// Phases sums the short requests before, during and after the first zone outage.
	Phases []PhaseSummary `json:"quality-by-phase,omitempty"`
	Seed   uint64         `json:"seed"`
}

// Evaluate checks the journals of a test run and returns the report on it.
func Evaluate(in Input) Report {
	report := Report{Seed: in.Seed, NoPackets: true}
	runs := map[attempt]bool{}
	nonIdempotentRuns := map[string]int{}
	arrivals := map[string]*journal.Arrival{}
	for _, e := range in.Entries {
		switch {
		case e.Run != nil:
			runs[attempt{e.Run.ID, e.Run.Attempt}] = true
			if e.Run.Kind == journal.KindNonIdempotent {
				nonIdempotentRuns[e.Run.ID]++
			}
		case e.Arrival != nil:
			if first := arrivals[e.Arrival.Flow]; first == nil || e.Arrival.UnixMs < first.UnixMs {
				arrivals[e.Arrival.Flow] = e.Arrival
			}
		case e.Packets != nil:
			report.countPackets(e.Packets, in.Outages)
		case e.Collapse != nil:
			report.Collapses++
		}
	}
	for _, e := range in.Entries {
		if e.Request != nil {
			report.countRequest(withZone(*e.Request, arrivals), runs, in.Outages)
		}
	}
	for _, n := range nonIdempotentRuns {
		report.DuplicateRuns += n - 1
	}
	report.Imbalance = imbalance(in)
	report.Phases = SummarizePhases(in)
	return report
}

// withZone returns r with its zone filled in. If a flow broke in its handshake, the
// caller doesn't know the zone; then it is that of the first target that the flow
// reached, by the targets' journals.
func withZone(r journal.Request, arrivals map[string]*journal.Arrival) journal.Request {
	if first := arrivals[r.Flow]; r.Zone == "" && first != nil {
		r.Zone = first.Zone
	}
	return r
}

// attempt identifies one attempt of a request.
type attempt struct {
	id string
	n  int
}

// countPackets adds a target's count of packets to the report.
func (r *Report) countPackets(p *journal.Packets, outages []ZoneOutage) {
	r.NoPackets = false
	r.WrongServicePackets += p.WrongService
	if p.Count == 0 {
		return
	}
	for _, o := range outages {
		if o.Zone != p.Zone {
			continue
		}
		for _, at := range []int64{p.FirstUnixMs, p.LastUnixMs} {
			if at >= o.AcceptedUnixMs && (o.ReturnedUnixMs == 0 || at < o.ReturnedUnixMs) {
				r.ZoneOutLastPacketMs = max(r.ZoneOutLastPacketMs, at-o.AcceptedUnixMs)
			}
		}
	}
}

// countRequest adds an attempt of a request to the report.
func (r *Report) countRequest(request journal.Request, runs map[attempt]bool, outages []ZoneOutage) {
	if !request.Complete {
		r.PartialAnswers++
	}
	switch request.Outcome {
	case journal.Broken:
		if brokenByOutage(request, outages) {
			r.BrokenFlowsAllowed++
		} else {
			r.BrokenFlows++
		}
	case journal.RefusedNotRun:
		if runs[attempt{request.ID, request.Attempt}] {
			r.FalseNotRun++
		}
	case journal.Answered, journal.Unanswered:
	}
	if request.Final {
		r.countFinal(request.Outcome)
	}
}

// countFinal adds a request, by the outcome of its last attempt, to the report.
func (r *Report) countFinal(o journal.Outcome) {
	r.Requests++
	switch o {
	case journal.Answered:
		r.Answered++
	case journal.RefusedNotRun:
		r.RefusedNotRun++
	case journal.Unanswered, journal.Broken:
		r.Unanswered++
	}
}

// brokenByOutage reports whether a flow broke because its zone was taken out: it
// opened before the deadline for taking the zone out, and ended after the change was
// accepted.
func brokenByOutage(r journal.Request, outages []ZoneOutage) bool {
	for _, o := range outages {
		if r.Zone == o.Zone && r.EndUnixMs >= o.AcceptedUnixMs &&
			r.StartUnixMs <= o.AcceptedUnixMs+zoneOutDeadlineMs {
			return true
		}
	}
	return false
}

// Violations describes each guarantee that was violated. It is empty for a run
// without faults.
func (r Report) Violations() []string {
	var violations []string
	addIf := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	addIf(r.BrokenFlows > 0, "%d flows broke", r.BrokenFlows)
	addIf(r.WrongServicePackets > 0, "%d packets reached a target of another service", r.WrongServicePackets)
	addIf(r.DuplicateRuns > 0, "%d repeated runs of requests that are not idempotent", r.DuplicateRuns)
	addIf(r.FalseNotRun > 0, "%d requests ran although they were refused as not run", r.FalseNotRun)
	addIf(r.PartialAnswers > 0, "%d responses were incomplete or altered", r.PartialAnswers)
	addIf(r.ZoneOutLastPacketMs > zoneOutDeadlineMs, "a packet reached a zone %d ms after the zone was taken out", r.ZoneOutLastPacketMs)
	addIf(r.Collapses > 0, "%d targets collapsed under too many flows while cold", r.Collapses)
	addIf(r.Answered == 0, "no request was answered")
	addIf(r.NoPackets, "no target recorded a packet")
	return violations
}
