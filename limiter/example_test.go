package limiter_test

import (
	"fmt"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// Two balancers share the limit of a newly started target.
func Example() {
	now := time.Unix(1000, 0)
	ids := []tracker.MemberID{1, 2}
	coldStart := operator.ColdStart{Flows: 40, Ramp: operator.Duration(30 * time.Second)}
	target := planner.NewTargetID("bd-01")
	admitted := 0
	for _, self := range ids {
		l := limiter.New(self)
		l.SetHolders(now, ids)
		agreedAt := now.Add(detector.RemoveTimeout)
		l.SetAgreement(agreedAt, true, true)
		l.StartRamp(agreedAt, target, time.Duration(coldStart.Ramp))
		// At age 0 the limit still has its initial size of 40.
		for l.TakeFlow(agreedAt, target, coldStart, 0) {
			admitted++
		}
	}
	fmt.Println("at most 40:", admitted <= 40, "and some:", admitted > 0)
	// Output: at most 40: true and some: true
}
