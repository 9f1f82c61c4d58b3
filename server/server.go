// Package server runs one balancer. It connects the coordinator, which makes all
// decisions, to the sockets of the data path, the peers and the platform.
//
// # Usage
//
//	settings, err := server.LoadSettings("balancer.json")
//	s, err := server.New(settings, slog.Default())
//	err = s.Run(ctx) // returns after ctx is done and the drain time is over
//
// One lock protects the coordinator. The data path takes it once for each batch of
// packets.
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

// requestTimeout bounds one request to a peer, including the dial.
const requestTimeout = 3 * time.Second

// finalHeartbeatDelay is how long a stopping balancer keeps its connections open after it
// has queued its last heartbeats, so that they are still sent.
const finalHeartbeatDelay = 50 * time.Millisecond

// Server is one balancer with its sockets, peers and connection to the platform.
type Server struct {
	settings Settings
	log      *slog.Logger
	vars     *expvar.Map
	counters *forwarder.Counters
	node     *peer.Node
	watcher  *watcher.Watcher
	// group runs the server's goroutines. runContext is their context, which ends when the
	// server has drained or one of them fails.
	group      *errgroup.Group
	runContext context.Context
	addressBook

	// mu guards coordinator.
	mu          sync.Mutex
	coordinator *coordinator.Coordinator
}

// New returns a balancer with settings that LoadSettings returned or Check accepted. It
// returns an error if the TLS files can't be loaded.
func New(settings Settings, log *slog.Logger) (*Server, error) {
	identity, err := peer.LoadIdentity(settings.TLS)
	if err != nil {
		return nil, err
	}
	s := &Server{
		settings: settings,
		log:      log.With("balancer", settings.Name),
		vars:     new(expvar.Map),
		node:     peer.New(settings.selfContact(), identity, settings.Peers),
		watcher:  watcher.New(consul.New(settings.Platform)),
		coordinator: coordinator.New(coordinator.Config{
			Self:              tracker.NewMemberID(settings.Name),
			Incarnation:       uint32(time.Now().Unix()),
			AvailabilityZones: settings.ServedZones,
		}),
	}
	s.counters = forwarder.NewCounters(s.vars)
	s.setAddresses(settings.FabricAddresses, settings.Peers)
	s.setCallbacks()
	return s, nil
}

// setCallbacks sets the function fields of the coordinator, the peer node and the
// platform watcher.
func (s *Server) setCallbacks() {
	s.coordinator.Decode = decodeRecord
	s.coordinator.Log = s.log.Info
	s.coordinator.Count = s.vars.Add
	s.node.Count = s.vars.Add
	s.node.OnHeartbeat = s.receiveHeartbeat
	s.node.OnRecords = s.receiveRecords
	s.node.OnRequest = s.answerRequest
	s.node.OnRecordsLost = s.resendRecords
	s.watcher.Log = s.log
	s.watcher.OnRecord = s.offerRecord
}

// Run serves until ctx is done, drains for the time in the settings, and returns. It
// returns an error if a part of the server fails.
func (s *Server) Run(ctx context.Context) error {
	// The parts go on running while the balancer drains, so they get a context that does
	// not end with ctx.
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.group, s.runContext = errgroup.WithContext(partsCtx)
	for range s.settings.readerCount() {
		if err := s.startForwarder(); err != nil {
			return err
		}
	}
	s.group.Go(func() error { return s.node.Run(s.runContext) })
	s.group.Go(func() error { return s.serveAdmin(s.runContext) })
	s.group.Go(func() error { return s.watcher.Run(s.runContext) })
	s.group.Go(func() error { return s.newProber().Run(s.runContext) })
	s.group.Go(s.tickLoop)
	s.group.Go(func() error {
		select {
		case <-s.runContext.Done():
		case <-ctx.Done():
			s.drain()
			cancel()
		}
		return nil
	})
	s.log.Info("balancer started", "data-address", s.settings.DataAddress.String())
	err := s.group.Wait()
	s.log.Info("balancer ended")
	return err
}

// startForwarder opens a data socket and starts a goroutine that forwards its packets.
func (s *Server) startForwarder() error {
	conn, err := batcher.Listen(s.runContext, s.settings.DataAddress)
	if err != nil {
		return err
	}
	f := forwarder.New(conn, s.counters)
	f.Decide = s.decideBatch
	f.OriginOf = s.originOf
	f.FabricAddress = s.settings.FabricAddresses[0]
	s.group.Go(func() error {
		defer conn.Close()
		return f.Run(s.runContext)
	})
	return nil
}

// drain announces to the peers and, by /ready, to the fabric that this balancer leaves.
// It goes on forwarding for the drain time. Then its last heartbeats tell the peers that
// it decides nothing any more, so that they need not wait until heartbeats are missed.
func (s *Server) drain() {
	s.log.Info("draining", "drain", time.Duration(s.settings.Drain).String())
	s.mu.Lock()
	s.coordinator.Leave(time.Now())
	s.mu.Unlock()
	s.tick()
	select {
	case <-s.runContext.Done():
	case <-time.After(time.Duration(s.settings.Drain)):
	}
	s.mu.Lock()
	s.performActions(s.coordinator.Stop(time.Now()))
	s.mu.Unlock()
	// SendHeartbeat only queues the datagrams; closing the connections would drop them.
	time.Sleep(finalHeartbeatDelay)
}

