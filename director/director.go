// Package director decides what to do with each packet on a fabric whose packets
// carry a mark that both ends echo: which target gets a new flow, which target a
// later packet belongs to, and which packets are dropped or reset.
//
// The opening packet of a flow gets a flow token that names its target (package
// tokenizer), and every later packet carries this token. A balancer therefore
// needs no flow state to forward a packet, and any balancer may forward any packet.
// A Director tracks a flow for a few seconds after each packet. It does so to handle
// retransmitted opening packets and to detect targets that don't answer.
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
// A Director opens no socket and reads no clock. It is not safe for concurrent use.
package director

import (
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// Packet holds the fields of a caller's packet that a decision depends on.
type Packet struct {
	// Source is the caller's address and port, Destination those of a route.
	Source      netip.AddrPort
	Destination netip.AddrPort
	// Token is the flow token that the caller echoed. Opening packets have none.
	Token tokenizer.Token
	// Opening reports whether the packet opens a flow. Retransmissions is how often the
	// caller sent the same opening packet before.
	Opening         bool
	Retransmissions uint32
	// Reset reports whether the caller aborts the flow.
	Reset bool
	// Sequence is the sequence number of the first byte of Data. Acknowledged is the
	// sequence number of the next byte that the caller expects from the target.
	Sequence     uint32
	Acknowledged uint32
	// Data is the payload.
	Data []byte
}

// Action says what is done with a packet.
type Action uint8

const (
	// Drop discards the packet without an answer.
	Drop Action = iota
	// Forward sends the packet to a target.
	Forward
	// Reset answers the packet with a reset, which ends the flow.
	Reset
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"drop", "forward", "reset"}[a]
}

// Reason says why a decision was made. It is also the name of the decision's counter.
type Reason string

// Reasons for decisions.
const (
	ReasonFlow              Reason = "flow"               // the token names a registered target
	ReasonOpening           Reason = "opening"            // a target was chosen for a new flow
	ReasonOpeningRepeated   Reason = "opening-repeated"   // a repeated opening packet goes to the same target
	ReasonOpeningUnknown    Reason = "opening-unknown"    // a retransmitted opening packet whose first copy didn't pass here
	ReasonOpeningRefused    Reason = "opening-refused"    // a repeated opening packet whose target takes no new flows
	ReasonNoRoute           Reason = "no-route"           // no route has the destination address, as the store confirmed
	ReasonUnknownRoute      Reason = "unknown-route"      // the view has no route with the destination address, but may lag behind
	ReasonNoTarget          Reason = "no-target"          // no target of the service accepts the flow
	ReasonUnknownTarget     Reason = "unknown-target"     // the view has no target that accepts the flow, but may lag behind
	ReasonTargetGone        Reason = "target-gone"        // the target was removed, and is confirmed gone or unreachable
	ReasonTargetUnreachable Reason = "target-unreachable" // a check found the target unreachable
	ReasonTargetLapsed      Reason = "target-lapsed"      // the registration was removed, but the target may still run
	ReasonNoToken           Reason = "no-token"           // a packet after the opening packet carries no token
	ReasonUnknownToken      Reason = "unknown-token"      // the token names no known target, or it is uncertain which
	ReasonNoView            Reason = "no-view"            // there is no configuration yet
	ReasonTurnedAway        Reason = "turned-away"        // the service has too little room for all new flows of this urgency
)

// Decision says what to do with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Target is where a forwarded packet goes, and Token the token to put into it. Both
	// are also set for ReasonTargetUnreachable; they name the unreachable target then.
	Target *Target
	Token  tokenizer.Token
	// Urgency is the urgency of a flow that is turned away.
	Urgency int
}

