// Package director decides what happens to each packet on a fabric whose packets
// carry a mark that both ends send back: which target an opening goes to, where a
// later packet belongs, and what is refused.
//
// The opening packet gets a flow token that names its target (package tokenizer),
// and every later packet carries it. So no balancer keeps flows, and any of them
// may forward any packet. What a Director remembers of a flow are its first
// seconds, while copies of its opening may arrive.
//
// # Usage
//
//	d := director.New(seed, zone)
//	d.SetConfiguration(configuration)
//	d.SetTarget(now, target)
//	decision := d.Decide(now, &packet)
//	switch decision.Action {
//	case director.Forward:
//		send(decision.Target, decision.Token)
//	case director.Reset:
//		reset(&packet)
//	}
//
// A Director opens no socket and reads no clock. It is not safe for use from
// several goroutines.
package director

import (
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/tokenizer"
)

// Packet is what a decision depends on.
type Packet struct {
	// Source is the caller's end, Destination the address and port of a route.
	Source      netip.AddrPort
	Destination netip.AddrPort
	// Token is the mark that the caller sent back; openings have none.
	Token tokenizer.Token
	// Opening says that the packet opens a flow; Copy counts the copies of it that
	// were sent before.
	Opening bool
	Copy    uint32
	// Reset says that the caller gives the flow up.
	Reset bool
	// Sequence is the number of the first of Data's bytes, Acknowledged that of the
	// byte that the caller expects next.
	Sequence     uint32
	Acknowledged uint32
	// Data is what the packet carries of the flow's bytes.
	Data []byte
}

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	Drop Action = iota
	Forward
	Reset
)

// String names the action.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset"}[a]
}

// Reason says why a decision was taken. It is the name of the decision's counter.
type Reason string

// The reasons.
const (
	ReasonFlow       Reason = "flow"
	ReasonOpening    Reason = "opening"
	ReasonRepeated   Reason = "opening-repeated"
	ReasonMoved      Reason = "opening-moved"
	ReasonNoRoute    Reason = "no-route"
	ReasonNoTarget   Reason = "no-target"
	ReasonTargetGone Reason = "target-gone"
	ReasonCutOff     Reason = "target-unreachable"
	ReasonLapsed     Reason = "target-lapsed"
	ReasonNoToken    Reason = "no-token"
	ReasonUnknown    Reason = "unknown-token"
	ReasonNoView     Reason = "no-view"
)

// Decision is what to do with one packet.
type Decision struct {
	Action Action
	Reason Reason
	// Target is where a forwarded packet goes, with Token in it.
	Target *Target
	Token  tokenizer.Token
}

// Director holds what the decisions depend on.
type Director struct {
	seed    uint64
	zone    string
	known   bool
	routes  map[netip.AddrPort]Route
	version uint64
	pools   map[string]*pool
	byName  map[string]*member
	tokens  *tokenizer.Table[*member]
	gone    *graveyard
	out     map[string]bool
	zones   map[string]*zoneEvidence
	regions map[string]string
	holders int
	// zoneHolders is how many balancers are in the own zone.
	zoneHolders int
	// outage is until when the removal of an entry proves nothing.
	outage   time.Time
	services map[string]Service
	flows    *flows
	checks   []Check
	// opened are the flows opened in the last moments, in order.
	opened []opened
	// checking counts the checks whose outcome isn't known yet.
	checking int
}

// New returns a Director of a balancer in an availability zone, without a
// configuration. The seed tells balancers apart where they should not act in step.
func New(seed uint64, zone string) *Director {
	return &Director{
		seed:        seed,
		zone:        zone,
		routes:      make(map[netip.AddrPort]Route),
		pools:       make(map[string]*pool),
		byName:      make(map[string]*member),
		tokens:      tokenizer.New[*member](),
		gone:        newGraveyard(),
		out:         make(map[string]bool),
		zones:       make(map[string]*zoneEvidence),
		services:    make(map[string]Service),
		flows:       newFlows(),
		holders:     1,
		zoneHolders: 1,
	}
}

// Decide says what to do with a packet.
func (d *Director) Decide(now time.Time, p *Packet) Decision {
	d.doubtSilent(now)
	route, ok := d.routes[p.Destination]
	switch {
	case !d.known:
		return Decision{Action: Drop, Reason: ReasonNoView}
	case !ok:
		return Decision{Action: Reset, Reason: ReasonNoRoute}
	case p.Opening:
		return d.open(now, p, route)
	}
	return d.follow(now, p, route)
}

