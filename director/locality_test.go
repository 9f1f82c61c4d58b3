package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

const (
	// zoneBalancers is how many balancers share the load of the own zone in these
	// tests, and answerTime how long a target takes for a request.
	zoneBalancers = 4
	answerTime    = 50 * time.Millisecond
)

// ask opens a flow for a request and has it answered after answerTime. It returns the
// target's zone.
func ask(d *director.Director, now time.Time, flow int) string {
	opened := d.Decide(now, opening(flow, 0))
	d.Decide(now, data(flow, board, opened.Token, 1, 1))
	acknowledgement := data(flow, board, opened.Token, 17, 2001)
	acknowledgement.Data = nil
	d.Decide(now.Add(answerTime), acknowledgement)
	return opened.Target.AvailabilityZone
}

// askFor has callers ask so often a second for some seconds, and returns the part of
// the last second's flows that went to each zone.
func askFor(d *director.Director, now time.Time, seconds, perSecond int) map[string]float64 {
	parts := make(map[string]float64)
	for n := range seconds * perSecond {
		now := now.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		if n%perSecond == 0 {
			d.Tick(now)
		}
		zone := ask(d, now, n)
		if n >= (seconds-1)*perSecond {
			parts[zone] += 1 / float64(perSecond)
		}
	}
	return parts
}

// newZoned returns a director in zone a, one of four balancers there, with five
// targets of three slots in each of three zones.
func newZoned() *director.Director {
	d := newDirectorIn("a", 15)
	d.SetHolders(3*zoneBalancers, zoneBalancers)
	return d
}

// Load pattern: zones lose each other while each has room for its own callers. No flow
// crosses the cut, so none is lost.
func TestFlowsStayInAZoneWithRoom(t *testing.T) {
	is := is.New(t)
	// 30 requests a second at each of 4 balancers, 50 ms each, fill 6 of 15 slots.
	d := newZoned()
	parts := askFor(d, start, 5, 30)
	is.Equal(parts, map[string]float64{"a": parts["a"]})
	is.Equal(len(d.Suspicions(start.Add(5*time.Second)).Crowded), 0)
}

// Load pattern: the callers of one zone ask for twice what its targets should have at a
// time. Half of their flows stay, the others go to any zone.
func TestZoneWithoutRoomSendsTheRestElsewhere(t *testing.T) {
	is := is.New(t)
	// 75 requests a second at each of 4 balancers fill 15 slots of 15.
	d := newZoned()
	parts := askFor(d, start, 8, 75)
	is.Equal(d.Suspicions(start.Add(8*time.Second)).Crowded, []string{"desk"})
	is.True(abs(int(100*(parts["a"]-(0.5+0.5/3)))) <= 15)
	is.True(parts["b"] > 0.05)
	is.True(parts["c"] > 0.05)
}

// Load pattern: a deployment starts, and all callers open their long flows within a
// second, before any demand has been measured. They stay in a zone that has its share
// of the targets.
func TestFirstFlowsStayInAZoneWithItsShare(t *testing.T) {
	is := is.New(t)
	is.True(askFor(newZoned(), start, 1, 75)["a"] > 0.9) // a third without preference
}

// A zone with few of the targets can't be trusted to have room for its callers before
// that has been measured.
func TestFirstFlowsLeaveAZoneWithFewTargets(t *testing.T) {
	is := is.New(t)
	d := newZoned()
	for id := 6; id <= 15; id += 3 {
		d.RemoveTarget(start, target(id).Name)
	}
	parts := askFor(d, start, 1, 75)
	is.True(parts["a"] < 0.2) // one target of eleven
	is.Equal(len(parts), 3)
}

// A zone that has nobody ready for its flows sends them elsewhere.
func TestFlowsLeaveAZoneThatIsNotReady(t *testing.T) {
	for name, spoil := range map[string]func(d *director.Director, now time.Time, id int){
		"draining": func(d *director.Director, now time.Time, id int) {
			t := target(id)
			t.Draining = true
			d.SetTarget(now, t)
		},
		"removed":   func(d *director.Director, now time.Time, id int) { d.RemoveTarget(now, target(id).Name) },
		"taken out": func(d *director.Director, _ time.Time, _ int) { d.SetOut("a", true) },
		"unreachable": func(d *director.Director, now time.Time, id int) {
			t := target(id)
			d.Checked(now, director.Check{Name: t.Name, Started: t.Started, Target: t}, director.Unreachable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newZoned()
			askFor(d, start, 5, 30)
			now := start.Add(5 * time.Second)
			for id := 3; id <= 15; id += 3 {
				spoil(d, now, id)
			}
			for n := range 100 {
				is.True(d.Decide(now, opening(10000+n, 0)).Target.AvailabilityZone != "a")
			}
		})
	}
}

// A zone that operators have taken out, or whose targets all leave, doesn't serve its
// callers, however little its balancers can reach beyond it.
func TestZoneServesWhileItHasTargets(t *testing.T) {
	is := is.New(t)
	d := newZoned()
	is.True(d.ServesZone())
	d.SetOut("a", true)
	is.True(!d.ServesZone())
	d.SetOut("a", false)
	is.True(d.ServesZone())
	for id := 3; id <= 15; id += 3 {
		leaving := target(id)
		leaving.Draining = true
		d.SetTarget(start, leaving)
	}
	is.True(!d.ServesZone())
	is.True(!newDirector(15).ServesZone())
}

// What is explained is what happens.
func TestExplainedOpeningStaysInTheZone(t *testing.T) {
	is := is.New(t)
	d := newZoned()
	askFor(d, start, 5, 30)
	now := start.Add(5 * time.Second)
	for n := range 100 {
		p := opening(10000+n, 0)
		is.Equal(d.Explain(now, p).Opening.Target.Name, d.Decide(now, p).Target.Name)
	}
}
