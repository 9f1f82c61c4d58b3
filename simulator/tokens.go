package simulator

import (
	"encoding/binary"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// FlowTokens lets callers send back a token that names their target. It needs a
// fabric that carries such a token. Documents and heartbeats travel as in the
// strategies that choose a target by hash.
var FlowTokens = Strategy{Name: "flow tokens", New: newTokenDecider}

// directorTickInterval is the time between two ticks of a director.
const directorTickInterval = time.Second

// tokenDecider decides with a director, and shares documents and heartbeats with
// hashDecider.
type tokenDecider struct {
	hashDecider
	director *director.Director
	routes   map[planner.ServiceID]netip.AddrPort
	// configuredRevision is the revision that the director uses.
	configuredRevision uint64
	lastTick           time.Time
}

func newTokenDecider(env Environment) Decider {
	base := hashConstructor(false, false, false)(env).(*hashDecider)
	return &tokenDecider{
		hashDecider: *base, director: director.New(uint64(env.Self), ""),
		routes: make(map[planner.ServiceID]netip.AddrPort),
	}
}

func (t *tokenDecider) Tick(now time.Time) {
	t.hashDecider.Tick(now)
	if now.Sub(t.lastTick) < directorTickInterval {
		return
	}
	t.lastTick = now
	t.director.Tick(now)
	// Runs have no health checks of targets.
	for _, c := range t.director.TakeChecks() {
		t.director.RecordVerdict(now, c, director.Inconclusive)
	}
}

func (t *tokenDecider) Offer(now time.Time, record coordinator.Record) {
	t.hashDecider.Offer(now, record)
	t.configureDirector(now)
}

func (t *tokenDecider) Receive(now time.Time, from tracker.MemberID, body any) {
	t.hashDecider.Receive(now, from, body)
	t.configureDirector(now)
}

// configureDirector passes the latest document to the director. A target of a zone
// that is out is removed, because its flows need not go on in a run.
func (t *tokenDecider) configureDirector(now time.Time) {
	if t.configuredRevision == t.record.Revision {
		return
	}
	t.configuredRevision = t.record.Revision
	t.director.SetConfiguration(t.configuration())
	for id, target := range t.plan.Targets() {
		if target.ZoneOut() {
			t.director.RemoveTarget(now, target.Name())
			continue
		}
		t.director.SetTarget(now, director.Target{
			Name: target.Name(), ID: uint64(id), Service: t.plan.ServiceByID(target.Service()).Name(),
			Address: target.Address(), AvailabilityZone: target.AvailabilityZone(),
			Capacity: target.Weight(), Draining: !target.AcceptsNewFlows(),
		})
	}
}

// configuration returns the services of the latest document as routes, and stores
// the addresses of the routes.
func (t *tokenDecider) configuration() director.Configuration {
	c := director.Configuration{Version: t.record.Revision}
	for name, s := range t.record.Document.Services {
		t.routes[planner.NewServiceID(name)] = s.Addresses[0]
		c.Routes = append(c.Routes, director.Route{
			Name: name, Address: s.Addresses[0], Idempotent: s.Protocol == operator.ProtocolQUIC,
			Backends: []director.Backend{{Service: name, Weight: 1}},
		})
	}
	return c
}

func (t *tokenDecider) Decide(now time.Time, q Query) Decision {
	d := t.director.Decide(now, &director.Packet{
		Source: sourceOf(q.Flow), Destination: t.routes[q.Service],
		Token: q.Token, Opening: q.FlowEvent == parser.FlowOpens, Retransmissions: q.Retransmissions,
	})
	if d.Action != director.Forward {
		return Decision{Action: tracker.Drop}
	}
	return Decision{Action: tracker.Forward, Target: planner.TargetID(d.Target.ID), Token: d.Token}
}

// sourceOf returns a caller's address that is unique to the flow.
func sourceOf(flow uint64) netip.AddrPort {
	var address [16]byte
	binary.BigEndian.PutUint64(address[8:], flow)
	return netip.AddrPortFrom(netip.AddrFrom16(address), 1)
}

func (t *tokenDecider) Records() int { return t.director.TrackedFlows() }
