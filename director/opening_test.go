package director_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// Guards against an open flow that goes to another target once another balancer forwards it:
// the answer to the opening is lost, the retransmission went to a second target, and the
// caller echoes the token of whichever target answered last.
func TestLostAnswerToOpeningNeverInvolvesASecondTarget(t *testing.T) {
	is := is.New(t)
	d, other := newDirector(6), newDirector(6)
	first := d.Decide(start, opening(1, 0))
	is.Equal(first.Reason, director.ReasonOpening)
	second := d.Decide(start.Add(200*time.Millisecond), opening(1, 1))
	is.Equal(second.Reason, director.ReasonOpeningRepeated)
	is.Equal(second.Target.Name, first.Target.Name)
	checks := d.TakeChecks()
	is.Equal(len(checks), 1)
	is.Equal(checks[0].Name, first.Target.Name)
	// Any later packet names the one target, also to a balancer that is new to the flow.
	is.Equal(other.Decide(start.Add(5*time.Second), data(1, board, second.Token, 1, 1)).Target.Name, first.Target.Name)
}

// A retransmission that the caller sent before its flow opened may arrive long after, where
// it waited in the socket of a balancer that stood still. No decision on it may end the flow.
func TestLateOpeningNeverResetsAnOpenFlow(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	opened := d.Decide(start, opening(1, 0))
	acknowledgement := data(2, board, opened.Token, 1, 1)
	acknowledgement.Data = nil
	d.Decide(start.Add(time.Second), acknowledgement)
	for _, late := range []*director.Packet{opening(1, 1), opening(1, 2), opening(2, 1), opening(3, 1), opening(3, 2)} {
		for _, at := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
			is.True(d.Decide(start.Add(at), late).Action != director.Reset)
		}
	}
	for _, c := range d.TakeChecks() {
		is.Equal(len(d.RecordVerdict(start.Add(2*time.Second), c, director.Unreachable)), 0)
	}
	is.True(d.Decide(start.Add(2*time.Second), opening(1, 2)).Action != director.Reset)

	// The flow is open on a route that was added a moment ago, which callers have sought before.
	p := opening(4, 0)
	p.Destination = addedRoute
	d.Decide(start, p)
	d.SetConfirmed(start.Add(2 * time.Second))
	is.Equal(d.Decide(start.Add(2*time.Second), p).Action, director.Reset)
	late := opening(5, 1)
	late.Destination = addedRoute
	is.Equal(d.Decide(start.Add(2*time.Second), late).Action, director.Drop)
}

// All copies of an opening packet wait in the socket of a balancer that stood still. They
// reach the target within a millisecond, so its silence means nothing yet.
func TestOpeningsThatWaitedTogetherAreNotUnanswered(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	first := d.Decide(start, opening(1, 0))
	for retransmissions := range uint32(3) {
		is.Equal(d.Decide(start.Add(time.Millisecond), opening(1, retransmissions)).Target.Name, first.Target.Name)
	}
}

// Guards against a second target for an opening packet whose first copy went through another
// balancer, through this one before a restart, or through this one while its table was full.
func TestRetransmittedOpeningIsDroppedWhereTheFirstCopyIsUnknown(t *testing.T) {
	is := is.New(t)
	unknown := director.Decision{Action: director.Drop, Reason: director.ReasonOpeningUnknown}
	d := newDirector(6)
	is.Equal(d.Decide(start, opening(1, 1)), unknown)
	is.Equal(d.Decide(start, opening(1, 2)), unknown)
	const maxTrackedFlows = 32768
	for n := range maxTrackedFlows {
		d.Decide(start, opening(100+n, 0))
	}
	is.Equal(d.TrackedFlows(), maxTrackedFlows)
	is.Equal(d.Decide(start, opening(60001, 0)).Action, director.Forward)
	is.Equal(d.Decide(start.Add(200*time.Millisecond), opening(60001, 1)), unknown)
}

