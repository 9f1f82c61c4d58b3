// Package auditor judges a run by the journals of its callers and targets
// alone. It opens no file and knows no clock.
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

// maxZoneOutMs is how long, in milliseconds after it was taken out, packets may
// still reach an availability zone.
const maxZoneOutMs = 5000

// Outage is a time in which operators had taken an availability zone out.
type Outage struct {
	Zone string
	// AcceptedUnixMs is when the change was accepted; ReturnedUnixMs is when the
	// change that brought the zone back was sent, or 0 if there was none.
	AcceptedUnixMs, ReturnedUnixMs int64
}

// Input is what a run left behind.
type Input struct {
	Entries []journal.Entry
	Outages []Outage
	// Drained names targets that were draining; they do not count as unbalanced.
	Drained []string
	Seed    uint64
}

// Verdict sums a run; its JSON form is the report.
type Verdict struct {
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused-not-run"`
	Unanswered    int `json:"unanswered"`
	// Broken counts the flows that broke without leave.
	Broken        int   `json:"broken-flows"`
	BrokenAllowed int   `json:"broken-flows-allowed"`
	WrongService  int64 `json:"wrong-service-packets"`
	DuplicateRuns int   `json:"duplicate-runs"`
	// FalseNotRun counts refusals as not run of attempts that a target ran.
	FalseNotRun    int `json:"false-not-run"`
	PartialAnswers int `json:"partial-answers"`
	// ZoneOutLastPacketMs is how long after its acceptance the last packet
	// reached a zone that was out, at least; 0 if none did.
	ZoneOutLastPacketMs int64   `json:"zone-out-last-packet-ms"`
	Imbalance           float64 `json:"imbalance-max-over-mean"`
	Collapses           int     `json:"collapses"`
	// Unheard says that targets left no trace of any packet.
	Unheard bool `json:"unheard"`
	// Qualities tells how short requests fared while a zone left and returned.
	Qualities []Quality `json:"quality-by-phase,omitempty"`
	Seed      uint64    `json:"seed"`
}

// Judge sums and judges a run.
func Judge(in Input) Verdict {
	v := Verdict{Seed: in.Seed, Unheard: true}
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
			v.countRequest(located(*e.Request, arrivals), runs, in.Outages)
		}
	}
	for _, n := range holds {
		v.DuplicateRuns += n - 1
	}
	v.Imbalance = imbalance(in)
	v.Qualities = Qualities(in)
	return v
}

// located fills in the zone of a flow that broke before the caller had learnt
// where it ended, from the journal of the first target that it reached.
func located(r journal.Request, arrivals map[string]*journal.Arrival) journal.Request {
	if first := arrivals[r.Flow]; r.Zone == "" && first != nil {
		r.Zone = first.Zone
	}
	return r
}

// attempt names one attempt of a request.
type attempt struct {
	id string
	n  int
}

func (v *Verdict) countPackets(p *journal.Packets, outages []Outage) {
	v.Unheard = false
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

func (v *Verdict) countRequest(r journal.Request, runs map[attempt]bool, outages []Outage) {
	if !r.Whole {
		v.PartialAnswers++
	}
	switch r.Outcome {
	case journal.Broken:
		if allowed(r, outages) {
			v.BrokenAllowed++
		} else {
			v.Broken++
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

// allowed says whether a flow broke because its zone had been taken out: it was
// opened before that had to be in force, and ended after the acceptance.
func allowed(r journal.Request, outages []Outage) bool {
	for _, o := range outages {
		if r.Zone == o.Zone && r.EndUnixMs >= o.AcceptedUnixMs &&
			r.StartUnixMs <= o.AcceptedUnixMs+maxZoneOutMs {
			return true
		}
	}
	return false
}

// Violations lists the promises that were broken; it is empty for a good run.
func (v Verdict) Violations() []string {
	var found []string
	check := func(broken bool, format string, args ...any) {
		if broken {
			found = append(found, fmt.Sprintf(format, args...))
		}
	}
	check(v.Broken > 0, "%d flows broke", v.Broken)
	check(v.WrongService > 0, "%d packets reached a wrong service", v.WrongService)
	check(v.DuplicateRuns > 0, "%d requests that are not idempotent ran again", v.DuplicateRuns)
	check(v.FalseNotRun > 0, "%d requests ran that were refused as not run", v.FalseNotRun)
	check(v.PartialAnswers > 0, "%d answers were not whole", v.PartialAnswers)
	check(v.ZoneOutLastPacketMs > maxZoneOutMs, "a packet reached a zone %d ms after it was taken out", v.ZoneOutLastPacketMs)
	check(v.Collapses > 0, "%d targets collapsed", v.Collapses)
	check(v.Answered == 0, "nothing was answered")
	check(v.Unheard, "no target recorded a packet")
	return found
}