// Director makes the decisions of one balancer and holds the state that they depend on.
type Director struct {
	seed uint64
	// zone is the balancer's own availability zone, and ownZone its health.
	zone    string
	ownZone *zoneHealth
	// configured reports whether a configuration is in force, and version is its version.
	configured bool
	routes     map[netip.AddrPort]Route
	version    uint64
	// pools holds the targets by service, byName by the name of their registration and
	// tokens by their flow token.
	pools  map[string]*pool
	byName map[string]*member
	tokens *tokenizer.Table[*member]
	// removed holds the targets whose registrations were removed recently.
	removed *removedTargets
	// drained holds the runs of targets that were seen draining.
	drained drainedRuns
	// zonesOut holds the availability zones that operators have taken out.
	zonesOut map[string]bool
	// zones holds the health of each availability zone.
	zones map[string]*zoneHealth
	// regions maps availability zones to their regions.
	regions map[string]string
	// balancers is the number of balancers, zoneBalancers the number of those in the own
	// zone.
	balancers     int
	zoneBalancers int
	// fleetUnknown reports whether there may be more balancers. Cold targets then get no
	// flows from this one.
	fleetUnknown bool
	// outageEnd is the time before which a removed registration doesn't mean that its
	// target has ended, since the store was unreachable.
	outageEnd time.Time
	// returnEnd is the time before which the store may lack what it lost when it came back
	// from an older copy.
	returnEnd time.Time
	// confirmedAt is when the store last confirmed the view.
	confirmedAt time.Time
	// absentRoutes and absentTargets hold the addresses and services of openings for which
	// the view has no route or no target that accepts new flows.
	absentRoutes  *absences[netip.AddrPort]
	absentTargets *absences[string]
	services      map[string]Service
	// goals holds the shortest goal of the routes to each service.
	goals map[string]time.Duration
	flows *flowTable
	// checkQueue holds the checks that the next call of TakeChecks returns.
	checkQueue []Check
	// openings holds the first opening packets of the flows that were opened within
	// followUpTimeout, oldest first.
	openings []forwardedOpening
	// picture is what the balancers of all availability zones observe of the load.
	picture aggregator.Picture
	// speedsAt is when the speeds of targets were set. speedChanges holds the changes that
	// the next call of TakeSpeedChanges returns.
	speedsAt     time.Time
	speedChanges []SpeedChange
	load         load
	// recorder counts what this balancer observes of the load.
	recorder aggregator.Recorder
	// pendingChecks is the number of requested checks that have no verdict yet.
	pendingChecks int
}

// New returns a Director, without a configuration, for a balancer in an availability
// zone. The seed differs between balancers, so that they don't all send the first flows
// to a cold target at the same moment or check the same targets of a zone.
func New(seed uint64, zone string) *Director {
	d := &Director{
		seed:          seed,
		zone:          zone,
		routes:        make(map[netip.AddrPort]Route),
		pools:         make(map[string]*pool),
		byName:        make(map[string]*member),
		tokens:        tokenizer.New[*member](),
		removed:       newRemovedTargets(),
		drained:       make(drainedRuns),
		zonesOut:      make(map[string]bool),
		zones:         make(map[string]*zoneHealth),
		absentRoutes:  newAbsences[netip.AddrPort](),
		absentTargets: newAbsences[string](),
		services:      make(map[string]Service),
		flows:         newFlowTable(),
		balancers:     1,
		zoneBalancers: 1,
	}
	d.ownZone = d.zoneHealthOf(zone)
	return d
}

// Decide returns the decision on a packet.
func (d *Director) Decide(now time.Time, p *Packet) Decision {
	d.checkUnansweredOpenings(now)
	route, routed := d.routes[p.Destination]
	switch {
	case !d.configured:
		return Decision{Action: Drop, Reason: ReasonNoView}
	case p.Opening && !routed:
		return d.decideUnroutedOpening(now, p)
	case p.Opening:
		return d.decideOpening(now, p, route)
	}
	return d.decideEstablished(now, p, route, routed)
}

// decideUnroutedOpening decides on an opening packet that no route is known for. Unless the
// view is known to be complete, the packet is dropped, and a retransmission may find the
// route. A caller that is reset would try again at once and use up its attempts. A
// retransmission whose first copy didn't arrive here is dropped too: the flow may be open.
func (d *Director) decideUnroutedOpening(now time.Time, p *Packet) Decision {
	since := d.absentRoutes.seek(now, p.Destination)
	f := d.flows.find(flowKey(p))
	firstCopyCame := p.Retransmissions == 0 || f != nil && f.openingSeen
	decision := refuse(firstCopyCame && d.isAbsent(now, since), ReasonNoRoute, ReasonUnknownRoute)
	d.trackDropped(now, p, decision)
	return decision
}

