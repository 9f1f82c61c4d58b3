package server

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// settleTimeout bounds one round of settling.
	settleTimeout = 2 * time.Second
	// maxSettlements bounds the buckets of one round.
	maxSettlements = 256
)

// startSettling begins to settle the quiet buckets that this balancer resolves.
func (s *Server) startSettling(ctx context.Context, now time.Time) {
	if s.settling || s.detector.State() != detector.Ready || now.Sub(s.settledAt) < settleInterval {
		return
	}
	s.settledAt = now
	quiet := s.tracker.Quiet(now)
	if len(quiet) == 0 {
		return
	}
	quiet = quiet[:min(len(quiet), maxSettlements)]
	var others []tracker.MemberID
	for _, m := range s.detector.Members(now) {
		others = append(others, m.ID())
	}
	s.settling = true
	s.group.Go(func() error {
		s.settle(ctx, others, quiet)
		return nil
	})
}

// settle asks all live balancers to rebase the buckets, then, for those on which
// all agree, to release them. Without all answers nothing is released.
func (s *Server) settle(ctx context.Context, others []tracker.MemberID, quiet []tracker.Settlement) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	rebased := s.settlePhase(ctx, others, quiet)
	for i := range rebased {
		rebased[i].Phase = tracker.Release
	}
	released := s.settlePhase(ctx, others, rebased)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settling = false
	s.vars.Add("buckets-settled", int64(len(released)))
}

// settlePhase returns the settlements that every balancer agreed to.
func (s *Server) settlePhase(ctx context.Context, others []tracker.MemberID, wanted []tracker.Settlement) []tracker.Settlement {
	if len(wanted) == 0 {
		return nil
	}
	answers := make([][]bool, len(others)+1)
	group, ctx := errgroup.WithContext(ctx)
	for i, id := range others {
		group.Go(func() error {
			reply, err := s.node.Ask(ctx, id, peer.Request{Settlements: wanted})
			answers[i] = reply.Settled
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.vars.Add("settling-retried", 1)
		return nil
	}
	answers[len(others)] = s.settleOwn(wanted)
	return agreed(wanted, answers)
}

func (s *Server) settleOwn(wanted []tracker.Settlement) []bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := make([]bool, 0, len(wanted))
	for _, settlement := range wanted {
		settled = append(settled, s.tracker.Settle(now, settlement))
	}
	return settled
}

func agreed(wanted []tracker.Settlement, answers [][]bool) []tracker.Settlement {
	var all []tracker.Settlement
	for i, settlement := range wanted {
		holds := true
		for _, a := range answers {
			holds = holds && i < len(a) && a[i]
		}
		if holds {
			all = append(all, settlement)
		}
	}
	return all
}
