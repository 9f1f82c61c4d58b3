// Package server runs one balancer: it joins the decisions of the pure packages
// to sockets, peers and the platform.
//
// # Usage
//
//	settings, err := server.LoadSettings("balancer.json")
//	s, err := server.New(settings, slog.Default())
//	err = s.Run(ctx) // until ctx ends and the drain time is over
//
// All state that decisions share is behind one lock, which the data path takes
// once for each batch of packets.
package server

import (
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/activator"
	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
	"trefoilspring.example/trefoilspring/watcher"
)

// Server is one balancer.
type Server struct {
	settings Settings
	log      *slog.Logger
	vars     *expvar.Map
	counters *forwarder.Counters
	node     *peer.Node
	watcher  *watcher.Watcher
	addresses

	mu        sync.Mutex
	tracker   *tracker.Tracker
	detector  *detector.Detector
	limiter   *limiter.Limiter
	activator activator.Activator
	documents documents
	members   []tracker.Member
	settledAt time.Time
	expiredAt time.Time
	joining   bool
	fetching  bool
	settling  bool
	group     *errgroup.Group
}

// New returns a balancer with these settings.
func New(settings Settings, log *slog.Logger) (*Server, error) {
	identity, err := peer.LoadIdentity(settings.TLS)
	if err != nil {
		return nil, err
	}
	id := tracker.NewMemberID(settings.Name)
	s := &Server{
		settings: settings,
		log:      log.With("balancer", settings.Name),
		vars:     new(expvar.Map),
		node:     peer.New(settings.contact(), identity, settings.Peers),
		tracker:  tracker.New(id),
		detector: detector.New(id, uint32(time.Now().Unix())),
		limiter:  limiter.New(len(settings.Peers) + 1),
	}
	s.counters = forwarder.NewCounters(s.vars)
	s.tracker.SetAdmit(s.admit)
	s.tracker.SetStale(true)
	s.node.OnHeartbeat = s.receiveHeartbeat
	s.node.OnRecords = s.receiveRecords
	s.node.OnRequest = s.answer
	s.node.OnLoss = s.copyAgain
	s.node.Count = s.vars.Add
	s.setAddresses(settings.FabricAddresses, settings.Peers)
	s.watcher = s.newWatcher()
	return s, nil
}

// Run serves until ctx ends, then drains and returns.
func (s *Server) Run(ctx context.Context) error {
	// The work goes on while the balancer drains, so it has a context of its own.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, work := errgroup.WithContext(work)
	s.group = group
	for range s.settings.readers() {
		if err := s.startForwarder(work, group); err != nil {
			return err
		}
	}
	group.Go(func() error { return s.node.Run(work) })
	group.Go(func() error { return s.serveAdmin(work) })
	group.Go(func() error { return s.watchPlatform(work) })
	group.Go(func() error { return s.tickLoop(work) })
	group.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
			s.drain(work)
			end()
		}
		return nil
	})
	s.log.Info("balancer started", "data-address", s.settings.DataAddress.String())
	err := group.Wait()
	s.log.Info("balancer ended")
	return err
}

func (s *Server) startForwarder(ctx context.Context, group *errgroup.Group) error {
	conn, err := batcher.Listen(ctx, s.settings.DataAddress)
	if err != nil {
		return err
	}
	f := forwarder.New(conn, s.counters)
	f.Decide = s.decide
	f.Trusted = s.origin
	f.Fabric = s.settings.FabricAddresses[0]
	group.Go(func() error {
		defer conn.Close()
		return f.Run(ctx)
	})
	return nil
}

// drain tells the fabric and the peers, then waits while packets still arrive.
func (s *Server) drain(ctx context.Context) {
	s.log.Info("draining", "drain", time.Duration(s.settings.Drain).String())
	s.mu.Lock()
	s.detector.SetState(detector.Leaving)
	s.mu.Unlock()
	s.tick(ctx, time.Now())
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(s.settings.Drain)):
	}
}

// decide answers a batch of packets under one lock.
func (s *Server) decide(now time.Time, jobs []forwarder.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.detector.State() == detector.Joining || !s.detector.Permitted(now)
	s.tracker.SetStale(stale)
	for i := range jobs {
		s.decideOne(now, &jobs[i])
	}
	s.sendCopies()
}

func (s *Server) decideOne(now time.Time, j *forwarder.Job) {
	p := j.Packet()
	service := s.serviceOf(p.Destination())
	d := s.tracker.Decide(now, tracker.Query{
		Service: service,
		Flow:    p.Flow(),
		Mark:    p.Mark(),
		Hops:    p.Hops(),
	})
	j.Send(d, s.destination(d))
}

func (s *Server) serviceOf(address netip.AddrPort) planner.ServiceID {
	for _, p := range []*planner.Plan{s.tracker.Active(), s.tracker.Prepared()} {
		if p == nil {
			continue
		}
		if service, ok := p.Service(address); ok {
			return service.ID()
		}
	}
	return 0
}

func (s *Server) destination(d tracker.Decision) netip.AddrPort {
	switch d.Action() {
	case tracker.Forward:
		return s.tracker.Active().Target(d.Target()).Address()
	case tracker.HandOn:
		return s.dataAddress(d.Member())
	default:
		return netip.AddrPort{}
	}
}

// sendCopies passes on the records that decisions left to be copied.
func (s *Server) sendCopies() {
	for _, c := range s.tracker.Copies() {
		s.node.SendRecords(c.Member(), c.Records())
	}
}

func (s *Server) receiveRecords(records []tracker.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Learn(time.Now(), records)
}

func (s *Server) copyAgain(id tracker.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isMember(id) {
		s.tracker.CopyAll(id)
		s.sendCopies()
	}
}

// admit limits the open flows of a target that has just started.
func (s *Server) admit(now time.Time, target planner.TargetID, open int) bool {
	since, fresh := s.tracker.FreshSince(target)
	if !fresh {
		return true
	}
	service := s.tracker.Active().ServiceByID(s.tracker.Active().Target(target).Service())
	return s.limiter.Admits(service.ColdStart(), now.Sub(since), open)
}

// documents holds the accepted documents that this balancer knows.
type documents struct {
	active   *publisher.Record
	prepared *publisher.Record
	offered  *publisher.Record
}