// trackDropped tracks the flow of a first opening packet that is dropped, so that a
// retransmission may be forwarded: the packet has reached no target.
func (d *Director) trackDropped(now time.Time, p *Packet, decision Decision) {
	key := flowKey(p)
	if decision.Action == Drop && p.Retransmissions == 0 && d.flows.find(key) == nil {
		d.flows.add(now, key, p)
	}
}

// decideEstablished decides on a packet that follows the opening packet of its flow. routed
// reports whether the view has the flow's route.
func (d *Director) decideEstablished(now time.Time, p *Packet, route Route, routed bool) Decision {
	key := flowKey(p)
	f := d.flows.find(key)
	switch {
	case f == nil:
		f = d.flows.add(now, key, p)
	case !f.includes(p):
		// The caller uses the port of the tracked flow again, for a flow that was opened at
		// another balancer. Only the packet's token tells that flow's target.
		f = nil
	}
	token := p.Token
	opens := f != nil && f.pinned == 0 && f.openingToken != 0
	if f != nil {
		token = d.flows.pin(f, token)
	}
	if !routed && f != nil && d.viewCovers(f.firstSeen) {
		// The route existed when the flow was opened, so it has been removed since.
		return Decision{Action: Reset, Reason: ReasonNoRoute}
	}
	if token == 0 {
		return Decision{Action: Drop, Reason: ReasonNoToken}
	}
	m, ok := d.tokens.Find(now, token)
	switch {
	case !ok:
		return Decision{Action: Drop, Reason: ReasonUnknownToken}
	case d.removed.has(m):
		return d.decideRemoved(now, p, token, m, route)
	}
	if opens {
		d.pools[m.Service].recordHandshake(now.Sub(f.openingSentAt))
	}
	if f != nil {
		d.recordObservation(now, p, f, m, route.Urgency)
	}
	if len(p.Data) > 0 && d.mayReset(m, route) {
		return Decision{Action: Reset, Reason: ReasonTargetUnreachable, Target: &m.Target, Token: token}
	}
	return Decision{Action: Forward, Reason: flowReason(routed), Target: &m.Target, Token: token}
}

// flowReason returns the reason to forward a packet of an open flow.
func flowReason(routed bool) Reason {
	if routed {
		return ReasonFlow
	}
	return ReasonUnknownRoute
}

// decideRemoved decides on a packet whose target isn't registered. A target whose
// registration lapsed may still run, so its flows go on until the target is confirmed to
// be gone. If a check finds the target unreachable before that, flows whose requests may be
// repeated are reset at once.
func (d *Director) decideRemoved(now time.Time, p *Packet, token tokenizer.Token, m *member, route Route) Decision {
	switch {
	case !d.removed.confirmed(now, d.confirmedAt, m) && !d.mayReset(m, route):
		if len(p.Data) > 0 && !m.Draining {
			d.requestCheck(now, m)
		}
		return Decision{Action: Forward, Reason: ReasonTargetLapsed, Target: &m.Target, Token: token}
	case p.Reset:
		return Decision{Action: Drop, Reason: ReasonTargetGone}
	}
	return Decision{Action: Reset, Reason: ReasonTargetGone}
}

// recordObservation updates the target's health and its service's demand from what a
// packet shows, and requests a check if the target may be unreachable.
func (d *Director) recordObservation(now time.Time, p *Packet, f *flow, m *member, urgency int) {
	seen := f.update(now, p)
	d.recordRequests(seen, m, urgency)
	d.pools[m.Service].demand.record(now, seen)
	switch {
	case seen.progress:
		m.health.recordAnswer(now)
	case seen.retransmission:
		if !m.health.answeredSince(now.Add(-answerTimeout)) {
			d.requestCheck(now, m)
		}
	case len(p.Data) > 0 && m.zone.isSuspect(now):
		d.requestCheck(now, m)
	}
}

