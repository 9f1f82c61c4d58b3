package director_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// addedRoute is the address of a route that the configuration of newDirector lacks.
var addedRoute = netip.MustParseAddrPort("198.18.0.7:8033")

// withRoute returns version 2 of the configuration, which also has addedRoute, to service desk.
func withRoute() director.Configuration {
	c := configuration(2)
	c.Routes = append(c.Routes, director.Route{Name: "added", Address: addedRoute, Backends: c.Routes[0].Backends})
	return c
}

// Guards against resets of open flows on a route that was added a moment ago, by a balancer
// that doesn't have the new configuration yet.
func TestOpenFlowOnARouteThatIsUnknownHereIsForwarded(t *testing.T) {
	is := is.New(t)
	ahead, behind := newDirector(6), newDirector(6)
	ahead.SetConfiguration(withRoute())
	p := opening(1, 0)
	p.Destination = addedRoute
	opened := ahead.Decide(start, p)
	later := data(1, addedRoute, opened.Token, 1, 1)
	for _, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		decision := behind.Decide(start.Add(at), later)
		is.Equal(decision.Reason, director.ReasonUnknownRoute)
		is.Equal(decision.Target.Name, opened.Target.Name)
	}
	behind.SetConfiguration(withRoute())
	behind.SetConfirmed(start.Add(time.Second))
	is.Equal(behind.Decide(start.Add(time.Second), later).Reason, director.ReasonFlow)
}

// A route that a configuration drops ends its flows: at once on a balancer that had the route
// and the flow, and on any other one as soon as it knows that its view is newer than the flow.
func TestDroppedRouteEndsItsFlowsOnEveryBalancer(t *testing.T) {
	is := is.New(t)
	before, after := newDirector(6), newDirector(6)
	before.SetConfiguration(withRoute())
	p := data(1, addedRoute, tokenizer.Of(1), 1, 1)
	is.Equal(before.Decide(start, p).Reason, director.ReasonFlow)
	now := start.Add(time.Second)
	before.SetConfiguration(configuration(3))
	before.SetConfirmed(now)
	is.Equal(before.Decide(now, p), director.Decision{Action: director.Reset, Reason: director.ReasonNoRoute})

	after.SetConfiguration(configuration(3))
	after.SetConfirmed(now)
	is.Equal(after.Decide(now, p).Action, director.Forward)
	now = now.Add(time.Second)
	after.SetConfirmed(now)
	is.Equal(after.Decide(now, p), director.Decision{Action: director.Reset, Reason: director.ReasonNoRoute})
	// The opening of another flow is rejected at once by a balancer that saw the route go.
	p = opening(2, 0)
	p.Destination = addedRoute
	before.SetConfirmed(now)
	is.Equal(before.Decide(now, p), director.Decision{Action: director.Reset, Reason: director.ReasonNoRoute})
}

// A retransmission of an opening packet that came before the route or the first target was
// known is served, since the first copy reached no target.
func TestRetransmittedOpeningIsServedOnceTheViewHasCaughtUp(t *testing.T) {
	for name, catchUp := range map[string]func(d *director.Director){
		"route":  func(d *director.Director) { d.SetConfiguration(withRoute()) },
		"target": func(d *director.Director) { d.SetTarget(start, target(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirector(0)
			p := opening(1, 0)
			if name == "route" {
				d.SetTarget(start, target(1))
				p.Destination = addedRoute
			}
			is.Equal(d.Decide(start, p).Action, director.Drop)
			catchUp(d)
			p.Retransmissions = 1
			is.Equal(d.Decide(start.Add(200*time.Millisecond), p).Reason, director.ReasonOpening)
		})
	}
}

// A balancer that has no recent view rejects nothing for what the view lacks.
func TestOldViewRejectsNoOpening(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	p := opening(1, 0)
	p.Destination = addedRoute
	d.Decide(start, p)
	d.SetConfirmed(start.Add(time.Second))
	is.Equal(d.Decide(start.Add(2*time.Second), opening(2, 0)).Action, director.Forward)
	is.Equal(d.Decide(start.Add(2*time.Second), p).Action, director.Reset)
	is.Equal(d.Decide(start.Add(4*time.Second), p).Action, director.Drop)
}

// Guards against a reset of an open flow, or a rejection of an opening, that follows from
// what a balancer doesn't know: whatever is added, dropped, lapses and registers again, and
// however far the views of balancers lag behind or begin anew.
func TestLaggingViewsBreakNoFlowInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newViewHistory(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			h.step()
		}
		h.endDroppedRoutes()
	})
}

