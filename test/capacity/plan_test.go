package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
)

// BenchmarkPlan makes the tables of a document; held-B is what they hold.
func BenchmarkPlan(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			d := documentOf(s)
			held := heldBytes(func() any { return planner.New(1, d) })
			for b.Loop() {
				runtime.KeepAlive(planner.New(1, d))
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// BenchmarkPlanOfZone makes the tables of one availability zone of 17 from the
// whole document.
func BenchmarkPlanOfZone(b *testing.B) {
	for _, s := range sizes[3:] {
		b.Run(s.String(), func(b *testing.B) {
			d := documentOf(s)
			spread(d, s, 17)
			held := heldBytes(func() any { return planner.Within("zone-0").Next(1, d) })
			for b.Loop() {
				runtime.KeepAlive(planner.Within("zone-0").Next(1, d))
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// spread puts the targets of a service into one of so many availability zones.
func spread(d *operator.Document, s size, zones int) {
	for i := range zones {
		d.AvailabilityZones[fmt.Sprintf("zone-%d", i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	for i := range s.targets {
		name := fmt.Sprintf("target-%05d", i)
		target := d.Targets[name]
		target.AvailabilityZone = fmt.Sprintf("zone-%d", i%s.services%zones)
		d.Targets[name] = target
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
			held := heldBytes(build)
			for b.Loop() {
				build()
			}
			b.ReportMetric(held, "held-B")
		})
	}
}

// BenchmarkChange prepares and activates a revision that drains one target.
func BenchmarkChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			first, second := documentOf(s), documentOf(s)
			p := planner.New(1, first)
			drained := second.Targets["target-00000"]
			drained.State = "draining"
			second.Targets["target-00000"] = drained
			t := tracker.New(tracker.NewMemberID("lb-0"))
			t.SetMembers(membersOf(76))
			t.Prepare(start, p)
			revision := uint64(1)
			for b.Loop() {
				revision++
				d := first
				if revision%2 == 0 {
					d = second
				}
				p = p.Next(revision, d)
				t.Prepare(start, p)
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
			held := heldBytes(func() any {
				r, _ := publisher.Decode(encoded)
				return r
			})
			for b.Loop() {
				if _, err := publisher.Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "message-B")
			b.ReportMetric(held, "held-B")
		})
	}
}
