// Package server runs one balancer: it joins the coordinator, which decides, to
// sockets, peers and the platform.
//
// # Usage
//
//	settings, err := server.LoadSettings("balancer.json")
//	s, err := server.New(settings, slog.Default())
//	err = s.Run(ctx) // until ctx ends and the drain time is over
//
// The coordinator is behind one lock, which the data path takes once for each
// batch of packets.
package server

import (
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/tracker"
	"trefoilspring.example/trefoilspring/watcher"
)

// askTimeout bounds one request to a peer.
const askTimeout = 3 * time.Second

// lastWords is how long a balancer that ends gives its last heartbeats to leave.
const lastWords = 50 * time.Millisecond

// Server is one balancer.
type Server struct {
	settings Settings
	log      *slog.Logger
	vars     *expvar.Map
	counters *forwarder.Counters
	node     *peer.Node
	watcher  *watcher.Watcher
	group    *errgroup.Group
	work     context.Context
	addresses

	mu          sync.Mutex
	coordinator *coordinator.Coordinator
}

// New returns a balancer with these settings.
func New(settings Settings, log *slog.Logger) (*Server, error) {
	identity, err := peer.LoadIdentity(settings.TLS)
	if err != nil {
		return nil, err
	}
	s := &Server{
		settings: settings,
		log:      log.With("balancer", settings.Name),
		vars:     new(expvar.Map),
		node:     peer.New(settings.contact(), identity, settings.Peers),
		watcher:  watcher.New(consul.New(settings.Platform)),
		coordinator: coordinator.New(coordinator.Config{
			Self:              tracker.NewMemberID(settings.Name),
			Incarnation:       uint32(time.Now().Unix()),
			AvailabilityZones: settings.ServedZones,
		}),
	}
	s.counters = forwarder.NewCounters(s.vars)
	s.setAddresses(settings.FabricAddresses, settings.Peers)
	s.connectParts()
	return s, nil
}

func (s *Server) connectParts() {
	s.coordinator.Decode = decodeRecord
	s.coordinator.Note = s.log.Info
	s.coordinator.Count = s.vars.Add
	s.node.Count = s.vars.Add
	s.node.OnHeartbeat = s.receiveHeartbeat
	s.node.OnRecords = s.receiveRecords
	s.node.OnRequest = s.answer
	s.node.OnRecordsLost = s.copyAgain
	s.watcher.Log = s.log
	s.watcher.OnDocument = s.offer
}

// Run serves until ctx ends, then drains and returns.
func (s *Server) Run(ctx context.Context) error {
	// The work goes on while the balancer drains, so it has a context of its own.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	s.group, s.work = errgroup.WithContext(work)
	for range s.settings.readers() {
		if err := s.startForwarder(); err != nil {
			return err
		}
	}
	s.group.Go(func() error { return s.node.Run(s.work) })
	s.group.Go(func() error { return s.serveAdmin(s.work) })
	s.group.Go(func() error { return s.watcher.Run(s.work) })
	s.group.Go(func() error { return s.newProber().Run(s.work) })
	s.group.Go(s.tickLoop)
	s.group.Go(func() error {
		select {
		case <-s.work.Done():
		case <-ctx.Done():
			s.drain()
			end()
		}
		return nil
	})
	s.log.Info("balancer started", "data-address", s.settings.DataAddress.String())
	err := s.group.Wait()
	s.log.Info("balancer ended")
	return err
}

func (s *Server) startForwarder() error {
	conn, err := batcher.Listen(s.work, s.settings.DataAddress)
	if err != nil {
		return err
	}
	f := forwarder.New(conn, s.counters)
	f.Decide = s.decide
	f.Trusted = s.origin
	f.Fabric = s.settings.FabricAddresses[0]
	s.group.Go(func() error {
		defer conn.Close()
		return f.Run(s.work)
	})
	return nil
}

