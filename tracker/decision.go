package tracker

import "trefoilspring.example/trefoilspring/planner"

// Action says what happens to a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	HandOn
	Refuse
)

// Reason says why a packet was dropped or refused.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	UnknownService
	NoTarget
	TargetGone
	OverLimit
	AwaitingAgreement
	Outdated
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none",
	"unknown-service",
	"no-target",
	"target-gone",
	"over-limit",
	"awaiting-agreement",
	"outdated",
}

func (r Reason) String() string { return reasonNames[r] }

// Reasons lists all reasons but NoReason.
func Reasons() []Reason {
	return []Reason{UnknownService, NoTarget, TargetGone, OverLimit, AwaitingAgreement, Outdated}
}

// Decision is what to do with one packet.
type Decision struct {
	action Action
	reason Reason
	hops   uint32
	target planner.TargetID
	member MemberID
}

// Action returns what to do.
func (d Decision) Action() Action { return d.action }

// Reason returns why the packet is dropped or refused.
func (d Decision) Reason() Reason { return d.reason }

// Target returns the target of Forward.
func (d Decision) Target() planner.TargetID { return d.target }

// Member returns the balancer of HandOn.
func (d Decision) Member() MemberID { return d.member }

// Hops returns the hand-over count to send with HandOn.
func (d Decision) Hops() uint32 { return d.hops }

func drop(r Reason) Decision {
	return Decision{action: Drop, reason: r}
}

func refuse(r Reason) Decision {
	return Decision{action: Refuse, reason: r}
}

func handOn(m MemberID, hops uint32) Decision {
	return Decision{action: HandOn, member: m, hops: hops}
}
