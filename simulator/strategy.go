package simulator

import (
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tokenizer"
	"trefoilspring.example/trefoilspring/tracker"
)

// Query describes a packet on which a balancer decides.
type Query struct {
	tracker.Query
	// Token is the token that the caller sends back, and Retransmissions is how often
	// the caller has sent the opening of the flow before. They are set only on fabrics
	// that carry tokens.
	Token           tokenizer.Token
	Retransmissions uint32
}

// Decision is what a balancer does with one packet.
type Decision struct {
	Action tracker.Action
	Target planner.TargetID
	Member tracker.MemberID
	Hops   uint32
	// Token is the token that the forwarded packet carries.
	Token tokenizer.Token
}

// Decider is one balancer that uses some strategy.
type Decider interface {
	// SetContacts sets all balancers of the group, including this one.
	SetContacts(ids []tracker.MemberID)
	// Tick is called every detector.HeartbeatInterval.
	Tick(now time.Time)
	// Offer passes a document of the platform.
	Offer(now time.Time, record coordinator.Record)
	// Receive passes a message of another balancer.
	Receive(now time.Time, from tracker.MemberID, body any)
	// Failed reports that delivery of a reliable message was not confirmed. The
	// message may still have arrived.
	Failed(now time.Time, to tracker.MemberID, body any)
	// Decide decides on one packet.
	Decide(now time.Time, q Query) Decision
	// Revision returns the latest revision that the balancer knows.
	Revision() uint64
	// Records returns the number of flows that the balancer stores.
	Records() int
}

// Environment connects a balancer to its run.
type Environment struct {
	Self        tracker.MemberID
	Incarnation uint32
	Disabled    Mechanisms
	// Record returns the accepted document of a revision.
	Record func(revision uint64) coordinator.Record
	// Send sends a message to another balancer. Reliable messages arrive in order,
	// except for a peerReply, which may take longer; if one may be lost, Failed is
	// called. Other messages may be lost without notice.
	Send func(to tracker.MemberID, body any, reliable bool)
}

// Strategy is a strategy for keeping flows on their targets. New returns a balancer that
// uses it.
type Strategy struct {
	Name string
	New  func(Environment) Decider
}

// Strategies returns the strategies that are compared.
func Strategies() []Strategy {
	return []Strategy{HashOnly, LocalTable, Replicated, OwnerPerFlow, VersionedBuckets, FlowTokens}
}
