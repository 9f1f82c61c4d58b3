package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// fleetTargets is a service of the size to design for: 9,800 targets in 17
// availability zones, of which three are played.
const fleetTargets = 3 * 9800 / 17

// loseZone plays requests for 4 s of which none of a zone's targets answers any, and
// returns the checks that the director asked for and the openings of the last
// second that went to the zone. Each check takes 0.3 s.
func loseZone(d *director.Director, now time.Time, zone string) (checks, late int) {
	const perSecond = 100
	type due struct {
		at    time.Time
		check director.Check
	}
	var pending []due
	for n := range 4 * perSecond {
		now = now.Add(time.Second / perSecond)
		if n%perSecond == 0 {
			d.Tick(now)
		}
		decision := d.Decide(now, opening(1000+n, 0))
		if decision.Target.AvailabilityZone == zone {
			d.Decide(now, opening(1000+n, 1))
			if n >= 3*perSecond {
				late++
			}
		} else {
			d.Decide(now, data(1000+n, board, decision.Token, 1, 1))
		}
		for _, c := range d.Checks() {
			checks++
			pending = append(pending, due{at: now.Add(300 * time.Millisecond), check: c})
		}
		for len(pending) > 0 && !now.Before(pending[0].at) {
			verdict := director.Reachable
			if pending[0].check.Target.AvailabilityZone == zone {
				verdict = director.Unreachable
			}
			d.Checked(now, pending[0].check, verdict)
			pending = pending[1:]
		}
	}
	return checks, late
}

// Load pattern: a zone with hundreds of targets loses power while its registrations
// still say ready. Before, each balancer checked each of them, again and again:
// 31,215 connections for 6,345 requests on the users' day with 300 balancers.
func TestLostZoneIsFoundByAFewChecks(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	checks, late := loseZone(d, start, "b")
	is.True(checks <= 60) // one for each unanswered opening of 0.6 s, and rounds of those
	is.Equal(late, 0)
}

// One target of seven is dead, in all zones: no zone is taken for lost.
func TestDeadTargetsDoNotMakeAZoneSuspect(t *testing.T) {
	is := is.New(t)
	d := newDirector(90)
	dead := func(x director.Target) bool { return x.ID%7 == 0 }
	now := start
	perZone := make(map[string]int)
	for n := range 2000 {
		now = now.Add(5 * time.Millisecond)
		decision := d.Decide(now, opening(n, 0))
		if dead(*decision.Target) {
			d.Decide(now, opening(n, 1))
		}
		for _, c := range d.Checks() {
			verdict := director.Reachable
			if dead(c.Target) {
				verdict = director.Unreachable
			}
			d.Checked(now, c, verdict)
		}
		if n >= 1000 {
			perZone[decision.Target.AvailabilityZone]++
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		is.True(perZone[zone] > 200) // 333 each, if none is set aside
	}
}

// While the zone stays lost, three of its targets at a time are checked again, each
// 2 s at most.
func TestLostZoneIsCheckedAgainByAFew(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	loseZone(d, start, "b")
	checks := 0
	const seconds = 12
	for n := range seconds {
		now := start.Add(time.Duration(7+n) * time.Second)
		d.Tick(now)
		for _, c := range d.Checks() {
			checks++
			d.Checked(now, c, director.Unreachable)
		}
	}
	is.True(checks > 0)
	is.True(checks <= 3*seconds)
	for n := range 50 {
		now := start.Add((7 + seconds) * time.Second)
		is.True(d.Decide(now, opening(5000+n, 0)).Target.AvailabilityZone != "b") // it is still known
	}
}

// The zone comes back: one target that is reached speaks for the others.
func TestLostZoneComesBackByOneCheck(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	loseZone(d, start, "b")
	now := start.Add(7 * time.Second)
	d.Tick(now)
	checks := d.Checks()
	is.True(len(checks) > 0)
	d.Checked(now, checks[0], director.Reachable)
	back := false
	for n := range 50 {
		back = back || d.Decide(now, opening(5000+n, 0)).Target.AvailabilityZone == "b"
	}
	is.True(back)
}
