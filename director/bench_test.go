package director_test

import (
	"fmt"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/director"
)

// BenchmarkOpening decides on first opening packets at 300 balancers and 600 targets in three
// zones.
func BenchmarkOpening(b *testing.B) {
	d := director.New(1, "a")
	d.SetConfirmed(start)
	d.SetConfiguration(configuration(1))
	for id := 1; id <= 600; id++ {
		t := target(id)
		t.Name = fmt.Sprintf("t-%03d", id)
		d.SetTarget(start, t)
	}
	d.SetBalancerCounts(300, 100)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%1000 == 0 {
			d.Tick(start.Add(time.Duration(n) * time.Millisecond))
		}
		d.Decide(start.Add(time.Duration(n)*time.Millisecond), opening(n, 0))
	}
}
