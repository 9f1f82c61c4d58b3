package server

import (
	"context"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// expireInterval is how often idle records are forgotten.
	expireInterval = time.Second
	// settleInterval is how often quiet buckets are looked for.
	settleInterval = 2 * time.Second
)

func (s *Server) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(detector.Interval)
	defer ticker.Stop()
	for {
		s.tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick does all that is due by the clock rather than by a packet.
func (s *Server) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat(now)
	s.updateMembers(now)
	s.activate(now)
	s.startFetch(ctx, now)
	s.startJoin(ctx, now)
	s.expire(now)
	s.startSettling(ctx, now)
	s.sendCopies()
}

func (s *Server) beat(now time.Time) {
	var ids []tracker.MemberID
	contacts := s.node.Contacts()
	for _, c := range contacts {
		ids = append(ids, c.ID())
	}
	s.setAddresses(s.settings.FabricAddresses, contacts)
	s.detector.SetContacts(ids)
	s.reportRevisions()
	for _, d := range s.detector.Beat(now) {
		s.node.SendHeartbeat(d.To(), d.Message())
	}
	if s.detector.State() == detector.Ready && !s.detector.Permitted(now) {
		s.log.Warn("no longer permitted to decide", "cause", "no peer echoes this balancer's heartbeats")
		s.vars.Add("permission-lost", 1)
		s.detector.SetState(detector.Joining)
	}
}

func (s *Server) reportRevisions() {
	var active, prepared uint64
	if p := s.tracker.Active(); p != nil {
		active = p.Revision()
		prepared = active
	}
	if p := s.tracker.Prepared(); p != nil {
		prepared = p.Revision()
	}
	s.detector.SetRevisions(active, prepared)
}

func (s *Server) receiveHeartbeat(m detector.Message) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Receive(now, m)
	s.updateMembers(now)
	s.sendCopies()
}

// updateMembers gives the tracker the live balancers, if they changed.
func (s *Server) updateMembers(now time.Time) {
	members := []tracker.Member{{
		ID:       tracker.NewMemberID(s.settings.Name),
		Resolves: s.detector.State() == detector.Ready,
		Keeps:    s.detector.State() != detector.Leaving,
	}}
	for _, m := range s.detector.Members(now) {
		members = append(members, tracker.Member{
			ID:       m.ID(),
			Resolves: m.State() == detector.Ready && !m.Suspect(),
			Keeps:    m.State() != detector.Leaving,
		})
	}
	if slices.Equal(members, s.members) {
		return
	}
	s.log.Info("members changed", "alive", len(members), "resolving", countResolving(members))
	s.members = members
	s.tracker.SetMembers(members)
}

func countResolving(members []tracker.Member) int {
	n := 0
	for _, m := range members {
		if m.Resolves {
			n++
		}
	}
	return n
}

func (s *Server) isMember(id tracker.MemberID) bool {
	for _, m := range s.members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// activate puts the prepared revision in force once all live balancers have it.
func (s *Server) activate(now time.Time) {
	p := s.tracker.Prepared()
	if p == nil || s.detector.State() == detector.Joining {
		return
	}
	if !s.activator.Allows(now, p.Revision(), s.detector.Members(now)) {
		return
	}
	s.tracker.Activate(now)
	s.documents.active = s.documents.prepared
	s.documents.prepared = nil
	s.reportRevisions()
	s.log.Info("revision active", "revision", p.Revision(), "tracked-buckets", s.tracker.Tracked())
}

func (s *Server) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expireInterval {
		return
	}
	s.expiredAt = now
	s.tracker.Expire(now)
	s.endRamps(now)
}

// endRamps lifts the limits of targets whose ramp is over.
func (s *Server) endRamps(now time.Time) {
	active := s.tracker.Active()
	if active == nil {
		return
	}
	for id, target := range active.Targets() {
		since, fresh := s.tracker.FreshSince(id)
		if !fresh {
			continue
		}
		service := active.ServiceByID(target.Service())
		if service == nil || s.limiter.Ended(service.ColdStart(), now.Sub(since)) {
			s.tracker.EndFresh(id)
		}
	}
}
