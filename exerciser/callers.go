package exerciser

import (
	"math/rand/v2"
	"time"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tokenizer"
	"trefoilspring.example/trefoilspring/tracker"
)

// flow is a caller's flow and where it opened.
type flow struct {
	hash   uint64
	target planner.TargetID
	// token is the mark that the caller sends back, openings how often it sent the
	// flow's opening.
	token    tokenizer.Token
	openings uint32
	since    time.Time
	seen     time.Time
	long     bool
	// ended flows are judged no more.
	ended bool
}

type packet struct {
	flow *flow
	mark parser.Mark
	hops uint32
	// token and copies are as of the time when the caller sent the packet.
	token  tokenizer.Token
	copies uint32
}

// callers open flows and send their packets to balancers picked at random.
type callers struct {
	run   *Run
	long  []*flow
	seeds *rand.Rand
	carry float64
	turn  int
}

const (
	// pace is the step in which packets of long flows are made.
	pace = 10 * time.Millisecond
	// again is one in so many openings that a caller sends again.
	again = 20
)

func newCallers(r *Run) *callers {
	return &callers{run: r, seeds: rand.New(rand.NewPCG(r.size.Seed, 4))}
}

func (c *callers) hash() uint64 { return c.seeds.Uint64() }

// establish opens the long flows.
func (c *callers) establish() {
	c.long = make([]*flow, c.run.size.LongFlows)
	for i := range c.long {
		c.long[i] = &flow{hash: c.hash(), long: true}
		c.run.spray(packet{flow: c.long[i], mark: parser.MarkOpening})
	}
	c.run.until(settleIn + time.Second)
}

func (c *callers) begin() {
	var step func()
	step = func() {
		c.send()
		c.run.after(pace, step)
	}
	step()
}

func (c *callers) send() {
	r := c.run
	if len(c.long) > 0 {
		for n := range r.size.PacketsPerSecond / int(time.Second/pace) {
			i := c.pick(n)
			if r.excused(c.long[i]) {
				// The caller finds its connection dead and opens another.
				c.long[i] = &flow{hash: c.hash(), long: true}
			}
			c.follow(c.long[i])
		}
	}
	c.carry += float64(r.size.OpeningsPerSecond) / float64(time.Second/pace)
	for ; c.carry >= 1; c.carry-- {
		c.open()
	}
}

// pick returns a flow at random, or each second time the next in turn, so that
// none is idle for long.
func (c *callers) pick(n int) int {
	if n%2 == 0 {
		return c.run.random.IntN(len(c.long))
	}
	c.turn = (c.turn + 1) % len(c.long)
	return c.turn
}

// open starts a short flow: an opening, which is sent again now and then, and
// three packets within its life of some seconds.
func (c *callers) open() {
	r := c.run
	f := &flow{hash: c.hash()}
	r.spray(packet{flow: f, mark: parser.MarkOpening})
	if r.random.IntN(again) == 0 {
		r.after(time.Second, func() { r.spray(packet{flow: f, mark: parser.MarkOpening}) })
		if r.random.IntN(again) == 0 {
			r.after(3*time.Second, func() { r.spray(packet{flow: f, mark: parser.MarkOpening}) })
		}
	}
	for _, after := range [...]time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second} {
		delay := after + time.Duration(r.random.Int64N(int64(after)))
		r.after(delay, func() { c.follow(f) })
	}
}

// follow sends a packet of a flow, or its opening again if none has arrived.
func (c *callers) follow(f *flow) {
	p := packet{flow: f}
	if f.target == 0 {
		p.mark = parser.MarkOpening
	}
	c.run.spray(p)
}

// spray gives a packet to a balancer that the fabric holds for alive.
func (r *Run) spray(p packet) {
	r.meter.packets++
	if p.mark == parser.MarkOpening {
		p.copies = p.flow.openings
		p.flow.openings++
	} else {
		p.token = p.flow.token
	}
	for range 64 {
		n := r.nodes[r.random.IntN(len(r.nodes))]
		if (!n.alive || n.frozen) && r.now.Sub(n.ended) > fabricDelay {
			continue
		}
		r.handle(n, p)
		return
	}
}

// handle lets a balancer decide on a packet.
func (r *Run) handle(n *node, p packet) {
	switch {
	case !n.alive:
		r.meter.lost++
		return
	case n.frozen:
		n.packets = append(n.packets, p)
		return
	}
	r.meter.decided++
	d := n.decider.Decide(r.now, Query{
		Query: tracker.Query{Service: measuredID, Flow: p.flow.hash, Mark: p.mark, Hops: p.hops},
		Token: p.token, Copy: p.copies,
	})
	switch d.Action {
	case tracker.Forward:
		r.meter.forwarded++
		if p.flow.target == 0 {
			p.flow.token = d.Token
		}
		r.judge(p, d.Target)
	case tracker.HandOn:
		r.handOn(n, p, d)
	default:
		r.meter.lost++
	}
}

func (r *Run) handOn(n *node, p packet, d Decision) {
	r.meter.handedOn++
	to := r.nodes[r.byID[d.Member]]
	if r.cuts[[2]int{n.index, to.index}] {
		r.meter.lost++
		return
	}
	p.hops = d.Hops
	life := to.life
	r.after(r.delay(), func() {
		if to.life == life {
			r.handle(to, p)
		}
	})
}
