package auditor_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/standin/auditor"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// The start and the end of the outage of ne-b in each generated run, in
// milliseconds.
const (
	acceptedAt = 100_000
	returnedAt = 110_000
)

func outages() []auditor.ZoneOutage {
	return []auditor.ZoneOutage{{Zone: "ne-b", AcceptedUnixMs: acceptedAt, ReturnedUnixMs: returnedAt}}
}

// drawCleanRun generates the journals of a run without violations.
func drawCleanRun(t *rapid.T) []journal.Entry {
	kinds := rapid.SampledFrom([]journal.Kind{journal.KindIdempotent, journal.KindNonIdempotent, journal.KindStream})
	n := rapid.IntRange(1, 30).Draw(t, "requests")
	var entries []journal.Entry
	for i := range n {
		id, kind := fmt.Sprintf("c1-%d", i), kinds.Draw(t, "kind")
		refusals := rapid.IntRange(0, 2).Draw(t, "refusals")
		for attempt := range refusals {
			entries = append(entries, requestEntry(journal.Request{
				ID: id, Attempt: attempt, Kind: kind, Outcome: journal.RefusedNotRun, Complete: true,
			}))
		}
		entries = append(entries,
			journal.Entry{Run: &journal.Run{ID: id, Attempt: refusals, Kind: kind, Target: "bd-01", Zone: "ne-a"}},
			requestEntry(journal.Request{
				ID: id, Attempt: refusals, Kind: kind, Outcome: journal.Answered, Complete: true, Final: true,
				Service: "booking-desk", Target: "bd-01", Zone: "ne-a",
			}))
	}
	late := rapid.Int64Range(0, 5000).Draw(t, "late")
	return append(entries,
		arrivalEntry("in-handshake", "ne-b", acceptedAt), arrivalEntry("in-handshake", "ne-c", acceptedAt+50),
		requestEntry(journal.Request{
			ID: "in-handshake", Flow: "in-handshake", Kind: journal.KindIdempotent, Outcome: journal.Broken, Complete: true,
			Final: true, StartUnixMs: acceptedAt, EndUnixMs: acceptedAt + 4000,
		}),
		packetsEntry("ne-b", acceptedAt-10, acceptedAt+late),
		packetsEntry("ne-b", returnedAt, returnedAt+500),
		packetsEntry("ne-a", acceptedAt+6000, acceptedAt+9000),
		requestEntry(journal.Request{
			ID: "gone", Kind: journal.KindStream, Outcome: journal.Broken, Complete: true, Final: true,
			Zone: "ne-b", StartUnixMs: acceptedAt - 10, EndUnixMs: acceptedAt + late + 5000,
		}))
}

func requestEntry(r journal.Request) journal.Entry { return journal.Entry{Request: &r} }

func arrivalEntry(flow, zone string, at int64) journal.Entry {
	return journal.Entry{Arrival: &journal.Arrival{Flow: flow, Zone: zone, UnixMs: at}}
}

func packetsEntry(zone string, first, last int64) journal.Entry {
	return journal.Entry{Packets: &journal.Packets{
		Target: "t-" + zone, Zone: zone, Service: "booking-desk", Count: 2, FirstUnixMs: first, LastUnixMs: last,
	}}
}

