package director

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// flowIdleTimeout is how long a flow is tracked after its last packet. Callers give
	// up an attempt to open a flow after 1.4 s, and retransmit at least every 1.6 s.
	flowIdleTimeout = 4 * time.Second
	// maxTrackedFlows bounds the memory for tracked flows to about 5 MB. Further flows
	// are forwarded without being tracked.
	maxTrackedFlows = 32768
)

// flow is the state of a tracked flow. Packets of flows that aren't tracked are forwarded
// by their tokens alone.
type flow struct {
	source      netip.AddrPort
	destination netip.AddrPort
	// firstSeen and lastSeen are the times of the first and the last packet that arrived here.
	firstSeen time.Time
	lastSeen  time.Time
	// openingToken names the target that the opening packet was sent to, and openingSentAt
	// is when it was first sent. openingToken is 0 if the packet wasn't sent from here.
	openingToken  tokenizer.Token
	openingSentAt time.Time
	// openingSequence is the sequence number of the opening packet. It is valid if
	// openingSeen is true, that is if the first copy of the packet arrived here.
	openingSequence uint32
	openingSeen     bool
	// turnedAway reports whether the opening packet was answered with a reset for lack of room.
	turnedAway bool
	// pinned is the token of the flow's first packet that carried one, or 0 before that
	// packet. It names the target whose answer opened the flow.
	pinned tokenizer.Token
	// sequence is the highest sequence number of a packet with data from the caller.
	// waitingSince is when the caller first sent data that the target has not answered
	// yet, or zero if the target has answered all data.
	sequence     uint32
	waitingSince time.Time
	// acknowledged is the highest sequence number that the caller has acknowledged.
	acknowledged uint32
}

// maxFlowBytes bounds the distance in sequence numbers between a flow's opening packet and
// its data. Callers send requests of a few kilobytes.
const maxFlowBytes = 1 << 24

// isSucceededBy reports whether an opening packet with the flow's addresses and ports begins
// another flow: the caller has ended this flow and uses its port again.
func (f *flow) isSucceededBy(opening *Packet) bool {
	if f.openingSeen {
		return opening.Sequence != f.openingSequence
	}
	return f.sequence != 0 && f.sequence-opening.Sequence > maxFlowBytes
}

// includes reports whether a packet that follows an opening packet is of this flow, and not
// of another one with the same addresses and ports.
func (f *flow) includes(p *Packet) bool {
	switch {
	case f.openingSeen:
		return p.Sequence-f.openingSequence <= maxFlowBytes
	case f.sequence != 0:
		return int32(p.Sequence-f.sequence) <= maxFlowBytes && int32(f.sequence-p.Sequence) <= maxFlowBytes
	}
	return true
}

// observation is what a packet shows of its flow and of the flow's target.
type observation struct {
	// progress reports whether the packet acknowledges an answer of the target that no
	// earlier packet acknowledged.
	progress bool
	// retransmission reports whether the caller sends data again that the target has
	// not answered.
	retransmission bool
	// requestBegan reports whether a request begins with the packet.
	requestBegan bool
	// answered reports whether the packet acknowledges the first part of the answer to a
	// request.
	answered bool
	// requestTime is how long the target took to answer a request. It is 0 unless the
	// packet acknowledges the answer and carries no data. A packet with data may come much
	// later than the answer, since a caller may acknowledge the answer only with its next
	// request.
	requestTime time.Duration
}

// update records a packet that follows the flow's opening packet, and returns what the
// packet shows. Sequence numbers wrap around, so they are compared by their difference as
// an int32.
func (f *flow) update(now time.Time, p *Packet) observation {
	f.lastSeen = now
	var seen observation
	if f.acknowledged == 0 || int32(p.Acknowledged-f.acknowledged) > 0 {
		seen.progress = true
		seen.answered = !f.waitingSince.IsZero()
		if len(p.Data) == 0 && seen.answered {
			seen.requestTime = now.Sub(f.waitingSince)
		}
		f.acknowledged = p.Acknowledged
		f.waitingSince = time.Time{}
	}
	if len(p.Data) == 0 {
		return seen
	}
	retransmitted := f.sequence != 0 && int32(p.Sequence-f.sequence) <= 0
	if !retransmitted {
		f.sequence = p.Sequence
	}
	if f.waitingSince.IsZero() {
		f.waitingSince = now
		seen.requestBegan = true
	}
	seen.retransmission = retransmitted && !seen.progress
	return seen
}

// flowTable holds the tracked flows.
type flowTable struct {
	// byKey holds the flows by their flowKey.
	byKey map[uint64]*flow
	// pinned counts the flows that are pinned to each token.
	pinned map[tokenizer.Token]int
}

func newFlowTable() *flowTable {
	return &flowTable{byKey: make(map[uint64]*flow), pinned: make(map[tokenizer.Token]int)}
}

func (t *flowTable) find(key uint64) *flow { return t.byKey[key] }

// add starts to track a flow. It returns nil if maxTrackedFlows flows are tracked already.
func (t *flowTable) add(now time.Time, key uint64, p *Packet) *flow {
	if len(t.byKey) >= maxTrackedFlows {
		return nil
	}
	f := &flow{source: p.Source, destination: p.Destination, firstSeen: now, lastSeen: now}
	if p.Opening {
		f.openingSequence, f.openingSeen = p.Sequence, true
	}
	t.byKey[key] = f
	return f
}

// expire removes the flows that had no packet for flowIdleTimeout.
func (t *flowTable) expire(now time.Time) {
	for key, f := range t.byKey {
		if now.Sub(f.lastSeen) > flowIdleTimeout {
			t.remove(key, f)
		}
	}
}

func (t *flowTable) remove(key uint64, f *flow) {
	delete(t.byKey, key)
	if f.pinned == 0 {
		return
	}
	t.pinned[f.pinned]--
	if t.pinned[f.pinned] == 0 {
		delete(t.pinned, f.pinned)
	}
}

// pin pins a flow to a token if the flow isn't pinned yet. It returns the token that the
// flow is pinned to, or 0 if there is none.
func (t *flowTable) pin(f *flow, token tokenizer.Token) tokenizer.Token {
	if f.pinned == 0 && token != 0 {
		f.pinned = token
		t.pinned[token]++
	}
	return f.pinned
}

// hasFlows reports whether a tracked flow is pinned to a token of the target with this ID.
func (t *flowTable) hasFlows(id uint64) bool {
	tokens := tokenizer.TokensOf(id)
	return t.pinned[tokens[0]]+t.pinned[tokens[1]] > 0
}

// flowKey returns a hash of the source and destination addresses and ports.
func flowKey(p *Packet) uint64 {
	var data [36]byte
	source, destination := p.Source.Addr().As16(), p.Destination.Addr().As16()
	copy(data[:], source[:])
	copy(data[16:], destination[:])
	binary.BigEndian.PutUint16(data[32:], p.Source.Port())
	binary.BigEndian.PutUint16(data[34:], p.Destination.Port())
	return xxhash.Sum64(data[:])
}

// TrackedFlows returns the number of tracked flows.
func (d *Director) TrackedFlows() int { return len(d.flows.byKey) }
