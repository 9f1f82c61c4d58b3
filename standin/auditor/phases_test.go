package auditor_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/auditor"
	"trefoilspring.example/trefoilspring/standin/journal"
)

func TestSummarizePhases(t *testing.T) {
	is := is.New(t)
	var entries []journal.Entry
	add := func(start, latency int64, outcome journal.Outcome) {
		entries = append(entries, journal.Entry{Request: &journal.Request{
			ID: fmt.Sprint(len(entries)), Attempt: 1, Final: true, Kind: journal.KindIdempotent,
			Outcome: outcome, StartUnixMs: start, EndUnixMs: start + latency,
		}})
	}
	for range 99 {
		add(500, 10, journal.Answered)
	}
	add(999, 700, journal.Answered)
	add(1000, 20, journal.Answered)
	add(1999, 4000, journal.Unanswered)
	add(2000, 30, journal.Answered)
	got := auditor.SummarizePhases(auditor.Input{Entries: entries, Outages: []auditor.ZoneOutage{{AcceptedUnixMs: 1000, ReturnedUnixMs: 2000}}})
	is.Equal(got, []auditor.PhaseSummary{
		{Phase: "before", Requests: 100, AnsweredShare: 1, P50Ms: 10, P99Ms: 10},
		{Phase: "out", Requests: 2, AnsweredShare: 0.5, P50Ms: 20, P99Ms: 20},
		{Phase: "after", Requests: 1, AnsweredShare: 1, P50Ms: 30, P99Ms: 30},
	})
	is.Equal(len(auditor.SummarizePhases(auditor.Input{Entries: entries})), 0)
}
