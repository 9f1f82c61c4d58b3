package exerciser

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// headerBytes is counted for each datagram and stream write.
	headerBytes = 60
	// lossOfDatagrams is one in so many.
	lossOfDatagrams = 50
	// giveUp is how long a request or a stream waits for a silent peer.
	giveUp = 3 * time.Second
	// fabricDelay is how long the fabric still sends to a balancer that ended.
	fabricDelay = time.Second
	// maxDelay bounds the time until a document arrives from the platform.
	maxDelay = 3 * time.Second
	// maxReplyDelay bounds the time that a transfer of state takes.
	maxReplyDelay = 200 * time.Millisecond
)

type message struct {
	from, to int
	body     any
	reliable bool
}

// node is a balancer as the network sees it.
type node struct {
	index    int
	name     string
	id       tracker.MemberID
	decider  Decider
	life     uint32
	alive    bool
	frozen   bool
	ended    time.Time
	late     time.Time
	revision uint64
	messages []message
	packets  []packet
	onWake   []func()
}

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
	r.renew(n)
}

// renew gives a node a new life with empty memory.
func (r *Run) renew(n *node) {
	n.life++
	n.alive = true
	n.frozen = false
	n.revision = 0
	n.messages = nil
	n.packets = nil
	n.onWake = nil
	life := n.life
	n.decider = r.way.New(Environment{
		Self:        n.id,
		Incarnation: n.life,
		Break:       r.off,
		Record:      r.plans.record,
		Send: func(to tracker.MemberID, body any, reliable bool) {
			if n.life == life {
				r.send(message{from: n.index, to: r.byID[to], body: body, reliable: reliable})
			}
		},
	})
	n.decider.SetContacts(r.ids)
}

func (r *Run) send(m message) {
	r.meter.control(m.from, m.body)
	if _, asks := m.body.(question); asks {
		// A request times out, also where its answer is lost.
		r.fail(m)
	}
	if m.reliable {
		r.sendReliable(m)
		return
	}
	if r.cuts[[2]int{m.from, m.to}] || r.random.IntN(lossOfDatagrams) == 0 {
		return
	}
	r.deliver(m, r.delay())
}

func (r *Run) delay() time.Duration {
	return time.Duration(500+r.random.IntN(1000)) * time.Microsecond
}

// sendReliable fails if either direction is cut, as acknowledgements are needed.
func (r *Run) sendReliable(m message) {
	to := r.nodes[m.to]
	cut := r.cuts[[2]int{m.from, m.to}] || r.cuts[[2]int{m.to, m.from}]
	if cut || !to.alive || to.frozen {
		r.failStream(m)
		return
	}
	delay := time.Millisecond
	if _, isReply := m.body.(reply); isReply {
		delay += time.Duration(r.random.Int64N(int64(maxReplyDelay)))
	}
	r.deliver(m, delay)
}

func (r *Run) failStream(m message) {
	if _, asks := m.body.(question); !asks {
		r.fail(m)
	}
}

func (r *Run) fail(m message) {
	from := r.nodes[m.from]
	life := from.life
	var tell func()
	tell = func() {
		switch {
		case from.life != life || !from.alive:
		case from.frozen:
			from.onWake = append(from.onWake, tell)
		default:
			from.decider.Failed(r.now, r.nodes[m.to].id, m.body)
		}
	}
	r.after(giveUp, tell)
}

func (r *Run) deliver(m message, delay time.Duration) {
	to := r.nodes[m.to]
	life := to.life
	r.after(delay, func() {
		switch {
		case to.life != life || !to.alive:
			if m.reliable {
				r.failStream(m)
			}
		case to.frozen:
			to.messages = append(to.messages, m)
		default:
			to.decider.Receive(r.now, r.nodes[m.from].id, m.body)
		}
	})
}

// offer gives a balancer the latest document of the platform.
func (r *Run) offer(n *node, record coordinator.Record, delay time.Duration) {
	life := n.life
	r.after(delay, func() {
		if n.life == life && n.alive && !n.frozen {
			n.decider.Offer(r.now, record)
		}
	})
}

// kindOf names what a message is for.
func kindOf(body any) string {
	switch body.(type) {
	case detector.Message:
		return "heartbeats"
	case []tracker.Record:
		return "records"
	default:
		return "requests"
	}
}

func sizeOf(body any) int {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0
	}
	return len(data)
}
