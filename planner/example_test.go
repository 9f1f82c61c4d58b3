package planner_test

import (
	"fmt"
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// Every balancer computes the same table from the same document. Here, two
// targets of equal weight receive half of the buckets each.
func ExampleNew() {
	p := planner.New(7, &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}},
		Services: map[string]operator.Service{"booking-desk": {
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
			Protocol:  operator.ProtocolQUIC,
		}},
		Targets: map[string]operator.Target{
			"bd-01": {Service: "booking-desk", AvailabilityZone: "ne-a", Address: netip.MustParseAddrPort("127.0.0.1:7001")},
			"bd-02": {Service: "booking-desk", AvailabilityZone: "ne-a", Address: netip.MustParseAddrPort("127.0.0.1:7002")},
		},
	})
	service, _ := p.Service(netip.MustParseAddrPort("198.51.100.10:443"))
	shares := make(map[string]int)
	for bucket := range planner.Buckets {
		shares[p.Target(service.Lookup(bucket)).Name()]++
	}
	fmt.Println(service.Name(), shares)
	// Output: booking-desk map[bd-01:2048 bd-02:2048]
}