// tickLoop calls tick once each detector.HeartbeatInterval.
func (s *Server) tickLoop() error {
	ticker := time.NewTicker(detector.HeartbeatInterval)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-s.runContext.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick passes the known peers to the address book and the coordinator, and does the
// coordinator's periodic work.
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
	s.performActions(s.coordinator.Tick(time.Now()))
}

// performActions performs the actions that the coordinator returned. It is called with
// s.mu held, so the function must not block: it only queues messages and starts goroutines.
func (s *Server) performActions(actions []coordinator.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			s.node.SendHeartbeat(a.To(), a.Heartbeat())
		case coordinator.SendRecords:
			s.node.SendRecords(a.To(), a.Records())
		case coordinator.SendRequest:
			s.group.Go(func() error {
				s.sendRequest(a)
				return nil
			})
		}
	}
}

// sendRequest sends a request to a peer and passes the reply, or the failure, to the
// coordinator.
func (s *Server) sendRequest(a coordinator.Action) {
	ctx, cancel := context.WithTimeout(s.runContext, requestTimeout)
	defer cancel()
	reply, err := s.node.SendRequest(ctx, a.To(), a.PeerRequest().Request())
	if err != nil {
		s.log.Info("request to a peer failed", "cause", err.Error())
	}
	s.applyInput(func(now time.Time) {
		s.coordinator.HandleReply(now, a.PeerRequest(), reply, err == nil)
	})
}

// applyInput calls input, which passes an event to the coordinator, and performs the
// actions that follow from the event. It holds the lock for both.
func (s *Server) applyInput(input func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	input(time.Now())
	s.performActions(s.coordinator.Actions())
}

// receiveHeartbeat passes a heartbeat from a peer to the coordinator.
func (s *Server) receiveHeartbeat(m detector.Message) {
	s.applyInput(func(now time.Time) { s.coordinator.HandleHeartbeat(now, m) })
}

// receiveRecords passes records from a peer to the coordinator.
func (s *Server) receiveRecords(records []tracker.Record) {
	s.applyInput(func(now time.Time) { s.coordinator.HandleRecords(now, records) })
}

// resendRecords tells the coordinator that records may not have reached a peer, so that
// the coordinator sends all records again.
func (s *Server) resendRecords(id tracker.MemberID) {
	s.applyInput(func(time.Time) { s.coordinator.HandleRecordsLost(id) })
}

// answerRequest returns the reply to a request from a peer.
func (s *Server) answerRequest(from tracker.MemberID, r coordinator.Request) coordinator.Reply {
	var reply coordinator.Reply
	s.applyInput(func(now time.Time) { reply = s.coordinator.HandleRequest(now, from, r) })
	return reply
}

// decideBatch decides on all packets of a batch under one acquisition of the lock.
func (s *Server) decideBatch(now time.Time, jobs []forwarder.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinator.Refresh(now)
	for i := range jobs {
		s.decidePacket(now, &jobs[i])
	}
	s.performActions(s.coordinator.Actions())
}

// decidePacket decides on one packet and stores the decision in its job. It is called
// with s.mu held.
func (s *Server) decidePacket(now time.Time, j *forwarder.Job) {
	p := j.Packet()
	d := s.coordinator.Decide(now, tracker.Query{
		Service:   s.coordinator.Service(p.Destination()),
		Flow:      p.FlowHash(),
		FlowEvent: p.FlowEvent(),
		Hops:      p.Hops(),
	})
	j.SetDecision(d, s.destinationOf(d))
}

// destinationOf returns the address to which a decision sends its packet: that of a target
// or, if the packet is handed on, that of another balancer. It returns the zero AddrPort
// for any other decision.
func (s *Server) destinationOf(d tracker.Decision) netip.AddrPort {
	switch d.Action() {
	case tracker.Forward:
		return s.coordinator.Tracker().Target(d.Target()).Address()
	case tracker.HandOn:
		return s.dataAddressOf(d.Member())
	default:
		return netip.AddrPort{}
	}
}

// offerRecord passes a new record from the platform to the coordinator.
func (s *Server) offerRecord(r publisher.Record) {
	encoded, err := publisher.CompressRecord(r)
	if err != nil {
		s.vars.Add("document-not-encoded", 1)
		return
	}
	record := coordinator.Record{Revision: r.Revision, Document: &r.Document, Encoded: encoded}
	s.applyInput(func(now time.Time) { s.coordinator.Offer(now, record) })
}

// decodeRecord decodes a document that a peer sent, as encoded by
// publisher.CompressRecord.
func decodeRecord(encoded []byte) (coordinator.Record, error) {
	r, err := publisher.DecompressRecord(encoded)
	if err != nil {
		return coordinator.Record{}, err
	}
	return coordinator.Record{Revision: r.Revision, Document: &r.Document, Encoded: encoded}, nil
}