// violations returns functions that each add one violation of a guarantee to the
// journals of a clean run.
func violations() map[string]func(entries []journal.Entry) []journal.Entry {
	add := func(e journal.Entry) func([]journal.Entry) []journal.Entry {
		return func(entries []journal.Entry) []journal.Entry { return append(entries, e) }
	}
	broken := func(zone string, start, end int64) journal.Entry {
		return requestEntry(journal.Request{
			ID: "x", Outcome: journal.Broken, Complete: true, Final: true, Zone: zone, StartUnixMs: start, EndUnixMs: end,
		})
	}
	return map[string]func([]journal.Entry) []journal.Entry{
		"broken elsewhere":       add(broken("ne-a", acceptedAt+10, acceptedAt+10)),
		"broken, target unknown": add(broken("", acceptedAt+10, acceptedAt+10)),
		"broken in handshake elsewhere": func(entries []journal.Entry) []journal.Entry {
			return append(entries, arrivalEntry("x", "ne-a", acceptedAt), arrivalEntry("x", "ne-b", acceptedAt+1), requestEntry(journal.Request{
				ID: "x", Flow: "x", Outcome: journal.Broken, Complete: true, Final: true,
				StartUnixMs: acceptedAt, EndUnixMs: acceptedAt + 4000,
			}))
		},
		"broken before the outage": add(broken("ne-b", acceptedAt-2, acceptedAt-1)),
		"opened while out":         add(broken("ne-b", acceptedAt+5001, returnedAt-1)),
		"opened after the return":  add(broken("ne-b", returnedAt+1, returnedAt+5000)),
		"wrong service":            add(journal.Entry{Packets: &journal.Packets{WrongService: 1}}),
		"collapse":                 add(journal.Entry{Collapse: &journal.Collapse{Target: "bd-01"}}),
		"late packet":              add(packetsEntry("ne-b", acceptedAt+5001, acceptedAt+5001)),
		"late packet, then return": add(packetsEntry("ne-b", returnedAt-1, returnedAt+100)),
		"partial answer":           add(requestEntry(journal.Request{ID: "x", Outcome: journal.Answered, Final: true})),
		"duplicate run": func(entries []journal.Entry) []journal.Entry {
			run := journal.Run{ID: "twice", Kind: journal.KindNonIdempotent}
			return append(entries, journal.Entry{Run: &run}, journal.Entry{Run: &run})
		},
		"false not run": func(entries []journal.Entry) []journal.Entry {
			return append(entries, journal.Entry{Run: &journal.Run{ID: "x", Attempt: 1, Kind: journal.KindIdempotent}},
				requestEntry(journal.Request{ID: "x", Attempt: 1, Outcome: journal.RefusedNotRun, Complete: true, Final: true}))
		},
		"nothing answered": func([]journal.Entry) []journal.Entry { return []journal.Entry{packetsEntry("ne-a", 1, 2)} },
		"no packets": func(entries []journal.Entry) []journal.Entry {
			var rest []journal.Entry
			for _, e := range entries {
				if e.Packets == nil {
					rest = append(rest, e)
				}
			}
			return rest
		},
	}
}

func TestEvaluateReportsEachViolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.Permutation(drawCleanRun(t)).Draw(t, "entries")
		clean := auditor.Evaluate(auditor.Input{Entries: entries, Outages: outages()})
		if found := clean.Violations(); len(found) > 0 {
			t.Fatalf("a clean run has violations: %v", found)
		}
		for name, inject := range violations() {
			injected := inject(append([]journal.Entry(nil), entries...))
			report := auditor.Evaluate(auditor.Input{Entries: injected, Outages: outages()})
			if len(report.Violations()) != 1 {
				t.Fatalf("%s: want one violation, got %v", name, report.Violations())
			}
		}
	})
}

func TestImbalanceExcludesDrainingTargetsAndZonesOut(t *testing.T) {
	is := is.New(t)
	var entries []journal.Entry
	for target, n := range map[string]int{"bd-01": 3, "bd-02": 1, "drained": 9, "gone": 9} {
		zone := "ne-a"
		if target == "gone" {
			zone = "ne-b"
		}
		for range n {
			entries = append(entries, requestEntry(journal.Request{Service: "booking-desk", Target: target, Zone: zone}))
		}
	}
	report := auditor.Evaluate(auditor.Input{Entries: entries, Outages: outages(), DrainingTargets: []string{"drained"}})
	is.Equal(report.Imbalance, 1.5) // the maximum of 3 flows over the mean of 2
}
