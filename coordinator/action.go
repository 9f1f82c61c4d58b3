package coordinator

import (
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Kind says what an action asks for.
type Kind uint8

// The kinds of action.
const (
	// SendHeartbeat sends a message once, without an answer.
	SendHeartbeat Kind = iota
	// SendRecords sends records in order; if they may be lost, Lost is to be called.
	SendRecords
	// SendRequest sends a request; Replied is to be called with its outcome.
	SendRequest
)

// Action is something that the balancer's shell is to do.
type Action struct {
	kind      Kind
	to        tracker.MemberID
	heartbeat detector.Message
	records   []tracker.Record
	ask       Ask
}

// Kind returns what to do.
func (a Action) Kind() Kind { return a.kind }

// To returns the balancer to send to.
func (a Action) To() tracker.MemberID { return a.to }

// Heartbeat returns the message of SendHeartbeat.
func (a Action) Heartbeat() detector.Message { return a.heartbeat }

// Records returns the records of SendRecords.
func (a Action) Records() []tracker.Record { return a.records }

// Ask returns the request of SendRequest.
func (a Action) Ask() Ask { return a.ask }

// Ask is a request to one balancer, as part of a round of requests.
type Ask struct {
	round   uint32
	to      tracker.MemberID
	request Request
}

// Request returns what to send.
func (a Ask) Request() Request { return a.request }

// Request asks a balancer for one thing. All requests are idempotent.
type Request struct {
	// Join asks for all that a joining balancer needs.
	Join bool `cbor:"join,omitempty"`
	// Document asks for the latest accepted document.
	Document bool `cbor:"document,omitempty"`
	// Settlements asks to settle buckets.
	Settlements []tracker.Settlement `cbor:"settlements,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	State detector.State `cbor:"state"`
	// Active and Prepared hold encoded records; they may be empty.
	Active   []byte            `cbor:"active,omitempty"`
	Prepared []byte            `cbor:"prepared,omitempty"`
	Snapshot *tracker.Snapshot `cbor:"snapshot,omitempty"`
	// Notes are the notes of targets that a joining balancer must hold.
	Notes []detector.Note `cbor:"notes,omitempty"`
	// Holders are the balancers with which shares of limits were last used.
	Holders []tracker.MemberID `cbor:"holders,omitempty"`
	// Settled holds one answer for each settlement.
	Settled []bool `cbor:"settled,omitempty"`
}

// Actions returns what is to be done, and forgets it.
func (c *Coordinator) Actions() []Action {
	c.collectCopies()
	all := c.actions
	c.actions = nil
	return all
}

func (c *Coordinator) collectCopies() {
	for _, copied := range c.tracker.Copies() {
		c.actions = append(c.actions, Action{kind: SendRecords, to: copied.Member(), records: copied.Records()})
	}
}

// round is a set of requests whose answers are judged together.
type round struct {
	id      uint32
	waiting map[tracker.MemberID]bool
	replies []Reply
	asked   []tracker.MemberID
	wanted  []tracker.Settlement
	failed  bool
}

func (r *round) open() bool { return r.id != 0 }

// start sends a request to each of the balancers.
func (c *Coordinator) start(r *round, ids []tracker.MemberID, request Request) {
	c.lastRound++
	*r = round{id: c.lastRound, waiting: make(map[tracker.MemberID]bool)}
	for _, id := range ids {
		r.waiting[id] = true
		ask := Ask{round: r.id, to: id, request: request}
		c.actions = append(c.actions, Action{kind: SendRequest, to: id, ask: ask})
	}
}

// take notes one outcome and reports whether the round is complete.
func (r *round) take(a Ask, reply Reply, ok bool) bool {
	if r.id != a.round || !r.waiting[a.to] {
		return false
	}
	delete(r.waiting, a.to)
	if ok {
		r.replies = append(r.replies, reply)
	} else {
		r.failed = true
	}
	return len(r.waiting) == 0
}
