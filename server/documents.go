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

// fetchTimeout bounds the fetch of a document from a peer.
const fetchTimeout = 3 * time.Second

// offer takes an accepted document, from the platform or a peer. An older one
// than the latest known changes nothing.
func (s *Server) offer(now time.Time, record publisher.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.documents.offered != nil && record.Revision <= s.documents.offered.Revision {
		return
	}
	s.documents.offered = &record
	if s.detector.State() != detector.Joining {
		s.prepareOffered(now)
	}
}

// prepareOffered prepares the latest known document, if it is newer than what
// is prepared.
func (s *Server) prepareOffered(now time.Time) {
	record := s.documents.offered
	if record == nil || record.Revision <= s.latestRevision() {
		return
	}
	s.tracker.Prepare(now, planner.New(record.Revision, &record.Document))
	if s.tracker.Prepared() == nil {
		s.documents.active = record
	} else {
		s.documents.prepared = record
	}
	s.reportRevisions()
	s.log.Info("revision prepared", "revision", record.Revision, "change-id", record.ChangeID)
}

func (s *Server) latestRevision() uint64 {
	latest := uint64(0)
	for _, p := range []*planner.Plan{s.tracker.Active(), s.tracker.Prepared()} {
		if p != nil {
			latest = max(latest, p.Revision())
		}
	}
	return latest
}

// startFetch asks a peer that knows a newer revision for its document.
func (s *Server) startFetch(ctx context.Context, now time.Time) {
	if s.fetching {
		return
	}
	known := s.latestRevision()
	if s.documents.offered != nil {
		known = max(known, s.documents.offered.Revision)
	}
	for _, m := range s.detector.Members(now) {
		if m.Prepared() > known && !m.Suspect() {
			s.fetching = true
			s.group.Go(func() error {
				s.fetch(ctx, m.ID())
				return nil
			})
			return
		}
	}
}

func (s *Server) fetch(ctx context.Context, id tracker.MemberID) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := s.node.Ask(ctx, id, peer.Request{Document: true})
	defer s.endFetching()
	if err != nil {
		s.vars.Add("document-fetch-retried", 1)
		return
	}
	for _, data := range [][]byte{reply.Active, reply.Prepared} {
		if record := s.decode(data); record != nil {
			s.vars.Add("documents-from-peers", 1)
			s.watcher.Tell(*record)
		}
	}
}

func (s *Server) endFetching() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
}

// answer serves the requests of other balancers.
func (s *Server) answer(r peer.Request) peer.Reply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := peer.Reply{State: s.detector.State()}
	if r.Join || r.Document {
		reply.Active = s.encode(s.documents.active)
		reply.Prepared = s.encode(s.documents.prepared)
	}
	if r.Join {
		// From here on, the joining balancer gets copies of what is recorded.
		s.detector.Introduce(now, r.From.ID())
		s.updateMembers(now)
		snapshot := s.tracker.Snapshot(now)
		reply.Snapshot = &snapshot
		reply.Contacts = append(s.node.Contacts(), s.settings.contact())
		s.log.Info("handed state to a joining balancer", "peer", r.From.Name, "records", s.tracker.Records())
	}
	for _, settlement := range r.Settlements {
		reply.Settled = append(reply.Settled, s.tracker.Settle(now, settlement))
	}
	s.sendCopies()
	return reply
}

func (s *Server) encode(record *publisher.Record) []byte {
	if record == nil {
		return nil
	}
	data, err := publisher.Encode(*record)
	if err != nil {
		s.vars.Add("document-not-encoded", 1)
		return nil
	}
	return data
}
