package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/director"
)

// demandOf returns a picture in which callers of all zones open flows on service desk, for one
// request of 20 ms each, at a rate per second. rejected is the part that is turned away, waiting
// how many requests wait.
func demandOf(openings, rejected, waiting float64) aggregator.Picture {
	admitted := openings * (1 - rejected)
	demand := aggregator.Demand{
		Openings: openings, Rejected: openings * rejected, Requests: admitted, Answered: admitted, Concurrency: waiting,
	}
	return aggregator.Picture{Zones: map[string]aggregator.Summary{
		"entry": {AvailabilityZone: "entry", Balancers: 4, Demand: map[aggregator.Class]aggregator.Demand{{Service: "desk"}: demand}},
	}}
}

// offer plays some seconds of demandOf.
func offer(d *director.Director, now time.Time, seconds int, openings, rejected, waiting float64) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		d.SetPicture(now, demandOf(openings, rejected, waiting))
		d.Tick(now)
	}
	return now
}

// newOverloadedDirector returns a director with 45 slots in all, of which callers ask four times
// as much for ten seconds, and the time after that.
func newOverloadedDirector() (*director.Director, time.Time) {
	d := newDirector(15)
	now := offer(d, start, 3, 600, 0, 12)
	now = offer(d, now, 2, 9000, 0, 120)
	return d, offer(d, now, 8, 9000, 0.75, 90)
}

// Flows that there is no room for are reset at their first packet. Copies that come later reach
// no target either: they may have waited beside the first one in the socket of a process that
// stood still. A copy whose first one isn't known is never reset.
func TestOnlyFlowsWhoseFirstCopyCameAreTurnedAway(t *testing.T) {
	is := is.New(t)
	d, now := newOverloadedDirector()
	is.Equal(d.HealthSummary(now).LimitedServices, []string{"desk"})
	turnedAway := 0
	for n := range 1000 {
		explained := d.Explain(now, opening(n, 0)).Opening
		first := d.Decide(now, opening(n, 0))
		is.Equal(first.Reason, explained.Reason)
		if first.Action == director.Forward {
			is.Equal(d.Decide(now, opening(n, 0)).Reason, director.ReasonOpeningRepeated)
			continue
		}
		turnedAway++
		is.Equal(first.Action, director.Reset)
		is.Equal(first.Reason, director.ReasonTurnedAway)
		is.Equal(d.Decide(now, opening(n, 0)), first)
		for _, later := range []time.Duration{0, 200 * time.Millisecond, 1200 * time.Millisecond} {
			is.Equal(d.Decide(now.Add(later), opening(n, 1)), first)
		}
		is.Equal(d.Decide(now, opening(n, 0)), first)
		is.Equal(d.Decide(now, opening(n, 2)), first)
	}
	is.True(turnedAway > 500)
	is.True(turnedAway < 950)
	for n := range 100 {
		is.Equal(d.Decide(now, opening(2000+n, 1)).Reason, director.ReasonOpeningUnknown)
	}
}

// Requests on open flows are forwarded whatever the load.
func TestOpenFlowsAreNotTurnedAway(t *testing.T) {
	is := is.New(t)
	d := newDirector(15)
	opened := d.Decide(start, opening(1, 0))
	overloaded, now := newOverloadedDirector()
	for n := range 100 {
		is.Equal(overloaded.Decide(now, data(n, board, opened.Token, 1, 1)).Reason, director.ReasonFlow)
	}
}

// A service without a target has its own reasons to refuse flows.
func TestFlowsWithoutTargetAreNotTurnedAway(t *testing.T) {
	is := is.New(t)
	d, now := newOverloadedDirector()
	for _, zone := range []string{"a", "b", "c"} {
		d.SetZoneOut(zone, true)
	}
	for n := range 100 {
		is.True(d.Decide(now, opening(n, 0)).Reason != director.ReasonTurnedAway)
	}
}

// The reader that sends pictures dies in the middle of an overload. A balancer that sees little
// itself admits everything, and says so once.
func TestAdmissionWithoutPictures(t *testing.T) {
	is := is.New(t)
	d, now := newOverloadedDirector()
	changes := d.TakeAdmissionChanges()
	is.Equal(len(changes), 1)
	is.True(changes[0].Began)
	for range 8 {
		now = now.Add(time.Second)
		d.Tick(now)
	}
	for n := range 100 {
		is.Equal(d.Decide(now, opening(n, 0)).Reason, director.ReasonOpening)
	}
	changes = d.TakeAdmissionChanges()
	is.Equal(len(changes), 1)
	is.True(!changes[0].Began)
}

// A balancer that never gets a picture extrapolates what it sees: sixty times as many requests
// as before, which take ten times as long, at four balancers.
func TestLoneBalancerTurnsAwayWhatIsClearlyTooMuch(t *testing.T) {
	is := is.New(t)
	d := newDirector(15)
	d.SetBalancerCounts(4, 4)
	turnedAway, flow := 0, 0
	for second := range 12 {
		perSecond, answer := 50, 20*time.Millisecond
		if second >= 4 {
			perSecond, answer = 3000, 200*time.Millisecond
		}
		turnedAway = 0
		for n := range perSecond {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/time.Duration(perSecond))
			if n == 0 {
				d.Tick(now)
			}
			flow++
			opened := d.Decide(now, opening(flow, 0))
			if opened.Reason == director.ReasonTurnedAway {
				turnedAway++
				continue
			}
			d.Decide(now, data(flow, board, opened.Token, 1, 1))
			acknowledgement := data(flow, board, opened.Token, 17, 2001)
			acknowledgement.Data = nil
			d.Decide(now.Add(answer), acknowledgement)
		}
		if second < 4 {
			is.Equal(turnedAway, 0)
		}
	}
	// Of 240 slots that are wanted, those that are there and half as many again are let through at
	// least.
	is.True(turnedAway > 1000)
	is.True(turnedAway < 3000-3000*45*3/2/240)
}

// Load pattern: pictures arrive every other second, and the last one is set again between. What it
// says counts once.
func TestRepeatedPictureIsNoNewObservation(t *testing.T) {
	is := is.New(t)
	turnedAway := func(repeat bool) int {
		d, now := newDirector(15), start
		for range 6 {
			now = offer(d, now, 1, 9000, 0.2, 120)
			now = now.Add(time.Second)
			if repeat {
				p := demandOf(9000, 0.2, 120)
				s := p.Zones["entry"]
				s.Age = time.Second
				p.Zones["entry"] = s
				d.SetPicture(now, p)
			}
			d.Tick(now)
		}
		count := 0
		for n := range 1000 {
			if d.Decide(now, opening(n, 0)).Reason == director.ReasonTurnedAway {
				count++
			}
		}
		return count
	}
	is.True(turnedAway(false) > 0)
	is.Equal(turnedAway(true), turnedAway(false))
}
