package exerciser

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// The ways that are compared with the one shipped.
var (
	// HashOnly replaces its table at once and remembers nothing.
	HashOnly = Way{Name: "hash only", New: baseline(false, false, false)}
	// LocalTable remembers the flows whose packets a balancer has seen.
	LocalTable = Way{Name: "hash and local table", New: baseline(true, false, false)}
	// Replicated tells every balancer of each opening.
	Replicated = Way{Name: "full replication", New: baseline(true, true, false)}
	// Owned sends each packet to an owner picked by rendezvous hashing.
	Owned = Way{Name: "owner per flow", New: baseline(true, false, true)}
)

// wanted asks a peer for its document, and for its flows on joining.
type wanted struct {
	_     struct{} `cbor:",toarray"`
	Flows bool
}

// given answers it.
type given struct {
	_        struct{} `cbor:",toarray"`
	Document []byte
	Flows    []tracker.Record
}

// hashed is a balancer of all simple ways.
type hashed struct {
	env        Environment
	detector   *detector.Detector
	contacts   []tracker.MemberID
	live       []tracker.MemberID
	record     coordinator.Record
	plan       *planner.Plan
	flows      map[uint64]planner.TargetID
	remembers  bool
	replicates bool
	owns       bool
	synced     bool
}

func baseline(remembers, replicates, owns bool) func(Environment) Decider {
	return func(env Environment) Decider {
		h := &hashed{
			env: env, detector: detector.New(env.Self, env.Incarnation),
			flows: make(map[uint64]planner.TargetID), synced: !replicates, remembers: remembers, replicates: replicates, owns: owns,
		}
		h.detector.SetState(detector.Ready)
		return h
	}
}

func (h *hashed) SetContacts(ids []tracker.MemberID) {
	h.contacts = ids
	h.detector.SetContacts(ids)
}

func (h *hashed) Tick(now time.Time) {
	h.detector.SetRevisions(h.Revision(), h.Revision())
	for _, d := range h.detector.Beat(now) {
		h.env.Send(d.To(), d.Message(), false)
	}
	h.live = append(h.live[:0], h.env.Self)
	for _, m := range h.detector.Members(now) {
		h.live = append(h.live, m.ID())
		if m.Prepared() > h.Revision() || !h.synced {
			h.env.Send(m.ID(), wanted{Flows: !h.synced}, true)
		}
	}
	h.synced = h.synced || len(h.live) > 1
}

func (h *hashed) Offer(_ time.Time, record coordinator.Record) {
	if record.Revision > h.Revision() {
		h.record = record
		h.plan = planner.New(record.Revision, record.Document)
		h.forget()
	}
}

// forget drops the flows of targets that are gone.
func (h *hashed) forget() {
	for flow, target := range h.flows {
		if t := h.plan.Target(target); t == nil || t.Out() {
			delete(h.flows, flow)
		}
	}
}

func (h *hashed) Receive(now time.Time, from tracker.MemberID, body any) {
	switch m := body.(type) {
	case detector.Message:
		h.detector.Receive(now, m)
	case []tracker.Record:
		h.learn(m)
	case wanted:
		h.env.Send(from, h.give(m), true)
	case given:
		if len(m.Document) > 0 {
			h.Offer(now, h.env.Record(binary.BigEndian.Uint64(m.Document)))
		}
		h.learn(m.Flows)
	}
}

func (h *hashed) learn(records []tracker.Record) {
	for _, r := range records {
		if _, known := h.flows[r.Flow]; !known {
			h.flows[r.Flow] = r.Target
		}
	}
}

func (h *hashed) give(m wanted) given {
	g := given{Document: h.record.Encoded}
	if m.Flows {
		for flow, target := range h.flows {
			g.Flows = append(g.Flows, tracker.Record{Flow: flow, Target: target})
		}
	}
	return g
}

// Failed does nothing: the simple ways have no second try.
func (h *hashed) Failed(time.Time, tracker.MemberID, any) {}

func (h *hashed) Decide(_ time.Time, q Query) Decision {
	if owner := h.owner(q.Flow); h.owns && owner != h.env.Self && q.Hops == 0 {
		return Decision{Action: tracker.HandOn, Member: owner, Hops: 1}
	}
	if target := h.flows[q.Flow]; h.mayReceive(target, q.Service) {
		return Decision{Action: tracker.Forward, Target: target}
	}
	target := h.lookup(q.Query)
	if target == 0 {
		return Decision{Action: tracker.Drop}
	}
	if h.remembers {
		h.flows[q.Flow] = target
	}
	if h.replicates && q.Mark == parser.MarkOpening {
		h.replicate(q.Query, target)
	}
	return Decision{Action: tracker.Forward, Target: target}
}

func (h *hashed) lookup(q tracker.Query) planner.TargetID {
	if h.plan == nil {
		return 0
	}
	s := h.plan.ServiceByID(q.Service)
	if s == nil {
		return 0
	}
	return s.Lookup(planner.BucketOf(q.Flow))
}

func (h *hashed) mayReceive(id planner.TargetID, service planner.ServiceID) bool {
	if id == 0 || h.plan == nil {
		return false
	}
	t := h.plan.Target(id)
	return t != nil && !t.Out() && t.Service() == service
}

func (h *hashed) replicate(q tracker.Query, target planner.TargetID) {
	records := []tracker.Record{{Service: q.Service, Flow: q.Flow, Target: target}}
	for _, id := range h.contacts {
		if id != h.env.Self {
			h.env.Send(id, records, true)
		}
	}
}

func (h *hashed) owner(flow uint64) tracker.MemberID {
	if !h.owns {
		return h.env.Self
	}
	var best uint64
	owner := h.env.Self
	var key [12]byte
	binary.BigEndian.PutUint64(key[4:], flow)
	for _, id := range h.live {
		binary.BigEndian.PutUint32(key[:], uint32(id))
		if score := xxhash.Sum64(key[:]); score > best {
			best = score
			owner = id
		}
	}
	return owner
}

func (h *hashed) Revision() uint64 { return h.record.Revision }

func (h *hashed) Records() int { return len(h.flows) }
