package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
)

// A new balancer sends nothing to a cold target before it knows how many share its rate. One
// that finds the registration of its earlier run knows at once.
func TestNewBalancerLeavesColdTargetsAlone(t *testing.T) {
	for _, first := range []bool{false, true} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			is := is.New(t)
			d := newDirector(0)
			cold := target(1)
			cold.ColdFor = time.Minute
			d.SetTarget(start, cold)
			f := director.NewFleet("self", "entry")
			d.SetFleet(start, f)
			is.Equal(d.Decide(start, opening(1, 0)), director.Decision{Action: director.Reset, Reason: director.ReasonNoTarget})
			f.Register(start, "self", "entry", first)
			d.SetFleet(start, f)
			d.Decide(start, opening(2, 0)) // begins the target's first interval
			is.Equal(d.Decide(start.Add(time.Second), opening(3, 0)).Action == director.Forward, first)
			now := start.Add(director.SettleTime)
			d.SetFleet(now, f)
			d.Decide(now, opening(4, 0))
			is.Equal(d.Decide(now.Add(time.Second), opening(5, 0)).Action, director.Forward)
		})
	}
}

// Guards against balancers that each send a cold target the whole rate, since the
// registrations of all of them ran out while the store was down.
func TestLapsedBalancersShareTheRateOfColdTargets(t *testing.T) {
	h := newFleetHistory(18)
	h.lapseAll(6*time.Second, func(int) time.Duration { return 9 * time.Second })
	h.coldFrom = 6 * time.Second
	h.play(t.Fatalf, 20*time.Second)
}

// Guards against the same by balancers that start anew, and so can't know of the others.
func TestRestartedBalancersLeaveColdTargetsAloneUntilAllHaveRegistered(t *testing.T) {
	h := newFleetHistory(18)
	h.lapseAll(6*time.Second, func(int) time.Duration { return 9 * time.Second })
	for i := range h.fleet {
		h.fleet[i].restartAt = 7 * time.Second
	}
	h.coldFrom = 7 * time.Second
	h.play(t.Fatalf, 20*time.Second)
}

// The same in any history of lost registrations, restarts, new balancers and lags.
func TestColdTargetsAreSharedInAnyHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(what string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(r, what)) * time.Millisecond
		}
		h := newFleetHistory(rapid.IntRange(8, 24).Draw(r, "balancers"))
		h.coldFrom = 7 * time.Second
		killed := time.Duration(0)
		for range rapid.IntRange(0, 2).Draw(r, "outages") {
			at := draw("at", 4000, 12_000)
			h.coldFrom = at + draw("cold after", 0, 4000)
			if rapid.Bool().Draw(r, "all balancers are killed") {
				killed = at + 200*time.Millisecond
			}
			h.lapseAll(at, func(int) time.Duration {
				// The last store call of the outage fails, and the next comes 2 s later.
				return at + draw("registers again after", 0, 3500)
			})
		}
		for i := range h.fleet {
			b := &h.fleet[i]
			b.lag = draw("lag", 0, 1800)
			b.restartAt = killed
			if rapid.IntRange(0, 3).Draw(r, "restarts") == 0 {
				b.restartAt = draw("restart at", 3000, 14_000)
			}
			if rapid.IntRange(0, 5).Draw(r, "joins") == 0 {
				b.joinAt = draw("join at", 0, 12_000)
			}
		}
		h.play(r.Fatalf, 20*time.Second)
	})
}

// fleetHistory plays balancers that send flows to one cold target, and the store in which
// they are registered, in virtual time.
type fleetHistory struct {
	fleet    []fleetMember
	coldFrom time.Duration
	// lapses holds the times at which all registrations are lost.
	lapses []lapse
}

type lapse struct {
	at   time.Duration
	back []time.Duration
}

type fleetMember struct {
	*director.Director
	counts *director.Fleet
	seen   map[int]bool
	// lag is the age of the balancer's view. It joins and restarts at these times, or was
	// there from the start if joinAt is 0 and never restarts if restartAt is 0.
	lag, joinAt, restartAt time.Duration
	running                bool
	restarted              bool
}

func newFleetHistory(n int) *fleetHistory { return &fleetHistory{fleet: make([]fleetMember, n)} }

// lapseAll removes all registrations, and adds each again at the time that back returns.
func (h *fleetHistory) lapseAll(at time.Duration, back func(i int) time.Duration) {
	l := lapse{at: at}
	for i := range h.fleet {
		l.back = append(l.back, back(i))
	}
	h.lapses = append(h.lapses, l)
}

// registered reports whether a balancer's registration is in the store at a time.
func (h *fleetHistory) registered(i int, at time.Duration) bool {
	if join := h.fleet[i].joinAt; join > 0 && at < join+100*time.Millisecond {
		return false
	}
	for _, l := range h.lapses {
		if at >= l.at && at < l.back[i] {
			return false
		}
	}
	return true
}

// viewStep is how often a balancer's view is renewed.
const viewStep = 100 * time.Millisecond

func (h *fleetHistory) play(fatalf func(string, ...any), length time.Duration) {
	var sent []time.Duration
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		now := start.Add(at)
		for i := range h.fleet {
			b := &h.fleet[i]
			if at%viewStep == 0 {
				h.renew(i, at)
			}
			if b.running && at >= h.coldFrom {
				decision := b.Decide(now, opening(int(at/time.Millisecond)*len(h.fleet)+i, 0))
				if decision.Action == director.Forward && decision.Target.Name == "t-1" {
					sent = append(sent, at)
				}
			}
		}
	}
	const rate, overrun, slack = 4, 1.5, 5 // rate is that of configuration
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+time.Second {
				n++
			}
		}
		if n > rate*overrun+slack {
			fatalf("%d flows went to the cold target in the second from %v", n, from)
		}
	}
}

// renew starts a balancer if it is time to, and brings its view up to its lag.
func (h *fleetHistory) renew(i int, at time.Duration) {
	b := &h.fleet[i]
	now := start.Add(at)
	first := at >= b.joinAt && !b.running
	if b.restartAt > 0 && at >= b.restartAt && !b.restarted {
		b.restarted, first = true, true
	}
	if first {
		b.running = true
		b.Director = director.New(uint64(i)*7919+1, "entry")
		b.SetConfiguration(configuration(1))
		b.counts = director.NewFleet(fmt.Sprint(i), "entry")
		b.seen = make(map[int]bool)
	}
	if !b.running {
		return
	}
	for other := range h.fleet {
		switch known := h.registered(other, max(at-b.lag, 0)); {
		case known && !b.seen[other]:
			b.counts.Register(now, fmt.Sprint(other), "entry", first)
		case !known && b.seen[other]:
			b.counts.Remove(now, fmt.Sprint(other))
		}
		b.seen[other] = h.registered(other, max(at-b.lag, 0))
	}
	b.SetFleet(now, b.counts)
	if at >= h.coldFrom && b.Targets() == 0 {
		cold := target(1)
		cold.ColdFor = time.Minute
		b.SetTarget(now, cold)
	}
}
