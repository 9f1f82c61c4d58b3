package detector_test

import (
	"fmt"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Two balancers exchange heartbeats. Then one stops sending and is removed.
func Example() {
	now := time.Unix(1000, 0)
	a, b := tracker.NewMemberID("lb-a"), tracker.NewMemberID("lb-b")
	first, second := detector.New(a, 1), detector.New(b, 1)
	first.SetContacts([]tracker.MemberID{b})
	second.SetContacts([]tracker.MemberID{a})
	for range 5 {
		now = now.Add(detector.HeartbeatInterval)
		for _, delivery := range first.Heartbeat(now) {
			second.Receive(now, delivery.Message())
		}
		for _, delivery := range second.Heartbeat(now) {
			first.Receive(now, delivery.Message())
		}
	}
	fmt.Println("alive:", len(first.Members(now)), "may decide:", first.MayDecide(now))

	// The second balancer is frozen: it neither sends nor receives.
	for range 10 {
		now = now.Add(detector.HeartbeatInterval)
		first.Heartbeat(now)
	}
	fmt.Println("alive:", len(first.Members(now)), "second may decide:", second.MayDecide(now))
	// Output:
	// alive: 1 may decide: true
	// alive: 0 second may decide: false
}
