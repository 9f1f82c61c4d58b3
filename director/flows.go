package director

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// flowLife is how long a flow is watched after its last packet. Callers end an
	// attempt to open after 1.4 s, and retransmit at least every 1.6 s.
	flowLife = 4 * time.Second
	// maxFlows bounds the memory to about 5 MB. Flows beyond it are forwarded all
	// the same, only unwatched.
	maxFlows = 32768
)

// flow is what a balancer has seen of a flow in the last seconds. Nothing of it is
// needed to forward a packet.
type flow struct {
	source      netip.AddrPort
	destination netip.AddrPort
	seen        time.Time
	// last is the target that the last copy of the opening went to, at openedAt.
	last     tokenizer.Token
	openedAt time.Time
	// settled is the target whose answer the caller took.
	settled tokenizer.Token
	// sequence is the highest of the caller's data, and waitingSince when data
	// were first sent that nothing has answered; zero if all is answered.
	sequence     uint32
	waitingSince time.Time
	acknowledged uint32
}

// observation is what a packet shows of its flow and the flow's target.
type observation struct {
	// progress means that the target has answered.
	progress bool
	// repetition means that the caller sends data again which nothing answered.
	repetition bool
	// began means that a request begins.
	began bool
	// took is how long the target took for a request, or 0 where the packet doesn't
	// show it: an answer may be acknowledged only by the next request.
	took time.Duration
}

// observe notes a packet after the opening.
func (f *flow) observe(now time.Time, p *Packet) observation {
	f.seen = now
	var seen observation
	if f.acknowledged == 0 || int32(p.Acknowledged-f.acknowledged) > 0 {
		seen.progress = true
		if len(p.Data) == 0 && !f.waitingSince.IsZero() {
			seen.took = now.Sub(f.waitingSince)
		}
		f.acknowledged = p.Acknowledged
		f.waitingSince = time.Time{}
	}
	if len(p.Data) == 0 {
		return seen
	}
	again := f.sequence != 0 && int32(p.Sequence-f.sequence) <= 0
	if !again {
		f.sequence = p.Sequence
	}
	if f.waitingSince.IsZero() {
		f.waitingSince = now
		seen.began = true
	}
	seen.repetition = again && !seen.progress
	return seen
}

// flows holds the flows of the last seconds.
type flows struct {
	rows map[uint64]*flow
	// settled counts the flows of each target.
	settled map[tokenizer.Token]int
}

func newFlows() *flows {
	return &flows{rows: make(map[uint64]*flow), settled: make(map[tokenizer.Token]int)}
}

func (s *flows) find(key uint64) *flow { return s.rows[key] }

// add starts to watch a flow. It returns nil if too many are watched.
func (s *flows) add(now time.Time, key uint64, p *Packet) *flow {
	if len(s.rows) >= maxFlows {
		return nil
	}
	f := &flow{source: p.Source, destination: p.Destination, seen: now}
	s.rows[key] = f
	return f
}

func (s *flows) expire(now time.Time) {
	for key, f := range s.rows {
		if now.Sub(f.seen) > flowLife {
			s.remove(key, f)
		}
	}
}

func (s *flows) remove(key uint64, f *flow) {
	delete(s.rows, key)
	if f.settled == 0 {
		return
	}
	s.settled[f.settled]--
	if s.settled[f.settled] == 0 {
		delete(s.settled, f.settled)
	}
}

// settle notes the token of a packet after the opening and returns the one that
// the flow belongs to.
func (s *flows) settle(f *flow, token tokenizer.Token) tokenizer.Token {
	if f.settled == 0 && token != 0 {
		f.settled = token
		s.settled[token]++
	}
	return f.settled
}

// settledOn reports whether a target has a flow that is watched here.
func (s *flows) settledOn(token tokenizer.Token) bool { return s.settled[token] > 0 }

// flowKey returns a hash of the flow's four addresses and ports.
func flowKey(p *Packet) uint64 {
	var data [36]byte
	source, destination := p.Source.Addr().As16(), p.Destination.Addr().As16()
	copy(data[:], source[:])
	copy(data[16:], destination[:])
	binary.BigEndian.PutUint16(data[32:], p.Source.Port())
	binary.BigEndian.PutUint16(data[34:], p.Destination.Port())
	return xxhash.Sum64(data[:])
}

// Flows returns the number of flows that are watched.
func (d *Director) Flows() int { return len(d.flows.rows) }
