package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// fleetTargets is the number of targets in three availability zones of the service size to
// design for, which is 9,800 targets in 17 zones.
const fleetTargets = 3 * 9800 / 17

// simulateLostZone sends requests for 4 s, of which no target of the lost zone answers any. It
// returns the number of checks that the director requested and, as late, the number of
// flows opened in the last second that went to the zone. Each check takes 0.3 s.
func simulateLostZone(d *director.Director, now time.Time, zone string) (checks, late int) {
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
		for _, c := range d.TakeChecks() {
			checks++
			pending = append(pending, due{at: now.Add(300 * time.Millisecond), check: c})
		}
		for len(pending) > 0 && !now.Before(pending[0].at) {
			verdict := director.Reachable
			if pending[0].check.Target.AvailabilityZone == zone {
				verdict = director.Unreachable
			}
			d.RecordVerdict(now, pending[0].check, verdict)
			pending = pending[1:]
		}
	}
	return checks, late
}

// Load pattern: a zone with hundreds of targets loses power while its registrations still say
// that the targets are ready. The test guards against each balancer checking each target
// again and again, which took 31,215 connections for 6,345 requests on the users' day with
// 300 balancers.
func TestLostZoneIsFoundByAFewChecks(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	checks, late := simulateLostZone(d, start, "b")
	is.True(checks <= 60) // one for each opening left unanswered in 0.6 s, and the rounds of checks that these cause
	is.Equal(late, 0)
}

// One target of seven is dead, in all zones. No zone becomes suspect.
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
		for _, c := range d.TakeChecks() {
			verdict := director.Reachable
			if dead(c.Target) {
				verdict = director.Unreachable
			}
			d.RecordVerdict(now, c, verdict)
		}
		if n >= 1000 {
			perZone[decision.Target.AvailabilityZone]++
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		is.True(perZone[zone] > 200) // 333 each, if no zone is suspect
	}
}

// While a zone stays lost, at most three of its targets are checked again at a time, and
// each target at most once in 2 s.
func TestLostZoneIsCheckedAgainByAFew(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	simulateLostZone(d, start, "b")
	checks := 0
	const seconds = 12
	for n := range seconds {
		now := start.Add(time.Duration(7+n) * time.Second)
		d.Tick(now)
		for _, c := range d.TakeChecks() {
			checks++
			d.RecordVerdict(now, c, director.Unreachable)
		}
	}
	is.True(checks > 0)
	is.True(checks <= 3*seconds)
	for n := range 50 {
		now := start.Add((7 + seconds) * time.Second)
		is.True(d.Decide(now, opening(5000+n, 0)).Target.AvailabilityZone != "b") // the zone is still suspect
	}
}

// A lost zone comes back as soon as one of its targets is found reachable.
func TestLostZoneComesBackByOneCheck(t *testing.T) {
	is := is.New(t)
	d := newDirector(fleetTargets)
	simulateLostZone(d, start, "b")
	now := start.Add(7 * time.Second)
	d.Tick(now)
	checks := d.TakeChecks()
	is.True(len(checks) > 0)
	d.RecordVerdict(now, checks[0], director.Reachable)
	back := false
	for n := range 50 {
		back = back || d.Decide(now, opening(5000+n, 0)).Target.AvailabilityZone == "b"
	}
	is.True(back)
}
