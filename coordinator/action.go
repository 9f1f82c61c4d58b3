package coordinator

import (
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// Kind says which message an Action sends, and whether the sender needs an
// outcome.
type Kind uint8

// The kinds of action.
const (
	// SendHeartbeat sends a heartbeat, without waiting for an answer or retrying.
	SendHeartbeat Kind = iota
	// SendRecords sends records in order. If they may have been lost on the way,
	// Coordinator.HandleRecordsLost must be called.
	SendRecords
	// SendRequest sends a request. Coordinator.HandleReply must be called with the
	// reply, or with the failure.
	SendRequest
)

// Action is a message that the program which runs the Coordinator must send.
type Action struct {
	kind        Kind
	to          tracker.MemberID
	heartbeat   detector.Message
	records     []tracker.Record
	peerRequest PeerRequest
}

// Kind returns the kind of the message, and thereby which accessor holds its
// content.
func (a Action) Kind() Kind { return a.kind }

// To returns the balancer to send the message to.
func (a Action) To() tracker.MemberID { return a.to }

// Heartbeat returns the message to send for SendHeartbeat.
func (a Action) Heartbeat() detector.Message { return a.heartbeat }

// Records returns the records to send for SendRecords.
func (a Action) Records() []tracker.Record { return a.records }

// PeerRequest returns the request to send for SendRequest.
func (a Action) PeerRequest() PeerRequest { return a.peerRequest }

// PeerRequest is a request to one balancer, together with the round of requests
// that it belongs to.
type PeerRequest struct {
	round   uint32
	to      tracker.MemberID
	request Request
}

// Request returns the request to send.
func (p PeerRequest) Request() Request { return p.request }

// Request asks a balancer for its state, for its documents or to settle buckets.
// All requests are idempotent.
type Request struct {
	// Join asks for the state that a joining balancer needs.
	Join bool `cbor:"join,omitempty"`
	// Document asks for the active document and for the latest accepted one.
	Document bool `cbor:"document,omitempty"`
	// Settlements asks the balancer to settle buckets.
	Settlements []tracker.Settlement `cbor:"settlements,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	State detector.State `cbor:"state"`
	// Active is the encoded active document. Prepared is the latest encoded document
	// that the replying balancer knows, which it may not have prepared yet. Each may
	// be empty.
	Active   []byte            `cbor:"active,omitempty"`
	Prepared []byte            `cbor:"prepared,omitempty"`
	Snapshot *tracker.Snapshot `cbor:"snapshot,omitempty"`
	// HealthReports are the health reports that a joining balancer must take over.
	HealthReports []detector.HealthReport `cbor:"notes,omitempty"`
	// Holders are the balancers that held the shares of limits when the replying
	// balancer last used its own shares.
	Holders []tracker.MemberID `cbor:"holders,omitempty"`
	// Settled says for each settlement of the request, in the same order, whether
	// the replying balancer accepted it.
	Settled []bool `cbor:"settled,omitempty"`
}

// Actions returns the messages queued since the last call, and clears the queue.
func (c *Coordinator) Actions() []Action {
	c.queueRecordCopies()
	all := c.actions
	c.actions = nil
	return all
}

// queueRecordCopies queues the copies of records that the tracker wants to send.
func (c *Coordinator) queueRecordCopies() {
	for _, batch := range c.tracker.TakeRecordBatches() {
		c.actions = append(c.actions, Action{kind: SendRecords, to: batch.Member(), records: batch.Records()})
	}
}

// requestRound is a request sent to one or more balancers, whose outcomes are
// evaluated together. Its id is 0 if no round is in progress.
type requestRound struct {
	id      uint32
	pending map[tracker.MemberID]bool
	replies []Reply
	// peers and settlements are the recipients and the content of a round of
	// settling. They are empty in other rounds.
	peers       []tracker.MemberID
	settlements []tracker.Settlement
	failed      bool
}

func (r *requestRound) inProgress() bool { return r.id != 0 }

// startRound sends a request to each of the balancers as a new round.
func (c *Coordinator) startRound(r *requestRound, ids []tracker.MemberID, request Request) {
	c.lastRoundID++
	*r = requestRound{id: c.lastRoundID, pending: make(map[tracker.MemberID]bool)}
	for _, id := range ids {
		r.pending[id] = true
		peerRequest := PeerRequest{round: r.id, to: id, request: request}
		c.actions = append(c.actions, Action{kind: SendRequest, to: id, peerRequest: peerRequest})
	}
}

// addOutcome records the outcome of one request and reports whether the round is
// now complete. Outcomes of other rounds are ignored.
func (r *requestRound) addOutcome(p PeerRequest, reply Reply, ok bool) bool {
	if r.id != p.round || !r.pending[p.to] {
		return false
	}
	delete(r.pending, p.to)
	if ok {
		r.replies = append(r.replies, reply)
	} else {
		r.failed = true
	}
	return len(r.pending) == 0
}
