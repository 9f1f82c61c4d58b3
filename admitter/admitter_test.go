package admitter_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/admitter"
	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// A target works on a request for workTime, queues queueOfSlot requests for each slot and
	// fails the rest. All targets together have the slots that are registered.
	workTime    = 0.02
	queueOfSlot = 4
	slots       = 100
	goal        = 400 * time.Millisecond
	// room is how many requests a second the targets can answer.
	room = slots / workTime
)

var start = time.Unix(1_700_000_000, 0)

// load is a service with two classes whose callers open a flow for each request, and try
// again twice if a flow is turned away or fails.
type load struct {
	admitter admitter.Admitter
	now      time.Time
	// slots is how many slots targets have, in relation to those that they registered.
	slots float64
	// previous is what the next observation shows: it lags by a second.
	previous map[int]aggregator.Demand
	flows    int
}

// result is what became of the requests of a second.
type result struct {
	// answered is the part of the requests of each class that were answered, after up to three
	// tries. turnedAway is the part of all tries that were turned away, failed the number
	// that targets failed, for each that they answered.
	answered   [2]float64
	turnedAway float64
	failed     float64
	waiting    float64
}

func newLoad() *load { return &load{now: start, slots: 1} }

// second plays a second in which callers begin the given number of requests of each class.
func (l *load) second(asked [2]float64) result {
	l.now = l.now.Add(time.Second)
	if l.previous != nil {
		l.admitter.Observe(l.now, []admitter.Observation{{Service: "desk", Slots: slots, Goal: goal, Demand: l.previous}})
	}
	// Three tries at most: the tries, and the part that targets fail, follow from each other.
	var fractions, offered, admitted [2]float64
	for urgency := range fractions {
		fractions[urgency] = l.fraction(urgency)
	}
	failing := 0.0
	for range 30 {
		all := 0.0
		for urgency, f := range fractions {
			fails := 1 - f*(1-failing)
			offered[urgency] = asked[urgency] * (1 + fails + fails*fails)
			admitted[urgency] = offered[urgency] * f
			all += admitted[urgency]
		}
		failing = (failing + max(0, 1-room*l.slots/max(all, 1))) / 2
	}
	all := admitted[0] + admitted[1]
	use := min(all/(room*l.slots), 1)
	r := result{failed: failing / (1 - failing), turnedAway: 1 - all/max(offered[0]+offered[1], 1)}
	r.waiting = slots * l.slots * use * (1 + min(queueOfSlot, use*use/2/max(1-use*use, 0.001)))
	l.previous = make(map[int]aggregator.Demand)
	for urgency, f := range fractions {
		fails := 1 - f*(1-failing)
		r.answered[urgency] = 1 - fails*fails*fails
		l.previous[urgency] = aggregator.Demand{
			Openings: offered[urgency], Rejected: offered[urgency] - admitted[urgency],
			Requests: admitted[urgency], Answered: admitted[urgency], Concurrency: r.waiting * admitted[urgency] / max(all, 1),
		}
	}
	return r
}

// fraction returns which part of 10,000 flows of a class, of 200 callers, is admitted.
func (l *load) fraction(urgency int) float64 {
	admitted := 0
	for n := range 10000 {
		l.flows++
		if l.admitter.Admit(l.now, aggregator.Class{Service: "desk", Urgency: urgency}, address(n%200), hash(l.flows)) {
			admitted++
		}
	}
	return float64(admitted) / 10000
}

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}) }