// drain tells the fabric and the peers, then waits while packets still arrive.
func (s *Server) drain() {
	s.log.Info("draining", "drain", time.Duration(s.settings.Drain).String())
	s.mu.Lock()
	s.coordinator.Leave(time.Now())
	s.mu.Unlock()
	s.tick()
	select {
	case <-s.work.Done():
	case <-time.After(time.Duration(s.settings.Drain)):
	}
	s.mu.Lock()
	s.perform(s.coordinator.End(time.Now()))
	s.mu.Unlock()
	// The last heartbeats are on their way when the connections close.
	time.Sleep(lastWords)
}

func (s *Server) tickLoop() error {
	ticker := time.NewTicker(detector.Interval)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-s.work.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) tick() {
	contacts := s.node.Contacts()
	s.setAddresses(s.settings.FabricAddresses, contacts)
	ids := make([]tracker.MemberID, 0, len(contacts))
	for _, c := range contacts {
		ids = append(ids, c.ID())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinator.SetContacts(ids)
	s.perform(s.coordinator.Tick(time.Now()))
}

// perform does what the coordinator asks for. It is called under the lock, so it
// only queues or starts work.
func (s *Server) perform(actions []coordinator.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			s.node.SendHeartbeat(a.To(), a.Heartbeat())
		case coordinator.SendRecords:
			s.node.SendRecords(a.To(), a.Records())
		case coordinator.SendRequest:
			s.group.Go(func() error {
				s.ask(a)
				return nil
			})
		}
	}
}

func (s *Server) ask(a coordinator.Action) {
	ctx, cancel := context.WithTimeout(s.work, askTimeout)
	defer cancel()
	reply, err := s.node.SendRequest(ctx, a.To(), a.Ask().Request())
	if err != nil {
		s.log.Info("request to a peer failed", "cause", err.Error())
	}
	s.update(func(now time.Time) {
		s.coordinator.Replied(now, a.Ask(), reply, err == nil)
	})
}

// update gives the coordinator an input and does what it then asks for.
func (s *Server) update(input func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	input(time.Now())
	s.perform(s.coordinator.Actions())
}

func (s *Server) receiveHeartbeat(m detector.Message) {
	s.update(func(now time.Time) { s.coordinator.Heartbeat(now, m) })
}

func (s *Server) receiveRecords(records []tracker.Record) {
	s.update(func(now time.Time) { s.coordinator.Learn(now, records) })
}

func (s *Server) copyAgain(id tracker.MemberID) {
	s.update(func(time.Time) { s.coordinator.Lost(id) })
}

func (s *Server) answer(from tracker.MemberID, r coordinator.Request) coordinator.Reply {
	var reply coordinator.Reply
	s.update(func(now time.Time) { reply = s.coordinator.Answer(now, from, r) })
	return reply
}

// decide answers a batch of packets under one lock.
func (s *Server) decide(now time.Time, jobs []forwarder.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinator.Refresh(now)
	for i := range jobs {
		s.decideOne(now, &jobs[i])
	}
	s.perform(s.coordinator.Actions())
}

func (s *Server) decideOne(now time.Time, j *forwarder.Job) {
	p := j.Packet()
	d := s.coordinator.Decide(now, tracker.Query{
		Service: s.coordinator.Service(p.Destination()),
		Flow:    p.Flow(),
		Mark:    p.Mark(),
		Hops:    p.Hops(),
	})
	j.Send(d, s.destination(d))
}

func (s *Server) destination(d tracker.Decision) netip.AddrPort {
	switch d.Action() {
	case tracker.Forward:
		return s.coordinator.Tracker().Target(d.Target()).Address()
	case tracker.HandOn:
		return s.dataAddress(d.Member())
	default:
		return netip.AddrPort{}
	}
}

// offer takes a document from the platform.
func (s *Server) offer(r publisher.Record) {
	encoded, err := publisher.Pack(r)
	if err != nil {
		s.vars.Add("document-not-encoded", 1)
		return
	}
	record := coordinator.Record{Revision: r.Revision, Document: &r.Document, Encoded: encoded}
	s.update(func(now time.Time) { s.coordinator.Offer(now, record) })
}

func decodeRecord(encoded []byte) (coordinator.Record, error) {
	r, err := publisher.Unpack(encoded)
	if err != nil {
		return coordinator.Record{}, err
	}
	return coordinator.Record{Revision: r.Revision, Document: &r.Document, Encoded: encoded}, nil
}
