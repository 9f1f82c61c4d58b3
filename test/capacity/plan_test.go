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

// BenchmarkPlan measures planner.New, which builds the tables of a document. held-B is
// the heap that the tables need.
func BenchmarkPlan(b *testing.B) {
	for _, s := range documentSizes {
		b.Run(s.String(), func(b *testing.B) {
			d := newDocument(s)
			retained := retainedBytes(func() any { return planner.New(1, d) })
			for b.Loop() {
				runtime.KeepAlive(planner.New(1, d))
			}
			b.ReportMetric(retained, "held-B")
		})
	}
}

// BenchmarkPlanOfZone measures how a planner that is limited to one availability zone
// builds its tables from a whole document of 17 zones. held-B is the heap that the tables
// need.
func BenchmarkPlanOfZone(b *testing.B) {
	for _, s := range documentSizes[3:] {
		b.Run(s.String(), func(b *testing.B) {
			d := newDocument(s)
			spreadServices(d, s, 17)
			retained := retainedBytes(func() any { return planner.ForZones("zone-0").Next(1, d) })
			for b.Loop() {
				runtime.KeepAlive(planner.ForZones("zone-0").Next(1, d))
			}
			b.ReportMetric(retained, "held-B")
		})
	}
}

// spreadServices spreads the services over so many availability zones. All targets of a
// service are in the same zone.
func spreadServices(d *operator.Document, s documentSize, zones int) {
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

// BenchmarkTrackerState measures how a tracker takes its first plan. held-B is the heap
// that the state of its buckets needs, without the plan.
func BenchmarkTrackerState(b *testing.B) {
	for _, s := range documentSizes {
		b.Run(s.String(), func(b *testing.B) {
			p := planner.New(1, newDocument(s))
			build := func() any {
				t := tracker.New(tracker.NewMemberID("lb-0"))
				t.Prepare(benchmarkTime, p)
				return t
			}
			retained := retainedBytes(build)
			for b.Loop() {
				build()
			}
			b.ReportMetric(retained, "held-B")
		})
	}
}

// BenchmarkChange measures how a revision that drains one target, or makes it active
// again, is planned, prepared and activated.
func BenchmarkChange(b *testing.B) {
	for _, s := range documentSizes {
		b.Run(s.String(), func(b *testing.B) {
			first, second := newDocument(s), newDocument(s)
			p := planner.New(1, first)
			drained := second.Targets["target-00000"]
			drained.State = "draining"
			second.Targets["target-00000"] = drained
			t := tracker.New(tracker.NewMemberID("lb-0"))
			t.SetMembers(newMembers(76))
			t.Prepare(benchmarkTime, p)
			revision := uint64(1)
			for b.Loop() {
				revision++
				d := first
				if revision%2 == 0 {
					d = second
				}
				p = p.Next(revision, d)
				t.Prepare(benchmarkTime, p)
				t.Activate(benchmarkTime)
			}
		})
	}
}

// BenchmarkRecord decodes a record with its whole document, as a peer sends it. message-B
// is the encoded size, and held-B the heap that the decoded record needs.
func BenchmarkRecord(b *testing.B) {
	for _, s := range documentSizes {
		b.Run(s.String(), func(b *testing.B) {
			encoded, err := publisher.Encode(newRecord(newDocument(s)))
			if err != nil {
				b.Fatal(err)
			}
			retained := retainedBytes(func() any {
				r, _ := publisher.Decode(encoded)
				return r
			})
			for b.Loop() {
				if _, err := publisher.Decode(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "message-B")
			b.ReportMetric(retained, "held-B")
		})
	}
}
