package director

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/tokenizer"
)

const (
	// openingLife is how long an opening is remembered: callers end an attempt
	// after 1.4 s, and the first answers of two targets arrive within that time
	// and one repeat of theirs.
	openingLife = 4 * time.Second
	// maxOpenings bounds the memory: 4 s of 4,000 openings a second take 1 MB.
	maxOpenings = 16384
)

// opening is what is remembered of a flow in its first seconds.
type opening struct {
	at time.Time
	// last is the target that the last copy went to.
	last tokenizer.Token
	// settled is the target whose answer the caller took.
	settled tokenizer.Token
}

// settle notes the token of a packet after the opening and returns the one that
// the flow belongs to.
func (o *opening) settle(token tokenizer.Token) tokenizer.Token {
	if o.settled == 0 {
		o.settled = token
	}
	return o.settled
}

// openings holds the flows of the last seconds, oldest first in order.
type openings struct {
	flows map[uint64]*opening
	order []queued
}

type queued struct {
	key uint64
	at  time.Time
}

func newOpenings() *openings { return &openings{flows: make(map[uint64]*opening)} }

func (o *openings) find(key uint64) *opening { return o.flows[key] }

func (o *openings) add(now time.Time, key uint64, token tokenizer.Token) {
	if len(o.flows) >= maxOpenings {
		// Without a record a copy goes by the same choice as the first one.
		return
	}
	o.flows[key] = &opening{at: now, last: token}
	o.order = append(o.order, queued{key: key, at: now})
}

func (o *openings) expire(now time.Time) {
	n := 0
	for n < len(o.order) && now.Sub(o.order[n].at) > openingLife {
		delete(o.flows, o.order[n].key)
		n++
	}
	o.order = append(o.order[:0], o.order[n:]...)
}

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