// decideOpening decides on an opening packet, whether it is the first of its flow or not.
//
// An opening packet and its retransmissions go to one target only. If a second target
// answered too, the caller would echo its token for as long as that target repeats its
// answer, and a balancer that saw none of the flow's earlier packets would forward the
// flow to the wrong target.
//
// An opening packet whose first copy may have reached a target is never answered with a
// reset: it may have waited for long, and the flow may be open by now.
func (d *Director) decideOpening(now time.Time, p *Packet, route Route) Decision {
	key := flowKey(p)
	f := d.flows.find(key)
	if f != nil && f.isSucceededBy(p) {
		d.flows.remove(key, f)
		f = nil
	}
	switch {
	case f != nil && f.pinned != 0:
		f.lastSeen = now
		return d.decideRepeatedOpening(now, f.pinned)
	case f != nil && f.openingToken != 0:
		f.lastSeen = now
		if p.Retransmissions > 0 {
			d.recordRetransmittedOpening(now, f)
		}
		return d.decideRepeatedOpening(now, f.openingToken)
	case p.Retransmissions > 0 && (f == nil || !f.openingSeen):
		// Another balancer may have sent the first copy to a target that can't be known here.
		return Decision{Action: Drop, Reason: ReasonOpeningUnknown}
	}
	class := classOf(key, route)
	if f != nil && f.turnedAway || f == nil && d.turnsAway(now, key, p, class) {
		return refuseAdmission(class)
	}
	m := d.choose(now, key, route)
	if m == nil {
		return d.decideUnservedOpening(now, p, pickService(key, route.Backends))
	}
	if f == nil {
		f = d.flows.add(now, key, p)
	}
	if f != nil {
		f.openingSequence, f.openingSeen = p.Sequence, true
		f.openingToken, f.openingSentAt = d.tokens.Issue(m.ID), now
		d.openings = append(d.openings, forwardedOpening{key: key, at: now})
	}
	return d.forwardOpening(m, ReasonOpening)
}

// decideUnservedOpening decides on an opening packet of a flow that no target of the service
// accepts. The packet is dropped if a target may have registered that the view lacks.
func (d *Director) decideUnservedOpening(now time.Time, p *Packet, service string) Decision {
	certain := d.hasOpenTarget(service) || d.isAbsent(now, d.absentTargets.seek(now, service))
	decision := refuse(certain, ReasonNoTarget, ReasonUnknownTarget)
	d.trackDropped(now, p, decision)
	return decision
}

// decideRepeatedOpening decides on a further opening packet of a flow whose token is known. It
// goes to the token's target, unless that takes no new flows.
func (d *Director) decideRepeatedOpening(now time.Time, token tokenizer.Token) Decision {
	m, ok := d.registered(now, token)
	if !ok || !d.acceptsNewFlows(m) {
		return Decision{Action: Drop, Reason: ReasonOpeningRefused}
	}
	return Decision{Action: Forward, Reason: ReasonOpeningRepeated, Target: &m.Target, Token: token}
}

// recordRetransmittedOpening records that a caller has not received the answer to an opening
// packet, and requests a check of its target unless that has answered another flow since.
func (d *Director) recordRetransmittedOpening(now time.Time, f *flow) {
	m, ok := d.registered(now, f.openingToken)
	if !ok || m.health.answeredSince(f.openingSentAt) {
		return
	}
	m.health.recordUnansweredOpening(now)
	d.requestCheck(now, m)
}

// forwardOpening returns the decision to forward an opening packet to a target.
func (d *Director) forwardOpening(m *member, reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, Target: &m.Target, Token: d.tokens.Issue(m.ID)}
}

// registered returns the registered target that a token names, and whether there is one.
func (d *Director) registered(now time.Time, token tokenizer.Token) (*member, bool) {
	m, ok := d.tokens.Find(now, token)
	return m, ok && !d.removed.has(m)
}

// Tick removes expired flows, targets and speeds, ends demand windows that are over, decides
// what part of new flows is admitted, plans which of them leave the own zone, and requests
// checks that are due. It must be called about once a second.
func (d *Director) Tick(now time.Time) {
	d.flows.expire(now)
	d.expireSpeeds(now)
	for _, p := range d.pools {
		p.demand.rollWindow(now)
	}
	d.observeLoad(now)
	d.recheckUnreachable(now)
	d.removeLapsed(now)
	d.removed.expire(now)
	d.drained.expire(now, d.byName)
	d.absentRoutes.expire(now)
	d.absentTargets.expire(now)
	d.tokens.Expire(now)
	d.updateSpreads(now)
}