// hash spreads numbers over all hashes.
func hash(n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// play plays some seconds and returns the last one's result.
func (l *load) play(t *testing.T, seconds int, asked [2]float64) result {
	t.Helper()
	var r result
	for n := range seconds {
		r = l.second(asked)
		t.Logf("%d s: answered %.2f %.2f, turned away %.2f, failed %.2f, waiting %.0f", n, r.answered[0], r.answered[1], r.turnedAway, r.failed, r.waiting)
	}
	return r
}

// Load pattern: the less urgent class floods the service. The urgent class alone would find
// room, so it keeps at least 0.97 of its requests.
func TestFloodOfLessUrgentFlowsLeavesUrgentOnes(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.play(t, 3, [2]float64{0.3 * room, 0.2 * room})
	l.play(t, 3, [2]float64{0.3 * room, 2 * room})
	for range 15 {
		r := l.play(t, 1, [2]float64{0.3 * room, 2 * room})
		is.True(r.answered[0] >= 0.97)
		is.True(r.answered[1] > 0.2) // 0.6 of the room is left for it
		is.True(r.failed <= 0.25)
	}
}

// Load pattern: all callers ask six times as much. Targets get what they can do, and the urgent
// class as much of it as it asks.
func TestSixfoldDemandGetsTheRoom(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.play(t, 3, [2]float64{0.1 * room, 0.3 * room})
	l.play(t, 4, [2]float64{0.6 * room, 1.8 * room})
	for range 15 {
		r := l.play(t, 1, [2]float64{0.6 * room, 1.8 * room})
		is.True(r.answered[0] >= 0.97)
		is.True(r.failed <= 0.25)
		is.True(r.waiting >= 0.7*slots) // the room is used
	}
}

// Load pattern: the urgent class alone asks for more than the room. It gets nearly all.
func TestUrgentFlowsAloneExceedTheRoom(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.play(t, 3, [2]float64{0.3 * room, 0.3 * room})
	r := l.play(t, 15, [2]float64{2 * room, 2 * room})
	is.True(r.answered[0] >= 0.7/2) // twice the room is asked, and at least 0.7 of the room is used
	is.True(r.answered[1] < 0.1)
	is.True(r.failed <= 0.25)
}

// The load ends. Everything is admitted again within three seconds, and stays so.
func TestEverythingIsAdmittedAfterTheLoad(t *testing.T) {
	is := is.New(t)
	for _, flood := range []float64{1.2, 2, 6, 20} {
		l := newLoad()
		l.play(t, 3, [2]float64{0.2 * room, 0.3 * room})
		l.play(t, 10, [2]float64{0.2 * room, flood * room})
		l.play(t, 3, [2]float64{0.2 * room, 0.3 * room})
		for range 10 {
			is.Equal(l.play(t, 1, [2]float64{0.2 * room, 0.3 * room}).turnedAway, 0.0)
		}
	}
}

// The part that is admitted doesn't swing under a steady load, though observations lag by a
// second.
func TestAdmissionDoesNotSwing(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.play(t, 3, [2]float64{0.2 * room, 0.2 * room})
	l.play(t, 8, [2]float64{0.2 * room, 3 * room})
	least, most := 1.0, 0.0
	for range 30 {
		r := l.play(t, 1, [2]float64{0.2 * room, 3 * room})
		least, most = min(least, r.answered[1]), max(most, r.answered[1])
	}
	is.True(most <= 1.5*least)
}

// Targets register twice the slots that they have, or half of them.
func TestWrongCapacitiesAreCorrected(t *testing.T) {
	is := is.New(t)
	for _, true := range []float64{0.5, 1.5} {
		l := newLoad()
		l.slots = true
		l.play(t, 3, [2]float64{0.1 * room, 0.1 * room})
		l.play(t, 10, [2]float64{0.2 * room, 3 * room})
		for range 15 {
			r := l.play(t, 1, [2]float64{0.2 * room, 3 * room})
			is.True(r.answered[0] >= 0.97)
			is.True(r.failed <= 0.25)
		}
	}
}

// While few requests wait, no flow is turned away, whatever is asked.
func TestNothingIsTurnedAwayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a admitter.Admitter
		now := start
		rate := rapid.Float64Range(0, 1e5)
		for range rapid.IntRange(1, 20).Draw(t, "seconds") {
			now = now.Add(time.Second)
			left := slots * 1.0
			demand := make(map[int]aggregator.Demand)
			for urgency := range rapid.IntRange(1, 4).Draw(t, "classes") {
				waiting := rapid.Float64Range(0, left).Draw(t, "waiting")
				left -= waiting
				demand[urgency] = aggregator.Demand{
					Openings: rate.Draw(t, "openings"), Rejected: rate.Draw(t, "rejected"), Requests: rate.Draw(t, "requests"),
					Answered: rate.Draw(t, "answered"), Concurrency: waiting,
				}
			}
			a.Observe(now, []admitter.Observation{{Service: "desk", Slots: slots, Goal: goal, Demand: demand}})
			for n := range 20 {
				class := aggregator.Class{Service: "desk", Urgency: n % 4}
				if !a.Admit(now, class, address(n), hash(n)) {
					t.Fatalf("flow %d of %v was turned away", n, class)
				}
			}
		}
	})
}