// follow decides on a packet of a flow that has been opened.
func (d *Director) follow(now time.Time, p *Packet, route Route) Decision {
	key := flowKey(p)
	f := d.flows.find(key)
	if f == nil {
		f = d.flows.add(now, key, p)
	}
	token := p.Token
	if f != nil {
		// Two targets may have answered the opening. The flow belongs to the one
		// whose answer the caller took first; a later answer of the other leaves
		// its token with the caller until the next packet of the first.
		token = d.flows.settle(f, token)
	}
	if token == 0 {
		return Decision{Action: Drop, Reason: ReasonNoToken}
	}
	m, ok := d.tokens.Find(token)
	if !ok {
		return d.followGone(now, p, token, route)
	}
	if f != nil {
		d.observe(now, p, f, m)
	}
	if len(p.Data) > 0 && d.mayReset(m, route) {
		return Decision{Action: Reset, Reason: ReasonCutOff, Target: &m.Target, Token: token}
	}
	return Decision{Action: Forward, Reason: ReasonFlow, Target: &m.Target, Token: token}
}

// followGone decides on a packet whose target isn't registered. One that lapsed
// may live, so its flows go on until it is known to be gone; where it can't be
// reached either, those that may be repeated end at once.
func (d *Director) followGone(now time.Time, p *Packet, token tokenizer.Token, route Route) Decision {
	gone, proved := d.gone.find(now, token)
	switch {
	case gone == nil:
		return Decision{Action: Drop, Reason: ReasonUnknown}
	case !proved && !d.mayReset(gone, route):
		if len(p.Data) > 0 && !gone.Draining {
			d.doubt(now, gone)
		}
		return Decision{Action: Forward, Reason: ReasonLapsed, Target: &gone.Target, Token: token}
	case p.Reset:
		return Decision{Action: Drop, Reason: ReasonTargetGone}
	}
	return Decision{Action: Reset, Reason: ReasonTargetGone}
}

// observe takes what a packet shows of its target as evidence.
func (d *Director) observe(now time.Time, p *Packet, f *flow, m *member) {
	seen := f.observe(now, p)
	d.pools[m.Service].demand.observe(now, seen)
	switch {
	case seen.progress:
		m.evidence.answered(now)
	case seen.repetition:
		if !m.evidence.answeredSince(now.Add(-silence)) {
			d.doubt(now, m)
		}
	case len(p.Data) > 0 && m.zone.suspect(now):
		d.doubt(now, m)
	}
}

// open decides on an opening packet or a copy of one.
func (d *Director) open(now time.Time, p *Packet, route Route) Decision {
	key := flowKey(p)
	f := d.flows.find(key)
	if f == nil {
		m := d.choose(now, key, route, nil)
		if m == nil {
			return Decision{Action: Reset, Reason: ReasonNoTarget}
		}
		if f = d.flows.add(now, key, p); f != nil {
			f.last, f.openedAt = m.token, now
			d.opened = append(d.opened, opened{key: key, at: now})
		}
		return forwardOpening(m, ReasonOpening)
	}
	f.seen = now
	if f.settled != 0 {
		if m, ok := d.tokens.Find(f.settled); ok {
			return forwardOpening(m, ReasonRepeated)
		}
	}
	return d.openAgain(now, p, route, f)
}

// openAgain decides on a copy of an opening that no target was seen to take. The
// target may be gone, cut off or full, so the copy goes to another one, unless
// the target answered another flow in the meantime: then a packet was lost.
func (d *Director) openAgain(now time.Time, p *Packet, route Route, f *flow) Decision {
	last, ok := d.tokens.Find(f.last)
	if ok {
		if last.evidence.answeredSince(f.openedAt) || p.Copy == 0 {
			return forwardOpening(last, ReasonRepeated)
		}
		last.evidence.missed(now)
		d.doubt(now, last)
	}
	m := d.choose(now, flowKey(p), route, last)
	if m == nil {
		if !ok {
			return Decision{Action: Reset, Reason: ReasonNoTarget}
		}
		return forwardOpening(last, ReasonRepeated)
	}
	f.last = m.token
	f.openedAt = now
	return forwardOpening(m, ReasonMoved)
}

func forwardOpening(m *member, reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, Target: &m.Target, Token: m.token}
}

// Tick forgets what is too old to matter and asks for checks that are due. It is to
// be called about once a second.
func (d *Director) Tick(now time.Time) {
	d.flows.expire(now)
	for _, p := range d.pools {
		p.demand.roll(now)
	}
	d.recheck(now)
	d.dropLapsed(now)
	d.gone.expire(now)
}
