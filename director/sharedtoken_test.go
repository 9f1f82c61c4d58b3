package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// These two IDs have the same first flow token.
var sharedTokenIDs = [...]uint64{33514, 40170}

func targetWithID(id uint64, started int64) director.Target {
	t := target(1)
	t.Name, t.ID, t.Started = fmt.Sprintf("t-%x", id), id, started
	return t
}

// Flows of two targets with the same first token go on at their targets, whichever target
// registers first.
func TestFlowsOfTargetsWithASharedTokenStay(t *testing.T) {
	for _, order := range [][2]uint64{{sharedTokenIDs[0], sharedTokenIDs[1]}, {sharedTokenIDs[1], sharedTokenIDs[0]}} {
		is := is.New(t)
		d := newDirector(0)
		d.SetTarget(start, target(2))
		d.RemoveTarget(start, "t-2")
		now := start.Add(tokenizer.FlowLifetime)
		d.SetTarget(now, targetWithID(order[0], 1))
		before := d.Decide(now, opening(1, 0))
		d.SetTarget(now.Add(5*time.Second), targetWithID(order[1], 1))
		now = now.Add(6 * time.Second)
		is.Equal(d.Decide(now, data(1, board, before.Token, 1, 1)).Target.ID, order[0])
		seen := make(map[uint64]bool)
		for n := 100; n < 300; n++ {
			opened := d.Decide(now, opening(n, 0))
			later := d.Decide(now, data(n, board, opened.Token, 1, 1))
			is.Equal(later.Target.ID, opened.Target.ID)
			seen[opened.Target.ID] = true
		}
		is.Equal(len(seen), 2)
	}
}

// A target with a shared token restarts while no other target of its service is registered.
func TestTargetWithASharedTokenRestarts(t *testing.T) {
	is := is.New(t)
	d := newDirector(0)
	other := targetWithID(sharedTokenIDs[0], 1)
	other.Service = "press"
	d.SetTarget(start, other)
	d.SetTarget(start, targetWithID(sharedTokenIDs[1], 1))
	d.SetTarget(start, targetWithID(sharedTokenIDs[1], 2))
	is.Equal(d.Decide(start, opening(1, 0)).Target.Started, int64(2))
}

// Another writer's entry with the ID of a registered target must not take over its flows.
func TestEntryWithTheIDOfAnotherTargetIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	copied := target(1)
	copied.Name, copied.Service = "other-1", "press"
	d.SetTarget(start, copied)
	is.Equal(d.Targets(), 1)
	is.Equal(d.Decide(start, opening(1, 0)).Target.Name, "t-1")
	d.RemoveTarget(start, "other-1")
	is.Equal(d.Decide(start, data(1, board, tokenizer.Of(1), 1, 1)).Target.Name, "t-1")
	d.RemoveTarget(start, "t-1")
	d.SetTarget(start, copied)
	is.Equal(d.Targets(), 1)
}

// registrationLog is a history of registrations and removals of the two targets with a
// shared token, as the store orders them.
type registrationLog []registrationEvent

type registrationEvent struct {
	at         time.Time
	id         uint64
	registered bool
}

// registeredAt reports whether a target is registered at a time.
func (l registrationLog) registeredAt(id uint64, at time.Time) bool {
	registered := false
	for _, e := range l {
		if e.id == id && !e.at.After(at) {
			registered = e.registered
		}
	}
	return registered
}

// laggingBalancer has a view that is some time behind the store.
type laggingBalancer struct {
	director *director.Director
	lag      time.Duration
	// read is the number of events that are in the view.
	read int
	// partialSince is when the balancer started, if a target was missing then.
	partialSince time.Time
}

// restart replaces the director. The new one learns all registrations at once.
func (b *laggingBalancer) restart(l registrationLog, now time.Time) {
	b.director, b.lag, b.read = newDirector(0), 0, 0
	b.partialSince = time.Time{}
	for _, id := range sharedTokenIDs {
		if l.registeredAt(id, now) {
			b.director.SetTarget(now, targetWithID(id, 1))
		} else {
			b.partialSince = now
		}
	}
	for b.read < len(l) && !l[b.read].at.After(now) {
		b.read++
	}
}

// follow applies the events that have reached the balancer.
func (b *laggingBalancer) follow(l registrationLog, now time.Time) {
	for ; b.read < len(l) && !l[b.read].at.After(now.Add(-b.lag)); b.read++ {
		if e := l[b.read]; e.registered {
			b.director.SetTarget(now, targetWithID(e.id, 1))
		} else {
			b.director.RemoveTarget(now, fmt.Sprintf("t-%x", e.id))
		}
	}
	b.director.Tick(now)
}

// isPartial reports whether the balancer can't know of a target that was registered before
// it started and may have flows.
func (b *laggingBalancer) isPartial(now time.Time) bool {
	return !b.partialSince.IsZero() && now.Sub(b.partialSince) <= tokenizer.Retention
}

// Balancers learn of the two targets at different times, and some restart. No flow goes on at
// the other target.
func TestFlowsNeverMoveBetweenTargetsWithASharedToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var events registrationLog
		balancers := make([]*laggingBalancer, 3)
		for n := range balancers {
			balancers[n] = &laggingBalancer{director: newDirector(0), lag: time.Duration(rapid.IntRange(0, 2500).Draw(t, "lag-ms")) * time.Millisecond}
			balancers[n].director.SetTarget(now, target(9))
			balancers[n].director.RemoveTarget(now, "t-9")
		}
		now = now.Add(tokenizer.Retention)
		type openFlow struct {
			n        int
			openedAt time.Time
			token    tokenizer.Token
			id       uint64
		}
		var flows []openFlow
		pick := func() *laggingBalancer { return balancers[rapid.IntRange(0, 2).Draw(t, "balancer")] }
		for step := range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{10, 300, 1000, 4000, 20000}).Draw(t, "pause-ms")) * time.Millisecond)
			for _, b := range balancers {
				b.follow(events, now)
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				id := rapid.SampledFrom(sharedTokenIDs[:]).Draw(t, "id")
				events = append(events, registrationEvent{at: now, id: id, registered: !events.registeredAt(id, now)})
			case 2:
				pick().restart(events, now)
			case 3, 4, 5:
				b := pick()
				opened := b.director.Decide(now, opening(step, 0))
				if opened.Action == director.Forward && !b.isPartial(now) {
					flows = append(flows, openFlow{n: step, openedAt: now, token: opened.Token, id: opened.Target.ID})
				}
			default:
				if len(flows) == 0 {
					continue
				}
				f, b := flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")], pick()
				if now.Sub(f.openedAt) > tokenizer.FlowLifetime-5*time.Second || b.isPartial(now) {
					continue
				}
				d := b.director.Decide(now, data(f.n, board, f.token, 1, 1))
				if d.Action == director.Forward && d.Target.ID != f.id && events.registeredAt(f.id, now) {
					t.Fatalf("a flow of %d went on at %d", f.id, d.Target.ID)
				}
			}
		}
	})
}