// Found by rapid: requests that take longer than callers want to wait fill all slots, and the sum
// of their classes is above the number of slots by a rounding error.
func TestLongRequestsAreNotTurnedAwayAtTheirSlots(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	a.Observe(start, []admitter.Observation{{Service: "desk", Slots: slots, Goal: goal, Demand: map[int]aggregator.Demand{
		0: {Openings: 100, Rejected: 90, Requests: 1, Answered: 1, Concurrency: 2}, 1: {Openings: 100, Rejected: 90, Requests: 1e-13, Answered: 1, Concurrency: 98.00000000000001},
	}}})
	for n := range 100 {
		is.True(a.Admit(start, aggregator.Class{Service: "desk", Urgency: 1}, address(n), hash(n)))
	}
}

// Requests wait for targets that died, while others have room. No flow is turned away.
func TestWaitingForDeadTargetsIsNoOverload(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	for second := range 20 {
		now := start.Add(time.Duration(second) * time.Second)
		waiting := 20.0
		if second >= 5 {
			waiting = 300
		}
		a.Observe(now, []admitter.Observation{{Service: "desk", Slots: slots, Goal: goal, Demand: map[int]aggregator.Demand{
			0: {Openings: 5000, Requests: 1000, Answered: 1000, Concurrency: waiting},
		}}})
		for n := range 100 {
			is.True(a.Admit(now, aggregator.Class{Service: "desk"}, address(n), hash(n)))
		}
	}
}

// Load pattern: one caller opens as many flows as the 100 others together. It is turned away,
// and the others keep their flows.
func TestOneFloodingCallerDoesNotTakeTheRoomOfOthers(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	class := aggregator.Class{Service: "desk"}
	demand := func(second int) aggregator.Demand {
		if second < 3 {
			return aggregator.Demand{Openings: 2000, Requests: 2000, Answered: 2000, Concurrency: 40}
		}
		return aggregator.Demand{Openings: 10000, Rejected: 5000, Requests: 5000, Answered: 5000, Concurrency: 300}
	}
	var others, flooding, all float64
	flow := 0
	for second := range 10 {
		now := start.Add(time.Duration(second) * time.Second)
		a.Observe(now, []admitter.Observation{{Service: "desk", Slots: slots, Goal: goal, Demand: map[int]aggregator.Demand{0: demand(second)}}})
		others, flooding, all = 0, 0, 0
		for n := range 1000 {
			flow++
			caller := n % 100
			if n >= 500 {
				caller = 100
			}
			all++
			switch admitted := a.Admit(now, class, address(caller), hash(flow)); {
			case admitted && caller == 100:
				flooding++
			case admitted:
				others++
			}
		}
	}
	t.Log(others, flooding)
	state, _ := a.State(start.Add(10*time.Second), class)
	is.True(state.Limited)
	is.True(state.Fraction < 0.5)
	is.True((others+flooding)/all >= 0.8*state.Fraction) // the class gets its part
	is.True(flooding/500 < 0.1)
	is.True(others/500 >= 1.5*state.Fraction)
	now := start.Add(10 * time.Second)
	is.True(a.CallerFraction(now, class, address(100)) < 0.1)
	is.True(a.CallerFraction(now, class, address(1)) > state.Fraction)
}

// The observations end in the middle of an overload. All is admitted a few seconds later.
func TestWithoutObservationsAllIsAdmitted(t *testing.T) {
	is := is.New(t)
	l := newLoad()
	l.play(t, 3, [2]float64{0.2 * room, 0.2 * room})
	l.play(t, 5, [2]float64{0.2 * room, 3 * room})
	is.Equal(l.admitter.Limited(l.now), []string{"desk"})
	l.now = l.now.Add(3 * time.Second)
	is.Equal(l.fraction(1), 1.0)
	is.Equal(len(l.admitter.Limited(l.now)), 0)
	changes := l.admitter.Observe(l.now, nil)
	is.Equal(len(changes), 1)
	is.True(!changes[0].Began)
}

// Memory stays bounded with any number of classes and callers.
func TestClassesAndCallersAreBounded(t *testing.T) {
	is := is.New(t)
	var a admitter.Admitter
	for n := range 10000 {
		is.True(a.Admit(start, aggregator.Class{Service: fmt.Sprint(n)}, address(n), hash(n)))
		a.Admit(start, aggregator.Class{Service: "desk"}, address(n), hash(n))
	}
}
