package capacity_test

import (
	"runtime"
	"testing"

	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
)

// BenchmarkPlan makes the tables of a document; held-B is what they hold.
func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			d := documentOf(s)
			for b.Loop() {
				runtime.KeepAlive(planner.New(1, d))
			}
			b.ReportMetric(heldBytes(func() any { return planner.New(1, d) }), "held-B")
		})
	}
}

// BenchmarkTrackerState takes a first plan; held-B is the state of its buckets,
// without the plan.
func BenchmarkTrackerState(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			p := planner.New(1, documentOf(s))
			build := func() any {
				t := tracker.New(tracker.NewMemberID("lb-0"))
				t.Prepare(start, p)
				return t
			}
			for b.Loop() {
				build()
			}
			b.ReportMetric(heldBytes(build), "held-B")
		})
	}
}

// BenchmarkChange prepares and activates a revision that drains one target.
func BenchmarkChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			first, second := documentOf(s), documentOf(s)
			drained := second.Targets["target-00000"]
			drained.State = "draining"
			second.Targets["target-00000"] = drained
			t := tracker.New(tracker.NewMemberID("lb-0"))
			t.SetMembers(membersOf(76))
			t.Prepare(start, planner.New(1, first))
			revision := uint64(1)
			for b.Loop() {
				revision++
				d := first
				if revision%2 == 0 {
					d = second
				}
				t.Prepare(start, planner.New(revision, d))
				t.Activate(start)
			}
		})
	}
}

// BenchmarkRecord decodes a whole record, as one that a peer sends; message-B is
// its size.
func BenchmarkRecord(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			encoded, err := publisher.Encode(recordOf(documentOf(s)))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := publisher.Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "message-B")
			b.ReportMetric(heldBytes(func() any {
				r, _ := publisher.Decode(encoded)
				return r
			}), "held-B")
		})
	}
}
