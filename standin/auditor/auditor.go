// Package auditor checks the guarantees of the load balancer against the journals
// that callers and targets wrote during a test run. It opens no file and reads no
// clock.
//
// # Usage
//
//	verdict := auditor.Judge(auditor.Input{Entries: entries, Outages: outages})
//	for _, v := range verdict.Violations() {
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

// Outage is a period in which operators had taken an availability zone out.
type Outage struct {
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
	Outages []Outage
	// Drained names the targets that were draining; Verdict.Imbalance leaves them
	// out.
	Drained []string
	// Seed is the seed of the run, which the Verdict repeats.
	Seed uint64
}

// Verdict is the result of a test run; its JSON form is the report.
type Verdict struct {
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
	// WrongService counts packets that reached a target of another service.
	WrongService int64 `json:"wrong-service-packets"`
	// DuplicateRuns counts further runs of requests that are not idempotent.
	DuplicateRuns int `json:"duplicate-runs"`
	// FalseNotRun counts attempts that a target ran although the caller was told
	// that they did not run.
	FalseNotRun int `json:"false-not-run"`
	// PartialAnswers counts attempts with an incomplete or altered response.
	PartialAnswers int `json:"partial-answers"`
	// ZoneOutLastPacketMs is the longest time after the acceptance of an outage at
	// which a packet reached its zone, while the zone was out; 0 if none did. It is
	// a lower bound, since journals hold only the first and last of several packets.
	ZoneOutLastPacketMs int64 `json:"zone-out-last-packet-ms"`
	// Imbalance is the number of flows of the busiest target over the mean of its
	// service, in the worst service.
	Imbalance float64 `json:"imbalance-max-over-mean"`
	// Collapses counts targets that failed because they got too many flows while
	// they were cold.
	Collapses int `json:"collapses"`
	// NoPackets is true if no target recorded a packet.
	NoPackets bool `json:"unheard"`
	// Phases sums the short requests before, during and after the first outage.
	Phases []PhaseSummary `json:"quality-by-phase,omitempty"`
	Seed   uint64         `json:"seed"`
}

// Judge evaluates a test run.
func Judge(in Input) Verdict {
	v := Verdict{Seed: in.Seed, NoPackets: true}
	runs := map[attempt]bool{}
	holds := map[string]int{}
	arrivals := map[string]*journal.Arrival{}
	for _, e := range in.Entries {
		switch {
		case e.Run != nil:
			runs[attempt{e.Run.ID, e.Run.Attempt}] = true
			if e.Run.Kind == journal.KindHold {
				holds[e.Run.ID]++
			}
		case e.Arrival != nil:
			if first := arrivals[e.Arrival.Flow]; first == nil || e.Arrival.UnixMs < first.UnixMs {
				arrivals[e.Arrival.Flow] = e.Arrival
			}
		case e.Packets != nil:
			v.countPackets(e.Packets, in.Outages)
		case e.Collapse != nil:
			v.Collapses++
		}
	}
	for _, e := range in.Entries {
		if e.Request != nil {
			v.countRequest(withZone(*e.Request, arrivals), runs, in.Outages)
		}
	}
	for _, n := range holds {
		v.DuplicateRuns += n - 1
	}
	v.Imbalance = imbalance(in)
	v.Phases = SummarizePhases(in)
	return v
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

// countPackets adds a target's count of packets to the verdict.
func (v *Verdict) countPackets(p *journal.Packets, outages []Outage) {
	v.NoPackets = false
	v.WrongService += p.WrongService
	if p.Count == 0 {
		return
	}
	for _, o := range outages {
		if o.Zone != p.Zone {
			continue
		}
		for _, at := range []int64{p.FirstUnixMs, p.LastUnixMs} {
			if at >= o.AcceptedUnixMs && (o.ReturnedUnixMs == 0 || at < o.ReturnedUnixMs) {
				v.ZoneOutLastPacketMs = max(v.ZoneOutLastPacketMs, at-o.AcceptedUnixMs)
			}
		}
	}
}

// countRequest adds an attempt of a request to the verdict.
func (v *Verdict) countRequest(r journal.Request, runs map[attempt]bool, outages []Outage) {
	if !r.Whole {
		v.PartialAnswers++
	}
	switch r.Outcome {
	case journal.Broken:
		if brokenByOutage(r, outages) {
			v.BrokenFlowsAllowed++
		} else {
			v.BrokenFlows++
		}
	case journal.RefusedNotRun:
		if runs[attempt{r.ID, r.Attempt}] {
			v.FalseNotRun++
		}
	case journal.Answered, journal.Unanswered:
	}
	if r.Final {
		v.countFinal(r.Outcome)
	}
}

// countFinal adds a request, by the outcome of its last attempt, to the verdict.
func (v *Verdict) countFinal(o journal.Outcome) {
	v.Requests++
	switch o {
	case journal.Answered:
		v.Answered++
	case journal.RefusedNotRun:
		v.RefusedNotRun++
	case journal.Unanswered, journal.Broken:
		v.Unanswered++
	}
}

// brokenByOutage reports whether a flow broke because its zone was taken out: it
// opened before the deadline for taking the zone out, and ended after the change was
// accepted.
func brokenByOutage(r journal.Request, outages []Outage) bool {
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
func (v Verdict) Violations() []string {
	var violations []string
	report := func(violated bool, format string, args ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	report(v.BrokenFlows > 0, "%d flows broke", v.BrokenFlows)
	report(v.WrongService > 0, "%d packets reached a target of another service", v.WrongService)
	report(v.DuplicateRuns > 0, "%d repeated runs of requests that are not idempotent", v.DuplicateRuns)
	report(v.FalseNotRun > 0, "%d requests ran although they were refused as not run", v.FalseNotRun)
	report(v.PartialAnswers > 0, "%d responses were incomplete or altered", v.PartialAnswers)
	report(v.ZoneOutLastPacketMs > zoneOutDeadlineMs, "a packet reached a zone %d ms after the zone was taken out", v.ZoneOutLastPacketMs)
	report(v.Collapses > 0, "%d targets collapsed under too many flows while cold", v.Collapses)
	report(v.Answered == 0, "no request was answered")
	report(v.NoPackets, "no target recorded a packet")
	return violations
}
