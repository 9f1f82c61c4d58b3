package tracker_test

import (
	"fmt"
	"time"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// An established flow stays on its target while the target drains. A new flow in the
// same bucket opens on another target.
func Example() {
	now := time.Unix(1000, 0)
	self := tracker.NewMemberID("lb-1")
	t := tracker.New(self)
	t.SetMembers([]tracker.Member{{ID: self, Resolves: true, KeepsRecords: true}})
	t.Prepare(now, planner.New(1, documentOf(nil)))

	flow := uint64(42)
	first := t.Decide(now, tracker.Query{Service: service, Flow: flow, FlowEvent: parser.FlowOpens})
	name := t.Active().Target(first.Target()).Name()

	// The next revision drains the target of the flow.
	var number int
	_, _ = fmt.Sscanf(name, "t%d", &number)
	t.Prepare(now, planner.New(2, documentOf(map[int]bool{number: true})))
	t.Activate(now)

	established := t.Decide(now, tracker.Query{Service: service, Flow: flow})
	other := flow + planner.Buckets // The same bucket.
	opening := t.Decide(now, tracker.Query{Service: service, Flow: other, FlowEvent: parser.FlowOpens})
	fmt.Println("established stays:", established.Target() == first.Target())
	fmt.Println("new goes elsewhere:", opening.Target() != first.Target())
	fmt.Println("tracked buckets:", t.Tracked() > 0)
	// Output:
	// established stays: true
	// new goes elsewhere: true
	// tracked buckets: true
}
