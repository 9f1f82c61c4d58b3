package exerciser

import (
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tokenizer"
	"trefoilspring.example/trefoilspring/tracker"
)

// Query is what a balancer decides by.
type Query struct {
	tracker.Query
	// Token is the mark that the caller sends back, and Copy the number of openings
	// that it sent before. Only fabrics with a mark have them.
	Token tokenizer.Token
	Copy  uint32
}

// Decision is what a balancer does with one packet.
type Decision struct {
	Action tracker.Action
	Target planner.TargetID
	Member tracker.MemberID
	Hops   uint32
	// Token is the mark that the packet carries on.
	Token tokenizer.Token
}

// Decider is one balancer of some way.
type Decider interface {
	SetContacts(ids []tracker.MemberID)
	// Tick is called every detector.Interval.
	Tick(now time.Time)
	Offer(now time.Time, record coordinator.Record)
	Receive(now time.Time, from tracker.MemberID, body any)
	// Failed is told that a reliable message was not delivered for certain.
	Failed(now time.Time, to tracker.MemberID, body any)
	Decide(now time.Time, q Query) Decision
	// Revision is the latest revision that the balancer knows.
	Revision() uint64
	// Records is the number of flows that the balancer remembers.
	Records() int
}

// Environment is what a balancer of a run is given.
type Environment struct {
	Self        tracker.MemberID
	Incarnation uint32
	Break       Switches
	// Record returns the accepted document of a revision.
	Record func(revision uint64) coordinator.Record
	// Send sends to another balancer: in order and kept until it arrives if
	// reliable, once otherwise.
	Send func(to tracker.MemberID, body any, reliable bool)
}

// Way makes the balancers of one way to keep flows on their targets.
type Way struct {
	Name string
	New  func(Environment) Decider
}

// Ways lists the ways that are compared.
func Ways() []Way {
	return []Way{HashOnly, LocalTable, Replicated, Owned, Versioned, Tokened}
}
