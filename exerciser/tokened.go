package exerciser

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

// Tokened lets callers send back a mark that names their target, which only
// fabrics with such a mark allow. Documents and heartbeats travel as in the
// simple ways.
var Tokened = Way{Name: "flow tokens", New: newTokened}

// tokenPause is the time between two ticks of a director.
const tokenPause = time.Second

type tokened struct {
	hashed
	director *director.Director
	routes   map[planner.ServiceID]netip.AddrPort
	// placed is the revision that the director decides by.
	placed uint64
	ticked time.Time
}

func newTokened(env Environment) Decider {
	simple := baseline(false, false, false)(env).(*hashed)
	return &tokened{
		hashed: *simple, director: director.New(uint64(env.Self), ""),
		routes: make(map[planner.ServiceID]netip.AddrPort),
	}
}

func (t *tokened) Tick(now time.Time) {
	t.hashed.Tick(now)
	if now.Sub(t.ticked) < tokenPause {
		return
	}
	t.ticked = now
	t.director.Tick(now)
	// Nobody checks targets here.
	for _, c := range t.director.Checks() {
		t.director.Checked(now, c, director.Inconclusive)
	}
}

func (t *tokened) Offer(now time.Time, record coordinator.Record) {
	t.hashed.Offer(now, record)
	t.place(now)
}

func (t *tokened) Receive(now time.Time, from tracker.MemberID, body any) {
	t.hashed.Receive(now, from, body)
	t.place(now)
}

// place hands the newest document to the director. A target of a zone that is
// out counts as removed: here its flows need not go on.
func (t *tokened) place(now time.Time) {
	if t.placed == t.record.Revision {
		return
	}
	t.placed = t.record.Revision
	t.director.SetConfiguration(t.configuration())
	for id, target := range t.plan.Targets() {
		if target.Out() {
			t.director.RemoveTarget(now, target.Name())
			continue
		}
		t.director.SetTarget(now, director.Target{
			Name: target.Name(), ID: uint64(id), Service: t.plan.ServiceByID(target.Service()).Name(),
			Address: target.Address(), AvailabilityZone: target.AvailabilityZone(),
			Capacity: target.Weight(), Draining: !target.TakesFlows(),
		})
	}
}

func (t *tokened) configuration() director.Configuration {
	c := director.Configuration{Version: t.record.Revision}
	for name, s := range t.record.Document.Services {
		t.routes[planner.NewServiceID(name)] = s.Addresses[0]
		c.Routes = append(c.Routes, director.Route{
			Name: name, Address: s.Addresses[0], Repeatable: s.Protocol == operator.ProtocolQUIC,
			Backends: []director.Backend{{Service: name, Weight: 1}},
		})
	}
	return c
}

func (t *tokened) Decide(now time.Time, q Query) Decision {
	d := t.director.Decide(now, &director.Packet{
		Source: sourceOf(q.Flow), Destination: t.routes[q.Service],
		Token: q.Token, Opening: q.Mark == parser.MarkOpening, Copy: q.Copy,
	})
	if d.Action != director.Forward {
		return Decision{Action: tracker.Drop}
	}
	return Decision{Action: tracker.Forward, Target: planner.TargetID(d.Target.ID), Token: d.Token}
}

// sourceOf gives each flow a caller of its own.
func sourceOf(flow uint64) netip.AddrPort {
	var address [16]byte
	binary.BigEndian.PutUint64(address[8:], flow)
	return netip.AddrPortFrom(netip.AddrFrom16(address), 1)
}

func (t *tokened) Records() int { return t.director.Flows() }
