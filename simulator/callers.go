package simulator

import (
	"math/rand/v2"
	"time"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tokenizer"
	"trefoilspring.example/trefoilspring/tracker"
)

// flow is a flow of a caller and the target that it opened on.
type flow struct {
	hash uint64
	// target is the first target that got a packet of the flow; 0 before that.
	target planner.TargetID
	// token is the token that the caller sends back with every packet after the opening.
	token tokenizer.Token
	// openingsSent is how often the caller has sent the opening of the flow.
	openingsSent uint32
	openedAt     time.Time
	lastDelivery time.Time
	long         bool
	// counted says that the flow was counted as broken or excused, and is not
	// counted again.
	counted bool
}

// packet is a packet of a flow on its way to a balancer.
type packet struct {
	flow      *flow
	flowEvent parser.FlowEvent
	hops      uint32
	// token is that of the flow when the caller sent the packet. retransmissions is
	// how often the caller had sent the flow's opening before.
	token           tokenizer.Token
	retransmissions uint32
}

// callers open flows and send their packets to balancers picked at random.
type callers struct {
	run        *Run
	longFlows  []*flow
	hashSource *rand.Rand
	// openingsDue is the number of short flows still to be opened, with its
	// fraction.
	openingsDue float64
	// nextFlow is the index of the long flow that pickFlow last returned in turn.
	nextFlow int
}

const (
	// sendInterval is the time between two batches of packets.
	sendInterval = 10 * time.Millisecond
	// One in resendOneIn openings is sent again, at random.
	resendOneIn = 20
)

func newCallers(r *Run) *callers {
	return &callers{run: r, hashSource: rand.New(rand.NewPCG(r.size.Seed, 4))}
}

// newHash returns a random flow hash.
func (c *callers) newHash() uint64 { return c.hashSource.Uint64() }

// openLongFlows opens the long flows and gives them a second to reach their
// targets.
func (c *callers) openLongFlows() {
	c.longFlows = make([]*flow, c.run.size.LongFlows)
	for i := range c.longFlows {
		c.longFlows[i] = &flow{hash: c.newHash(), long: true}
		c.run.spray(packet{flow: c.longFlows[i], flowEvent: parser.FlowOpens})
	}
	c.run.runUntil(startupTime + time.Second)
}

// start sends batches of packets until the run ends.
func (c *callers) start() {
	var send func()
	send = func() {
		c.sendBatch()
		c.run.schedule(sendInterval, send)
	}
	send()
}

// sendBatch sends the packets of long flows and opens the short flows of one
// sendInterval.
func (c *callers) sendBatch() {
	r := c.run
	if len(c.longFlows) > 0 {
		for n := range r.size.PacketsPerSecond / int(time.Second/sendInterval) {
			i := c.pickFlow(n)
			if r.mayBreak(c.longFlows[i]) {
				// The caller finds its connection broken and opens another.
				c.longFlows[i] = &flow{hash: c.newHash(), long: true}
			}
			c.sendPacket(c.longFlows[i])
		}
	}
	c.openingsDue += float64(r.size.OpeningsPerSecond) / float64(time.Second/sendInterval)
	for ; c.openingsDue >= 1; c.openingsDue-- {
		c.openShortFlow()
	}
}

// pickFlow returns the index of a long flow: a random one for even n, and the next in turn for
// odd n, so that no flow stays idle for long.
func (c *callers) pickFlow(n int) int {
	if n%2 == 0 {
		return c.run.random.IntN(len(c.longFlows))
	}
	c.nextFlow = (c.nextFlow + 1) % len(c.longFlows)
	return c.nextFlow
}

// openShortFlow starts a short flow: an opening, which is sometimes sent again, and
// three packets within the following seconds.
func (c *callers) openShortFlow() {
	r := c.run
	f := &flow{hash: c.newHash()}
	r.spray(packet{flow: f, flowEvent: parser.FlowOpens})
	if r.random.IntN(resendOneIn) == 0 {
		r.schedule(time.Second, func() { r.spray(packet{flow: f, flowEvent: parser.FlowOpens}) })
		if r.random.IntN(resendOneIn) == 0 {
			r.schedule(3*time.Second, func() { r.spray(packet{flow: f, flowEvent: parser.FlowOpens}) })
		}
	}
	for _, after := range [...]time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second} {
		delay := after + time.Duration(r.random.Int64N(int64(after)))
		r.schedule(delay, func() { c.sendPacket(f) })
	}
}

// sendPacket sends a packet of a flow, or the opening again if no packet of the
// flow has reached a target.
func (c *callers) sendPacket(f *flow) {
	p := packet{flow: f}
	if f.target == 0 {
		p.flowEvent = parser.FlowOpens
	}
	c.run.spray(p)
}

// spray sends a packet to a random balancer that the fabric believes to be alive.
func (r *Run) spray(p packet) {
	r.meter.packets++
	if p.flowEvent == parser.FlowOpens {
		p.retransmissions = p.flow.openingsSent
		p.flow.openingsSent++
	} else {
		p.token = p.flow.token
	}
	for range 64 {
		n := r.nodes[r.random.IntN(len(r.nodes))]
		if (!n.alive || n.frozen) && r.now.Sub(n.silentSince) > fabricDetectionTime {
			continue
		}
		r.handlePacket(n, p)
		return
	}
}

// handlePacket lets a balancer decide on a packet and carries out the decision. A
// frozen balancer queues the packet.
func (r *Run) handlePacket(n *node, p packet) {
	switch {
	case !n.alive:
		r.meter.lost++
		return
	case n.frozen:
		n.queuedPackets = append(n.queuedPackets, p)
		return
	}
	r.meter.decided++
	d := n.decider.Decide(r.now, Query{
		Query: tracker.Query{Service: measuredServiceID, Flow: p.flow.hash, FlowEvent: p.flowEvent, Hops: p.hops},
		Token: p.token, Retransmissions: p.retransmissions,
	})
	switch d.Action {
	case tracker.Forward:
		r.meter.forwarded++
		if p.flow.target == 0 {
			p.flow.token = d.Token
		}
		r.checkDelivery(p, d.Target)
	case tracker.HandOn:
		r.handOn(n, p, d)
	default:
		r.meter.lost++
	}
}

// handOn passes a packet to the balancer that the decision names, unless the path
// is cut.
func (r *Run) handOn(n *node, p packet, d Decision) {
	r.meter.handedOn++
	to := r.nodes[r.byID[d.Member]]
	if r.cuts[[2]int{n.index, to.index}] {
		r.meter.lost++
		return
	}
	p.hops = d.Hops
	incarnation := to.incarnation
	r.schedule(r.delay(), func() {
		if to.incarnation == incarnation {
			r.handlePacket(to, p)
		}
	})
}