const (
	historyRoutes  = 4
	historyTargets = 3
)

// viewHistory plays a store, balancers that copy it late, and flows, in virtual time.
type viewHistory struct {
	t   *rapid.T
	now time.Time
	// states are those of the store, in order of time. Some lie in the future.
	states    []storeState
	version   uint64
	directors []*laggingDirector
	flows     []historyFlow
	callers   int
}

// storeState is the state of the routes and the targets from a time on.
type storeState struct {
	at         time.Time
	routes     [historyRoutes]bool
	registered [historyTargets]bool
	version    uint64
}

type laggingDirector struct {
	*director.Director
	viewedAt time.Time
	view     storeState
}

type historyFlow struct {
	caller   int
	route    int
	token    tokenizer.Token
	target   string
	openedAt time.Time
}

func newViewHistory(t *rapid.T) *viewHistory {
	h := &viewHistory{t: t, now: start, version: 1}
	first := storeState{at: start, version: 1}
	for i := range first.registered {
		first.registered[i] = true
	}
	h.states = []storeState{first}
	for range rapid.IntRange(1, 3).Draw(t, "balancers") {
		h.directors = append(h.directors, h.newDirector(start))
	}
	return h
}

func historyAddress(route int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("198.18.0.7"), uint16(8000+route))
}

// newDirector returns a director that starts with the view as of a time.
func (h *viewHistory) newDirector(viewedAt time.Time) *laggingDirector {
	d := &laggingDirector{Director: director.New(1, "entry")}
	h.update(d, viewedAt)
	return d
}

// update brings a director's view up to the state of the store at a time.
func (h *viewHistory) update(d *laggingDirector, viewedAt time.Time) {
	if viewedAt.Before(d.viewedAt) {
		return
	}
	for _, change := range h.states {
		if !change.at.After(viewedAt) && (d.view.version == 0 || change.at.After(d.viewedAt)) {
			h.apply(d, change)
		}
	}
	d.viewedAt = viewedAt
	d.SetConfirmed(viewedAt)
}

func (h *viewHistory) apply(d *laggingDirector, change storeState) {
	c := director.Configuration{Version: change.version, Services: []director.Service{{Name: "desk"}}}
	for i, exists := range change.routes {
		if exists {
			c.Routes = append(c.Routes, director.Route{Address: historyAddress(i), Backends: []director.Backend{{Service: "desk", Weight: 1}}})
		}
	}
	d.SetConfiguration(c)
	for i, registered := range change.registered {
		switch {
		case registered && (!d.view.registered[i] || d.view.version == 0):
			d.SetTarget(h.now, target(1+i))
		case !registered && d.view.registered[i]:
			d.RemoveTarget(h.now, target(1+i).Name)
		}
	}
	d.view = change
}

// stateAt returns the state of the store at a time.
func (h *viewHistory) stateAt(at time.Time) storeState {
	state := h.states[0]
	for _, change := range h.states {
		if !change.at.After(at) {
			state = change
		}
	}
	return state
}

// change changes the state of the store from a time on.
func (h *viewHistory) change(at time.Time, edit func(*storeState)) {
	next := h.stateAt(at)
	next.at = at
	h.version++
	next.version = h.version
	edit(&next)
	kept := h.states[:0:0]
	for _, c := range h.states {
		if !c.at.After(at) {
			kept = append(kept, c)
		}
	}
	kept = append(kept, next)
	for _, c := range h.states {
		if c.at.After(at) {
			h.version++
			c.version = h.version
			edit(&c)
			kept = append(kept, c)
		}
	}
	h.states = kept
}

func (h *viewHistory) draw(what string, most int) int { return rapid.IntRange(0, most).Draw(h.t, what) }

