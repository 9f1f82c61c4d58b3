package simulator

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// headerBytes is the size of the headers counted for each datagram and stream
	// write.
	headerBytes = 60
	// One in datagramLossOneIn datagrams is lost, at random.
	datagramLossOneIn = 50
	// sendTimeout is the time after which a request or a stream write to a silent
	// peer fails.
	sendTimeout = 3 * time.Second
	// fabricDetectionTime is how long the fabric still sends packets to a balancer
	// that ended or froze.
	fabricDetectionTime = time.Second
	// maxDocumentDelay is the longest time in which a document arrives from the
	// platform.
	maxDocumentDelay = 3 * time.Second
	// maxStateTransferTime is the longest time that the reply to a request takes,
	// beyond the delay of the network.
	maxStateTransferTime = 200 * time.Millisecond
)

// message is a message between two balancers, given by their indexes.
type message struct {
	from, to int
	body     any
	reliable bool
}

// node is a balancer and its connection to the simulated network.
type node struct {
	index   int
	name    string
	id      tracker.MemberID
	decider Decider
	// incarnation changes when the balancer ends or restarts. Events scheduled for
	// an earlier one are dropped.
	incarnation uint32
	alive       bool
	frozen      bool
	// silentSince is when the balancer last ended or froze.
	silentSince time.Time
	// documentsHeldUntil is the time before which no document of the platform
	// arrives.
	documentsHeldUntil time.Time
	// revision is the latest revision that the balancer reported.
	revision uint64
	// queuedMessages, queuedPackets and onThaw are what a frozen balancer processes
	// when it goes on.
	queuedMessages []message
	queuedPackets  []packet
	onThaw         []func()
}

// addNode adds a balancer and tells all others its identifier.
func (r *Run) addNode(index int) {
	n := &node{index: index, name: fmt.Sprintf("b%02d", index)}
	n.id = tracker.NewMemberID(n.name)
	r.nodes = append(r.nodes, n)
	r.byID[n.id] = index
	r.ids = append(r.ids, n.id)
	for _, other := range r.nodes {
		if other.decider != nil {
			other.decider.SetContacts(r.ids)
		}
	}
	r.resetNode(n)
}

// resetNode starts a balancer without state, under a new incarnation.
func (r *Run) resetNode(n *node) {
	n.incarnation++
	n.alive = true
	n.frozen = false
	n.revision = 0
	n.queuedMessages = nil
	n.queuedPackets = nil
	n.onThaw = nil
	incarnation := n.incarnation
	n.decider = r.strategy.New(Environment{
		Self:        n.id,
		Incarnation: n.incarnation,
		Disabled:    r.disabled,
		Record:      r.history.record,
		Send: func(to tracker.MemberID, body any, reliable bool) {
			if n.incarnation == incarnation {
				r.send(message{from: n.index, to: r.byID[to], body: body, reliable: reliable})
			}
		},
	})
	n.decider.SetContacts(r.ids)
}

// send sends a message between balancers and counts its bytes.
func (r *Run) send(m message) {
	r.meter.countMessage(m.from, m.body)
	if _, isRequest := m.body.(peerRequest); isRequest {
		// The request times out, also if only its answer is lost.
		r.reportFailure(m)
	}
	if m.reliable {
		r.sendReliable(m)
		return
	}
	if r.cuts[[2]int{m.from, m.to}] || r.random.IntN(datagramLossOneIn) == 0 {
		return
	}
	r.deliver(m, r.delay())
}

// delay returns a random network delay from 0.5 ms to 1.5 ms.
func (r *Run) delay() time.Duration {
	return time.Duration(500+r.random.IntN(1000)) * time.Microsecond
}

// sendReliable delivers a message, or reports its loss if the peer is down or
// frozen or either direction is cut, because acknowledgements need both directions.
func (r *Run) sendReliable(m message) {
	to := r.nodes[m.to]
	cut := r.cuts[[2]int{m.from, m.to}] || r.cuts[[2]int{m.to, m.from}]
	if cut || !to.alive || to.frozen {
		r.reportLostWrite(m)
		return
	}
	delay := time.Millisecond
	if _, isReply := m.body.(peerReply); isReply {
		delay += time.Duration(r.random.Int64N(int64(maxStateTransferTime)))
	}
	r.deliver(m, delay)
}

// reportLostWrite reports a lost stream write to its sender. A request needs no
// report: it times out in any case.
func (r *Run) reportLostWrite(m message) {
	if _, isRequest := m.body.(peerRequest); !isRequest {
		r.reportFailure(m)
	}
}

// reportFailure tells the sender after sendTimeout that a message failed. A frozen
// sender is told when it goes on.
func (r *Run) reportFailure(m message) {
	from := r.nodes[m.from]
	incarnation := from.incarnation
	var report func()
	report = func() {
		switch {
		case from.incarnation != incarnation || !from.alive:
		case from.frozen:
			from.onThaw = append(from.onThaw, report)
		default:
			from.decider.Failed(r.now, r.nodes[m.to].id, m.body)
		}
	}
	r.schedule(sendTimeout, report)
}

// deliver passes a message to its receiver after a delay.
func (r *Run) deliver(m message, delay time.Duration) {
	to := r.nodes[m.to]
	incarnation := to.incarnation
	r.schedule(delay, func() {
		switch {
		case to.incarnation != incarnation || !to.alive:
			if m.reliable {
				r.reportLostWrite(m)
			}
		case to.frozen:
			to.queuedMessages = append(to.queuedMessages, m)
		default:
			to.decider.Receive(r.now, r.nodes[m.from].id, m.body)
		}
	})
}

// offerDocument passes a document to a balancer after a delay, unless the balancer
// has ended or is frozen by then.
func (r *Run) offerDocument(n *node, record coordinator.Record, delay time.Duration) {
	incarnation := n.incarnation
	r.schedule(delay, func() {
		if n.incarnation == incarnation && n.alive && !n.frozen {
			n.decider.Offer(r.now, record)
		}
	})
}

// messageKind returns the name under which the bytes of a message are counted.
func messageKind(body any) string {
	switch body.(type) {
	case detector.Message:
		return "heartbeats"
	case []tracker.Record:
		return "records"
	default:
		return "requests"
	}
}

// encodedSize returns the size of a message in CBOR, or 0 if it can't be encoded.
func encodedSize(body any) int {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0
	}
	return len(data)
}
