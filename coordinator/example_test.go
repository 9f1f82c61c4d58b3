package coordinator_test

import (
	"fmt"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/tracker"
)

// A balancer without peers prepares and activates a document, and decides on a
// packet. The example advances the time itself and does not wait.
func Example() {
	now := time.Unix(1000, 0)
	c := coordinator.New(coordinator.Config{Self: tracker.NewMemberID("lb-1"), Incarnation: 1})
	c.Offer(now, coordinator.Record{Revision: 1, Document: oneTargetDocument(), Encoded: []byte("1")})
	for c.State() != detector.Ready {
		now = now.Add(detector.HeartbeatInterval)
		for _, action := range c.Tick(now) {
			// A balancer with peers sends them the messages here.
			fmt.Println("to do:", action.Kind())
		}
	}
	c.Refresh(now)
	address := netip.MustParseAddrPort("198.51.100.10:443")
	d := c.Decide(now, tracker.Query{
		Service:   c.Service(address),
		Flow:      parser.FlowHash(netip.MustParseAddrPort("203.0.113.7:50123"), address, false),
		FlowEvent: parser.FlowOpens,
	})
	fmt.Println(c.Tracker().Active().Target(d.Target()).Name())
	// Output: bd-01
}
