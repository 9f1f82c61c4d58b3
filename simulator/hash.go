package simulator

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

// The strategies that the shipped one is compared with.
var (
	// HashOnly replaces its table at once when a document arrives, and stores no
	// flows.
	HashOnly = Strategy{Name: "hash only", New: hashConstructor(false, false, false)}
	// LocalTable stores the flows whose packets a balancer has seen, on that
	// balancer.
	LocalTable = Strategy{Name: "hash and local table", New: hashConstructor(true, false, false)}
	// Replicated sends each opened flow to every balancer.
	Replicated = Strategy{Name: "full replication", New: hashConstructor(true, true, false)}
	// OwnerPerFlow hands each packet to the owner of its flow, a balancer chosen by
	// rendezvous hashing.
	OwnerPerFlow = Strategy{Name: "owner per flow", New: hashConstructor(true, false, true)}
)

// stateRequest asks a peer for its document and, if Flows is set, for its flows.
type stateRequest struct {
	_     struct{} `cbor:",toarray"`
	Flows bool
}

// stateReply answers a stateRequest.
type stateReply struct {
	_        struct{} `cbor:",toarray"`
	Document []byte
	Flows    []tracker.Record
}

// hashDecider implements the strategies that choose a target by hash. Its flags
// select the strategy.
type hashDecider struct {
	env      Environment
	detector *detector.Detector
	contacts []tracker.MemberID
	// members are the live balancers, including this one.
	members []tracker.MemberID
	record  coordinator.Record
	plan    *planner.Plan
	flows   map[uint64]planner.TargetID
	// storesFlows keeps each decided flow on its target; replicates also sends
	// opened flows to the other balancers.
	storesFlows bool
	replicates  bool
	// usesOwners hands packets to the owner of their flow.
	usesOwners bool
	// synced says that peers were asked for their flows, or that this isn't needed.
	synced bool
}

// hashConstructor returns the constructor of a hashDecider with these flags.
func hashConstructor(storesFlows, replicates, usesOwners bool) func(Environment) Decider {
	return func(env Environment) Decider {
		h := &hashDecider{
			env: env, detector: detector.New(env.Self, env.Incarnation),
			flows: make(map[uint64]planner.TargetID), synced: !replicates, storesFlows: storesFlows, replicates: replicates, usesOwners: usesOwners,
		}
		h.detector.SetState(detector.Ready)
		return h
	}
}

func (h *hashDecider) SetContacts(ids []tracker.MemberID) {
	h.contacts = ids
	h.detector.SetContacts(ids)
}

func (h *hashDecider) Tick(now time.Time) {
	h.detector.SetRevisions(h.Revision(), h.Revision())
	for _, d := range h.detector.Heartbeat(now) {
		h.env.Send(d.To(), d.Message(), false)
	}
	h.members = append(h.members[:0], h.env.Self)
	for _, m := range h.detector.Members(now) {
		h.members = append(h.members, m.ID())
		if m.PreparedRevision() > h.Revision() || !h.synced {
			h.env.Send(m.ID(), stateRequest{Flows: !h.synced}, true)
		}
	}
	h.synced = h.synced || len(h.members) > 1
}

func (h *hashDecider) Offer(_ time.Time, record coordinator.Record) {
	if record.Revision > h.Revision() {
		h.record = record
		h.plan = planner.New(record.Revision, record.Document)
		h.deleteGoneFlows()
	}
}

// deleteGoneFlows deletes the flows of targets that were removed or taken out.
func (h *hashDecider) deleteGoneFlows() {
	for flow, target := range h.flows {
		if t := h.plan.Target(target); t == nil || t.ZoneOut() {
			delete(h.flows, flow)
		}
	}
}

func (h *hashDecider) Receive(now time.Time, from tracker.MemberID, body any) {
	switch m := body.(type) {
	case detector.Message:
		h.detector.Receive(now, m)
	case []tracker.Record:
		h.addRecords(m)
	case stateRequest:
		h.env.Send(from, h.stateFor(m), true)
	case stateReply:
		if len(m.Document) > 0 {
			h.Offer(now, h.env.Record(binary.BigEndian.Uint64(m.Document)))
		}
		h.addRecords(m.Flows)
	}
}

// addRecords stores the flows that a peer sent, except for those already known.
func (h *hashDecider) addRecords(records []tracker.Record) {
	for _, r := range records {
		if _, known := h.flows[r.Flow]; !known {
			h.flows[r.Flow] = r.Target
		}
	}
}

// stateFor returns the reply to a state request.
func (h *hashDecider) stateFor(m stateRequest) stateReply {
	reply := stateReply{Document: h.record.Encoded}
	if m.Flows {
		for flow, target := range h.flows {
			reply.Flows = append(reply.Flows, tracker.Record{Flow: flow, Target: target})
		}
	}
	return reply
}

// Failed does nothing: these strategies never send a message again.
func (h *hashDecider) Failed(time.Time, tracker.MemberID, any) {}

func (h *hashDecider) Decide(_ time.Time, q Query) Decision {
	if owner := h.owner(q.Flow); h.usesOwners && owner != h.env.Self && q.Hops == 0 {
		return Decision{Action: tracker.HandOn, Member: owner, Hops: 1}
	}
	if target := h.flows[q.Flow]; h.accepts(target, q.Service) {
		return Decision{Action: tracker.Forward, Target: target}
	}
	target := h.lookup(q.Query)
	if target == 0 {
		return Decision{Action: tracker.Drop}
	}
	if h.storesFlows {
		h.flows[q.Flow] = target
	}
	if h.replicates && q.FlowEvent == parser.FlowOpens {
		h.replicate(q.Query, target)
	}
	return Decision{Action: tracker.Forward, Target: target}
}

// lookup returns the target of the bucket that the flow hashes to, or 0 if there is
// none.
func (h *hashDecider) lookup(q tracker.Query) planner.TargetID {
	if h.plan == nil {
		return 0
	}
	s := h.plan.ServiceByID(q.Service)
	if s == nil {
		return 0
	}
	return s.Lookup(planner.BucketOf(q.Flow))
}

// accepts reports whether a stored target may still get packets of a service.
func (h *hashDecider) accepts(id planner.TargetID, service planner.ServiceID) bool {
	if id == 0 || h.plan == nil {
		return false
	}
	t := h.plan.Target(id)
	return t != nil && !t.ZoneOut() && t.Service() == service
}

// replicate sends an opened flow to all other balancers.
func (h *hashDecider) replicate(q tracker.Query, target planner.TargetID) {
	records := []tracker.Record{{Service: q.Service, Flow: q.Flow, Target: target}}
	for _, id := range h.contacts {
		if id != h.env.Self {
			h.env.Send(id, records, true)
		}
	}
}

// owner returns the balancer that decides on a flow: this one unless usesOwners is
// set.
func (h *hashDecider) owner(flow uint64) tracker.MemberID {
	if !h.usesOwners {
		return h.env.Self
	}
	var highest uint64
	owner := h.env.Self
	var key [12]byte
	binary.BigEndian.PutUint64(key[4:], flow)
	for _, id := range h.members {
		binary.BigEndian.PutUint32(key[:], uint32(id))
		if score := xxhash.Sum64(key[:]); score > highest {
			highest = score
			owner = id
		}
	}
	return owner
}

func (h *hashDecider) Revision() uint64 { return h.record.Revision }

func (h *hashDecider) Records() int { return len(h.flows) }
