package tracker

import "trefoilspring.example/trefoilspring/planner"

// Action is what to do with a packet.
type Action uint8

// The actions. Forward sends the packet to a target, and HandOn to another
// balancer. Refuse rejects an opening.
const (
	Drop Action = iota
	Forward
	HandOn
	Refuse
)

// Reason is why a packet is dropped or refused.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	// UnknownService means that the active plan does not contain the service.
	UnknownService
	// NoTarget means that no target of the service accepts new flows.
	NoTarget
	// TargetGone means that the flow's target was removed, or that its availability
	// zone is out.
	TargetGone
	// OverLimit means that no target of the service admits another flow.
	OverLimit
	// AwaitingAgreement means that openings on the target are held, and that not
	// all live balancers have agreed on it yet; see SetHolds.
	AwaitingAgreement
	// Outdated means that this balancer's state may be outdated, and that it can't
	// hand the packet on; see SetStale.
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

// String returns the name of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons except NoReason.
func Reasons() []Reason {
	return []Reason{UnknownService, NoTarget, TargetGone, OverLimit, AwaitingAgreement, Outdated}
}

// Decision is the action to take on one packet, with its details.
type Decision struct {
	action Action
	reason Reason
	hops   uint32
	target planner.TargetID
	member MemberID
}

// Action returns the action to take.
func (d Decision) Action() Action { return d.action }

// Reason returns why the packet is dropped or refused, and otherwise NoReason.
func (d Decision) Reason() Reason { return d.reason }

// Target returns the target to forward the packet to, or 0 if the action is not
// Forward.
func (d Decision) Target() planner.TargetID { return d.target }

// Member returns the balancer to hand the packet on to, or 0 if the action is not
// HandOn.
func (d Decision) Member() MemberID { return d.member }

// Hops returns how many times the packet has been handed on between balancers,
// including this time. It is 0 if the action is not HandOn.
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
