package server

import (
	"context"
	"time"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
)

// joinTimeout bounds one attempt to take over the others' state.
const joinTimeout = 5 * time.Second

// startJoin begins an attempt to become ready, unless one is under way.
func (s *Server) startJoin(ctx context.Context, now time.Time) {
	if s.detector.State() != detector.Joining || s.joining {
		return
	}
	if !s.detector.Permitted(now) {
		return
	}
	ready := s.readyMembers(now)
	if len(ready) == 0 {
		s.bootstrap(now)
		return
	}
	s.joining = true
	s.group.Go(func() error {
		s.join(ctx, ready)
		return nil
	})
}

// readyMembers returns the balancers whose state a joining one must have.
func (s *Server) readyMembers(now time.Time) []tracker.MemberID {
	var ready []tracker.MemberID
	for _, m := range s.detector.Members(now) {
		if m.State() != detector.Joining {
			ready = append(ready, m.ID())
		}
	}
	return ready
}

// bootstrap makes the balancer ready without anyone's state, where no live
// balancer has any.
func (s *Server) bootstrap(now time.Time) {
	s.prepareOffered(now)
	if s.tracker.Active() == nil {
		return
	}
	s.becomeReady(now, 0)
}

func (s *Server) becomeReady(now time.Time, donors int) {
	s.detector.SetState(detector.Ready)
	s.updateMembers(now)
	s.reportRevisions()
	s.log.Info("ready", "revision", s.tracker.Active().Revision(), "donors", donors, "records", s.tracker.Records())
}

// join asks every ready balancer for its state. Only with all answers may this
// balancer resolve: any one of them may hold the only records of a bucket.
func (s *Server) join(ctx context.Context, ready []tracker.MemberID) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	replies := make([]peer.Reply, 0, len(ready))
	var failed error
	for _, id := range ready {
		reply, err := s.node.Ask(ctx, id, peer.Request{Join: true})
		if err != nil {
			failed = err
			break
		}
		s.node.AddContacts(reply.Contacts)
		replies = append(replies, reply)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining = false
	if failed != nil {
		s.vars.Add("join-retried", 1)
		s.log.Info("joining again", "cause", failed.Error())
		return
	}
	s.adopt(time.Now(), replies)
}

func (s *Server) adopt(now time.Time, replies []peer.Reply) {
	var active, latest *publisher.Record
	var snapshots []tracker.Snapshot
	for _, r := range replies {
		if a := s.decode(r.Active); a != nil {
			active = older(active, a)
			latest = newer(latest, a)
		}
		latest = newer(latest, s.decode(r.Prepared))
		if r.Snapshot != nil {
			snapshots = append(snapshots, *r.Snapshot)
		}
	}
	if active == nil {
		return
	}
	s.documents.active = active
	s.documents.prepared = nil
	s.documents.offered = newer(s.documents.offered, latest)
	s.tracker.Adopt(now, planner.New(active.Revision, &active.Document), snapshots)
	s.prepareOffered(now)
	s.becomeReady(now, len(replies))
}

func (s *Server) decode(data []byte) *publisher.Record {
	if len(data) == 0 {
		return nil
	}
	record, err := publisher.Decode(data)
	if err != nil {
		s.vars.Add("malformed-document", 1)
		return nil
	}
	return &record
}

func older(a, b *publisher.Record) *publisher.Record {
	if a == nil || (b != nil && b.Revision < a.Revision) {
		return b
	}
	return a
}

func newer(a, b *publisher.Record) *publisher.Record {
	if a == nil || (b != nil && b.Revision > a.Revision) {
		return b
	}
	return a
}
