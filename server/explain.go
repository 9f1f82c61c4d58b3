package server

import (
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/explainer"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// explain returns how this balancer would now decide on an opening packet and on an
// established packet of a flow. It creates no state for the flow.
func (s *Server) explain(now time.Time, f explainer.Flow) explainer.Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Refresh also runs before each batch of packets, but there may have been none lately.
	s.coordinator.Refresh(now)
	id := s.coordinator.Service(f.Service)
	query := tracker.Query{Service: id, Flow: parser.FlowHash(f.Source, f.Service, f.TCP)}
	established := s.coordinator.Tracker().Explain(now, query)
	query.FlowEvent = parser.FlowOpens
	opening := s.coordinator.Tracker().Explain(now, query)
	e := explainer.Explanation{
		Balancer:      s.settings.Name,
		Bucket:        established.Bucket(),
		Tracked:       established.Tracked(),
		Recorded:      established.Recorded(),
		CurrentTarget: s.targetName(established.Current()),
		Resolver:      s.memberName(established.Resolver()),
		Opening:       s.outcomeOf(opening),
		Established:   s.outcomeOf(established),
	}
	if e.Tracked {
		e.BaseTarget = s.targetName(established.Base())
	}
	if p := s.coordinator.Tracker().Active(); p != nil {
		e.ActiveRevision = p.Revision()
		if service := p.ServiceByID(id); service != nil {
			e.Service = service.Name()
		}
	}
	return e
}

// outcomeOf returns the decision of an explanation with names in place of identifiers.
func (s *Server) outcomeOf(e tracker.Explanation) explainer.Outcome {
	d := e.Decision()
	o := explainer.Outcome{Why: s.reasonText(e)}
	switch d.Action() {
	case tracker.Forward:
		o.Action = "forward"
		o.Target = s.targetName(d.Target())
		o.Address = s.destinationOf(d)
	case tracker.HandOn:
		o.Action = "hand-on"
		o.Member = s.memberName(d.Member())
	case tracker.Refuse:
		o.Action = "refuse"
		o.Reason = d.Reason().String()
	case tracker.Drop:
		o.Action = "drop"
		o.Reason = d.Reason().String()
	}
	return o
}

// reasonTexts explains why a packet is dropped or refused.
var reasonTexts = map[tracker.Reason]string{
	tracker.UnknownService:    "no service of the active revision has this address",
	tracker.NoTarget:          "no target of the service accepts new flows",
	tracker.TargetGone:        "the target was removed, or its availability zone is out",
	tracker.OverLimit:         "each target that accepts new flows is at its limit",
	tracker.AwaitingAgreement: "the target is down or cold, and not every balancer knows this yet",
	tracker.Outdated:          "this balancer may not decide now, and it knows no balancer that may",
}

// reasonText returns a sentence on the state that led to a decision.
func (s *Server) reasonText(e tracker.Explanation) string {
	d := e.Decision()
	switch {
	case d.Reason() != tracker.NoReason:
		return reasonTexts[d.Reason()]
	case d.Action() == tracker.HandOn && s.coordinator.State() != detector.Ready:
		return "this balancer is " + stateNames[s.coordinator.State()] + ", and another one decides"
	case d.Action() == tracker.HandOn && e.Tracked():
		return "the bucket is tracked, and its resolver decides"
	case d.Action() == tracker.HandOn:
		return "this balancer may not decide now, and another one does"
	case !e.Tracked():
		return "the bucket is plain, and the table names the target"
	case e.Recorded():
		return "the bucket is tracked, and the flow has a record"
	case d.Target() == e.Base() && e.Base() != e.Current():
		return "the bucket is tracked, and a flow without a record is on the base target"
	case d.Target() == e.Current():
		return "the bucket is tracked, and this is its current target"
	}
	return "the bucket's current target is at its limit, and this target accepts new flows"
}

// targetName returns the name of a target from the active or the prepared revision, and
// an empty string if neither has it.
func (s *Server) targetName(id planner.TargetID) string {
	t := s.coordinator.Tracker()
	for _, p := range [...]*planner.Plan{t.Active(), t.Prepared()} {
		if p == nil {
			continue
		}
		if target := p.Target(id); target != nil {
			return target.Name()
		}
	}
	return ""
}

// memberName returns the name of a balancer of the group, and an empty string if it is
// unknown.
func (s *Server) memberName(id tracker.MemberID) string {
	if id == tracker.NewMemberID(s.settings.Name) {
		return s.settings.Name
	}
	contact, _ := s.node.Contact(id)
	return contact.Name
}