func (h *viewHistory) step() {
	h.now = h.now.Add(time.Duration(1+h.draw("ms", 900)) * time.Millisecond)
	d := h.directors[h.draw("balancer", len(h.directors)-1)]
	route := h.draw("route", historyRoutes-1)
	switch h.draw("step", 8) {
	case 0:
		h.change(h.now, func(c *storeState) { c.routes[route] = !c.routes[route] })
	case 1:
		h.lapse(h.draw("target", historyTargets-1))
	case 2, 3:
		h.update(d, h.now.Add(-time.Duration(h.draw("lag", 1500))*time.Millisecond))
	case 4:
		*d = *h.newDirector(h.now.Add(-time.Duration(h.draw("lag", 1500)) * time.Millisecond))
	case 5, 6:
		h.open(d, route)
	case 7, 8:
		if len(h.flows) > 0 {
			h.use(d, h.flows[h.draw("flow", len(h.flows)-1)])
		}
	}
	for _, d := range h.directors {
		d.Tick(h.now)
		d.TakeChecks()
	}
}

// lapse removes the registration of a target that runs, and registers it again within 2 s.
func (h *viewHistory) lapse(i int) {
	if !h.stateAt(h.now.Add(time.Hour)).registered[i] || !h.stateAt(h.now).registered[i] {
		return
	}
	h.change(h.now, func(c *storeState) { c.registered[i] = false })
	h.change(h.now.Add(time.Duration(1+h.draw("back after", 1998))*time.Millisecond), func(c *storeState) { c.registered[i] = true })
}

// lacked reports whether the store lacked something at any moment of the last 2 s.
func (h *viewHistory) lacked(has func(storeState) bool) bool {
	for at := h.now.Add(-2 * time.Second); !at.After(h.now); at = at.Add(time.Millisecond) {
		if at.Before(start) || !has(h.stateAt(at)) {
			return true
		}
	}
	return false
}

func (h *viewHistory) open(d *laggingDirector, route int) {
	h.callers++
	p := opening(h.callers, 0)
	p.Destination = historyAddress(route)
	decision := d.Decide(h.now, p)
	if decision.Action == director.Forward {
		h.flows = append(h.flows, historyFlow{
			caller: h.callers, route: route, token: decision.Token, target: decision.Target.Name, openedAt: h.now,
		})
	}
	if decision.Action == director.Reset &&
		!h.lacked(func(c storeState) bool { return c.routes[route] }) &&
		!h.lacked(func(c storeState) bool { return c.registered != [historyTargets]bool{} }) {
		h.t.Fatalf("an opening that could be served all the time was reset: %s", decision.Reason)
	}
}

func (h *viewHistory) use(d *laggingDirector, f historyFlow) director.Decision {
	decision := d.Decide(h.now, data(f.caller, historyAddress(f.route), f.token, 1, 1))
	switch {
	case decision.Action == director.Reset && !h.dropped(f):
		h.t.Fatalf("a flow was reset (%s) whose route and target are there", decision.Reason)
	case decision.Action == director.Forward && decision.Target.Name != f.target:
		h.t.Fatalf("a flow of %s went to %s", f.target, decision.Target.Name)
	}
	return decision
}

// dropped reports whether a flow's route was dropped since the flow was opened.
func (h *viewHistory) dropped(f historyFlow) bool {
	for _, c := range h.states {
		if !c.at.After(h.now) && !c.routes[f.route] && !c.at.Before(h.stateAt(f.openedAt).at) {
			return true
		}
	}
	return false
}

// endDroppedRoutes checks that flows whose routes are gone end on every balancer, and others
// don't.
func (h *viewHistory) endDroppedRoutes() {
	h.now = h.now.Add(5 * time.Second)
	for _, d := range h.directors {
		h.update(d, h.now)
		for _, f := range h.flows {
			h.use(d, f)
		}
	}
	h.now = h.now.Add(time.Second)
	for i, d := range h.directors {
		h.update(d, h.now)
		for _, f := range h.flows {
			gone := !h.stateAt(h.now).routes[f.route]
			if decision := h.use(d, f); gone != (decision.Action == director.Reset) {
				h.t.Fatalf("route gone: %v, balancer %d: %s", gone, i, fmt.Sprint(decision.Action, " ", decision.Reason))
			}
		}
	}
}