// A retransmitted opening packet doesn't reach a target that has begun to leave or whose
// zone was taken out, since its first copy may have been lost.
func TestRetransmittedOpeningDoesNotReachALeavingTarget(t *testing.T) {
	for name, leave := range map[string]func(*director.Director, director.Target){
		"draining": func(d *director.Director, t director.Target) {
			t.Draining = true
			d.SetTarget(start, t)
		},
		"zone out": func(d *director.Director, t director.Target) { d.SetZoneOut(t.AvailabilityZone, true) },
		"removed":  func(d *director.Director, t director.Target) { d.RemoveTarget(start, t.Name) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirector(6)
			first := d.Decide(start, opening(1, 0))
			leave(d, *first.Target)
			second := d.Decide(start.Add(200*time.Millisecond), opening(1, 1))
			is.Equal(second, director.Decision{Action: director.Drop, Reason: director.ReasonOpeningRefused})
		})
	}
}

// A caller uses a port again for a flow that another balancer opened. What this balancer
// knows of the earlier flow must not lead packets of the new one to the earlier target.
func TestPortThatIsUsedAgainElsewhereBeginsAnotherFlow(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	for _, sequence := range []uint32{1001, 3_000_000_000} {
		is.Equal(d.Decide(start, data(1, board, tokenizer.Of(1), sequence, 1)).Target.Name, "t-1")
		is.Equal(d.Decide(start, data(1, board, tokenizer.Of(2), sequence+900_000_000, 1)).Target.Name, "t-2")
		d.Tick(start.Add(10 * time.Second))
	}
}

// Guards against open flows at two targets: whatever is lost, delayed or reordered, however
// often the hash changes, and whichever balancers restart or know of a leaving target
// later than others, an opening packet reaches one target only, and all packets of an open
// flow reach that target.
func TestFlowHasOneTargetInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newFlowHistory(t)
		h.run()
	})
}

// flowHistory plays one flow in virtual time between a caller, a few balancers and the
// targets. Each packet takes a random time, is lost at random, and reaches the balancer
// that a changing hash picks.
type flowHistory struct {
	t         *rapid.T
	source    netip.AddrPort
	now       time.Duration
	events    []flowEvent
	directors []*director.Director
	power     powerLoss
	admission admissionHistory
	// answers holds the number of answers that each target has sent to an opening packet
	// of the flow, echoes the token that it echoes.
	answers map[string]int
	echoes  map[string]tokenizer.Token
	// owner is the target whose answer opened the flow, and echo the token that the caller
	// echoes. ended reports whether the caller gave the attempt up.
	owner string
	echo  tokenizer.Token
	ended bool
	// acked reports whether the owner has received a packet of the open flow.
	acked bool
}

type flowEvent struct {
	at  time.Duration
	run func()
}

const (
	callerISN = 7000
	targetISN = 900_000
)

func newFlowHistory(t *rapid.T) *flowHistory {
	h := &flowHistory{t: t, source: caller(rapid.IntRange(1, 50).Draw(t, "caller")), answers: make(map[string]int), echoes: make(map[string]tokenizer.Token)}
	for range rapid.IntRange(1, 4).Draw(t, "balancers") {
		h.directors = append(h.directors, h.newDirector())
	}
	return h
}

// newDirector returns a director with a view that differs from that of the others.
func (h *flowHistory) newDirector() *director.Director {
	d := newDirectorIn(rapid.SampledFrom([]string{"a", "b", "entry"}).Draw(h.t, "zone"), 6)
	for id := 1; id <= 6; id++ {
		switch changed := target(id); rapid.IntRange(0, 5).Draw(h.t, "state") {
		case 0:
			changed.ColdFor = time.Minute
			d.SetTarget(start, changed)
		case 1:
			changed.Capacity = 9
			d.SetTarget(start, changed)
		}
	}
	h.limitAdmission(d)
	return d
}

func (h *flowHistory) after(delay time.Duration, run func()) {
	h.events = append(h.events, flowEvent{at: h.now + delay, run: run})
}

// deliver runs arrive after a random delay, or never.
func (h *flowHistory) deliver(what string, arrive func()) {
	switch rapid.IntRange(0, 9).Draw(h.t, what) {
	case 0, 1:
	case 2:
		h.after(time.Duration(rapid.IntRange(0, 3000).Draw(h.t, "ms late"))*time.Millisecond, arrive)
	default:
		h.after(3*time.Millisecond, arrive)
	}
}

