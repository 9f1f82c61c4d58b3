package server

import (
	"time"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/target"
)

// newProber returns the probing loop of this balancer.
func (s *Server) newProber() *target.Prober {
	p := target.New()
	p.Targets = s.toProbe
	p.OnProbe = s.probed
	p.Count = s.vars.Add
	return p
}

func (s *Server) toProbe() []*planner.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.ToProbe(time.Now())
}

func (s *Server) probed(id planner.TargetID, p assessor.Probe) {
	s.update(func(now time.Time) { s.coordinator.Probed(now, id, p) })
}
