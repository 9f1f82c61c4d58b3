package server

import (
	"time"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/target"
)

// newProber returns the prober of the targets that the coordinator assigns to this
// balancer.
func (s *Server) newProber() *target.Prober {
	p := target.New()
	p.Targets = s.targetsToProbe
	p.OnProbe = s.handleProbe
	p.Count = s.vars.Add
	return p
}

// targetsToProbe returns the targets whose health this balancer checks.
func (s *Server) targetsToProbe() []*planner.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.TargetsToProbe(time.Now())
}

// handleProbe passes the outcome of a probe to the coordinator.
func (s *Server) handleProbe(id planner.TargetID, p assessor.Probe) {
	s.applyInput(func(now time.Time) { s.coordinator.HandleProbe(now, id, p) })
}