func (h *flowHistory) run() {
	for n, at := range []time.Duration{0, 200, 600} {
		h.after(at*time.Millisecond, func() {
			if h.owner == "" && !h.ended {
				h.send(&director.Packet{Source: h.source, Destination: board, Opening: true, Sequence: callerISN, Retransmissions: uint32(n)})
			}
		})
	}
	h.after(1400*time.Millisecond, func() { h.ended = h.ended || h.owner == "" })
	for n := range rapid.IntRange(0, 12).Draw(h.t, "requests") {
		h.after(time.Duration(rapid.IntRange(100, 9000).Draw(h.t, "request at"))*time.Millisecond, func() {
			if h.owner != "" && !h.ended {
				h.send(h.callerPacket(uint32(1+16*n), []byte("GET / HTTP/1.1\r\n")))
			}
		})
	}
	for range rapid.IntRange(0, 3).Draw(h.t, "restarts") {
		h.after(h.drawTime("restart at"), func() { h.directors[h.pick()] = h.newDirector() })
	}
	h.losePower()
	if rapid.Bool().Draw(h.t, "target leaves") {
		leaving := target(rapid.IntRange(1, 6).Draw(h.t, "leaving"))
		leaving.Draining = true
		for i := range h.directors {
			h.after(h.drawTime("leaves at"), func() { h.directors[i].SetTarget(start.Add(h.now), leaving) })
		}
	}
	for len(h.events) > 0 {
		next := 0
		for i, e := range h.events {
			if e.at < h.events[next].at {
				next = i
			}
		}
		e := h.events[next]
		h.events = slices.Delete(h.events, next, next+1)
		h.now = e.at
		e.run()
	}
}

func (h *flowHistory) drawTime(what string) time.Duration {
	return time.Duration(rapid.IntRange(0, 3000).Draw(h.t, what)) * time.Millisecond
}

func (h *flowHistory) pick() int { return rapid.IntRange(0, len(h.directors)-1).Draw(h.t, "balancer") }

func (h *flowHistory) callerPacket(offset uint32, payload []byte) *director.Packet {
	return &director.Packet{
		Source: h.source, Destination: board, Token: h.echo, Data: payload,
		Sequence: callerISN + offset, Acknowledged: targetISN + 1,
	}
}

// send sends a packet of the caller.
func (h *flowHistory) send(p *director.Packet) {
	h.deliver("caller's packet", func() { h.arrive(h.pick(), p) })
}

func (h *flowHistory) decide(d *director.Director, p *director.Packet) {
	decision := d.Decide(start.Add(h.now), p)
	d.TakeChecks()
	h.checkAdmission(d, p, decision)
	switch {
	case decision.Action == director.Reset && p.Opening:
		h.deliver("reset", func() {
			if h.owner != "" {
				h.t.Fatalf("a late opening of the open flow was reset: %s", decision.Reason)
			}
			h.ended = true
		})
	case decision.Action == director.Reset:
		h.t.Fatalf("packet of the open flow was reset: %s", decision.Reason)
	case decision.Action == director.Drop:
	case p.Opening:
		h.arriveOpening(decision)
	case decision.Target.Name != h.owner:
		h.t.Fatalf("packet of the flow open at %s went to %s", h.owner, decision.Target.Name)
	default:
		h.acked = true
	}
}

// arriveOpening lets a target answer an opening packet, and repeat its answer as long as the
// flow isn't open there.
func (h *flowHistory) arriveOpening(decision director.Decision) {
	name := decision.Target.Name
	h.echoes[name] = decision.Token
	if len(h.echoes) > 1 {
		h.t.Fatalf("the opening packet reached two targets: %v", h.echoes)
	}
	h.answer(name, 200*time.Millisecond)
}

func (h *flowHistory) answer(name string, interval time.Duration) {
	h.answers[name]++
	h.deliver("answer", func() {
		if h.ended {
			return
		}
		if h.owner == "" {
			h.owner = name
		}
		h.echo = h.echoes[name]
		h.send(h.callerPacket(1, nil))
	})
	const maxAnswers = 9
	if h.answers[name] < maxAnswers {
		h.after(interval, func() {
			if h.owner != name || !h.acked {
				h.answer(name, min(2*interval, 1600*time.Millisecond))
			}
		})
	}
}
