package auditor_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/standin/auditor"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// The outage of ne-b in each generated run, in milliseconds.
const (
	outAt = 100_000
	inAt  = 110_000
)

func outages() []auditor.Outage {
	return []auditor.Outage{{Zone: "ne-b", AcceptedUnixMs: outAt, ReturnedUnixMs: inAt}}
}

// cleanRun generates the journals of a run that kept every promise.
func cleanRun(t *rapid.T) []journal.Entry {
	kinds := rapid.SampledFrom([]journal.Kind{journal.KindItem, journal.KindHold, journal.KindStream})
	n := rapid.IntRange(1, 30).Draw(t, "requests")
	var entries []journal.Entry
	for i := range n {
		id, kind := fmt.Sprintf("c1-%d", i), kinds.Draw(t, "kind")
		refusals := rapid.IntRange(0, 2).Draw(t, "refusals")
		for attempt := range refusals {
			entries = append(entries, entryOf(journal.Request{
				ID: id, Attempt: attempt, Kind: kind, Outcome: journal.RefusedNotRun, Whole: true,
			}))
		}
		entries = append(entries,
			journal.Entry{Run: &journal.Run{ID: id, Attempt: refusals, Kind: kind, Target: "bd-01", Zone: "ne-a"}},
			entryOf(journal.Request{
				ID: id, Attempt: refusals, Kind: kind, Outcome: journal.Answered, Whole: true, Final: true,
				Service: "booking-desk", Target: "bd-01", Zone: "ne-a",
			}))
	}
	late := rapid.Int64Range(0, 5000).Draw(t, "late")
	return append(entries,
		arrival("in-handshake", "ne-b", outAt), arrival("in-handshake", "ne-c", outAt+50),
		entryOf(journal.Request{
			ID: "in-handshake", Flow: "in-handshake", Kind: journal.KindItem, Outcome: journal.Broken, Whole: true,
			Final: true, StartUnixMs: outAt, EndUnixMs: outAt + 4000,
		}),
		packets("ne-b", outAt-10, outAt+late),
		packets("ne-b", inAt, inAt+500),
		packets("ne-a", outAt+6000, outAt+9000),
		entryOf(journal.Request{
			ID: "gone", Kind: journal.KindStream, Outcome: journal.Broken, Whole: true, Final: true,
			Zone: "ne-b", StartUnixMs: outAt - 10, EndUnixMs: outAt + late + 5000,
		}))
}

func entryOf(r journal.Request) journal.Entry { return journal.Entry{Request: &r} }

func arrival(flow, zone string, at int64) journal.Entry {
	return journal.Entry{Arrival: &journal.Arrival{Flow: flow, Zone: zone, UnixMs: at}}
}

func packets(zone string, first, last int64) journal.Entry {
	return journal.Entry{Packets: &journal.Packets{
		Target: "t-" + zone, Zone: zone, Service: "booking-desk", Count: 2, FirstUnixMs: first, LastUnixMs: last,
	}}
}

// faults each break one promise in the journals of a clean run.
func faults() map[string]func(entries []journal.Entry) []journal.Entry {
	add := func(e journal.Entry) func([]journal.Entry) []journal.Entry {
		return func(entries []journal.Entry) []journal.Entry { return append(entries, e) }
	}
	broken := func(zone string, start, end int64) journal.Entry {
		return entryOf(journal.Request{
			ID: "x", Outcome: journal.Broken, Whole: true, Final: true, Zone: zone, StartUnixMs: start, EndUnixMs: end,
		})
	}
	return map[string]func([]journal.Entry) []journal.Entry{
		"broken elsewhere":       add(broken("ne-a", outAt+10, outAt+10)),
		"broken, target unknown": add(broken("", outAt+10, outAt+10)),
		"broken in handshake elsewhere": func(entries []journal.Entry) []journal.Entry {
			return append(entries, arrival("x", "ne-a", outAt), arrival("x", "ne-b", outAt+1), entryOf(journal.Request{
				ID: "x", Flow: "x", Outcome: journal.Broken, Whole: true, Final: true,
				StartUnixMs: outAt, EndUnixMs: outAt + 4000,
			}))
		},
		"broken before the zone":  add(broken("ne-b", outAt-2, outAt-1)),
		"opened while out":        add(broken("ne-b", outAt+5001, inAt-1)),
		"opened after the return": add(broken("ne-b", inAt+1, inAt+5000)),
		"wrong service":           add(journal.Entry{Packets: &journal.Packets{WrongService: 1}}),
		"collapse":                add(journal.Entry{Collapse: &journal.Collapse{Target: "bd-01"}}),
		"late packet":             add(packets("ne-b", outAt+5001, outAt+5001)),
		"late first, then in":     add(packets("ne-b", inAt-1, inAt+100)),
		"partial answer":          add(entryOf(journal.Request{ID: "x", Outcome: journal.Answered, Final: true})),
		"duplicate run": func(entries []journal.Entry) []journal.Entry {
			run := journal.Run{ID: "twice", Kind: journal.KindHold}
			return append(entries, journal.Entry{Run: &run}, journal.Entry{Run: &run})
		},
		"false not run": func(entries []journal.Entry) []journal.Entry {
			return append(entries, journal.Entry{Run: &journal.Run{ID: "x", Attempt: 1, Kind: journal.KindItem}},
				entryOf(journal.Request{ID: "x", Attempt: 1, Outcome: journal.RefusedNotRun, Whole: true, Final: true}))
		},
		"nothing answered": func([]journal.Entry) []journal.Entry { return []journal.Entry{packets("ne-a", 1, 2)} },
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

func TestJudgeFindsEachBrokenPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.Permutation(cleanRun(t)).Draw(t, "entries")
		clean := auditor.Judge(auditor.Input{Entries: entries, Outages: outages()})
		if found := clean.Violations(); len(found) > 0 {
			t.Fatalf("a clean run was judged broken: %v", found)
		}
		for name, inject := range faults() {
			injected := inject(append([]journal.Entry(nil), entries...))
			verdict := auditor.Judge(auditor.Input{Entries: injected, Outages: outages()})
			if len(verdict.Violations()) != 1 {
				t.Fatalf("%s: found %v", name, verdict.Violations())
			}
		}
	})
}

func TestImbalanceLeavesOutDrainedTargetsAndZones(t *testing.T) {
	is := is.New(t)
	var entries []journal.Entry
	for target, n := range map[string]int{"bd-01": 3, "bd-02": 1, "drained": 9, "gone": 9} {
		zone := "ne-a"
		if target == "gone" {
			zone = "ne-b"
		}
		for range n {
			entries = append(entries, entryOf(journal.Request{Service: "booking-desk", Target: target, Zone: zone}))
		}
	}
	verdict := auditor.Judge(auditor.Input{Entries: entries, Outages: outages(), Drained: []string{"drained"}})
	is.Equal(verdict.Imbalance, 1.5) // 3 flows over a mean of 2.
}
