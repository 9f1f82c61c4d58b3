package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

const (
	// zoneBalancers is how many balancers share the load of the own zone in these
	// tests. answerTime is how long a target takes to answer a request.
	zoneBalancers = 4
	answerTime    = 50 * time.Millisecond
)

// sendRequest opens a flow, sends a request on it and acknowledges the answer after
// answerTime. It returns the zone of the flow's target.
func sendRequest(d *director.Director, now time.Time, flow int) string {
	opened := d.Decide(now, opening(flow, 0))
	d.Decide(now, data(flow, board, opened.Token, 1, 1))
	acknowledgement := data(flow, board, opened.Token, 17, 2001)
	acknowledgement.Data = nil
	d.Decide(now.Add(answerTime), acknowledgement)
	return opened.Target.AvailabilityZone
}

// sendRequests sends perSecond requests a second, for the given number of seconds. It returns
// the part of the last second's flows that went to each zone.
func sendRequests(d *director.Director, now time.Time, seconds, perSecond int) map[string]float64 {
	parts := make(map[string]float64)
	for n := range seconds * perSecond {
		now := now.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		if n%perSecond == 0 {
			d.Tick(now)
		}
		zone := sendRequest(d, now, n)
		if n >= (seconds-1)*perSecond {
			parts[zone] += 1 / float64(perSecond)
		}
	}
	return parts
}

// newDirectorWithZones returns a director in zone a, which has four balancers. Each of three
// zones has five targets with three slots each.
func newDirectorWithZones() *director.Director {
	d := newDirectorIn("a", 15)
	d.SetBalancerCounts(3*zoneBalancers, zoneBalancers)
	return d
}

// Load pattern: zones are cut off from each other while each has capacity for its own
// callers. No flow crosses between zones, so no flow is lost.
func TestFlowsStayInAZoneWithCapacity(t *testing.T) {
	is := is.New(t)
	// 30 requests a second at each of 4 balancers, 50 ms each, fill 6 of 15 slots.
	d := newDirectorWithZones()
	parts := sendRequests(d, start, 5, 30)
	is.Equal(parts, map[string]float64{"a": parts["a"]})
	is.Equal(len(d.HealthSummary(start.Add(5*time.Second)).CrowdedServices), 0)
}

// Load pattern: the callers of one zone have twice as many requests at a time as its targets
// are meant to take (maxLocalUse). Half of their flows stay, and the others go to any zone.
func TestZoneOverCapacitySendsFlowsElsewhere(t *testing.T) {
	is := is.New(t)
	// 75 requests a second at each of 4 balancers fill 15 slots of 15.
	d := newDirectorWithZones()
	parts := sendRequests(d, start, 8, 75)
	is.Equal(d.HealthSummary(start.Add(8*time.Second)).CrowdedServices, []string{"desk"})
	is.True(abs(int(100*(parts["a"]-(0.5+0.5/3)))) <= 15)
	is.True(parts["b"] > 0.05)
	is.True(parts["c"] > 0.05)
}

// Load pattern: a deployment starts, and all callers open their long flows within a second,
// before the demand has been measured. The flows stay in a zone that has its share of the
// targets.
func TestFirstFlowsStayInAZoneWithItsShare(t *testing.T) {
	is := is.New(t)
	is.True(sendRequests(newDirectorWithZones(), start, 1, 75)["a"] > 0.9) // a third without a preference for the own zone
}

// A zone with few of the targets may lack the capacity for its callers, so its flows go to
// all zones before the demand has been measured.
func TestFirstFlowsLeaveAZoneWithFewTargets(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	for id := 6; id <= 15; id += 3 {
		d.RemoveTarget(start, target(id).Name)
	}
	parts := sendRequests(d, start, 1, 75)
	is.True(parts["a"] < 0.2) // one target of eleven
	is.Equal(len(parts), 3)
}

// Flows leave a zone in which no target is ready for them.
func TestFlowsLeaveAZoneThatIsNotReady(t *testing.T) {
	for name, disable := range map[string]func(d *director.Director, now time.Time, id int){
		"draining": func(d *director.Director, now time.Time, id int) {
			t := target(id)
			t.Draining = true
			d.SetTarget(now, t)
		},
		"removed":   func(d *director.Director, now time.Time, id int) { d.RemoveTarget(now, target(id).Name) },
		"taken out": func(d *director.Director, _ time.Time, _ int) { d.SetZoneOut("a", true) },
		"unreachable": func(d *director.Director, now time.Time, id int) {
			t := target(id)
			d.RecordVerdict(now, director.Check{Name: t.Name, Started: t.Started, Target: t}, director.Unreachable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectorWithZones()
			sendRequests(d, start, 5, 30)
			now := start.Add(5 * time.Second)
			for id := 3; id <= 15; id += 3 {
				disable(d, now, id)
			}
			for n := range 100 {
				is.True(d.Decide(now, opening(10000+n, 0)).Target.AvailabilityZone != "a")
			}
		})
	}
}

// A zone that operators have taken out, or whose targets all drain, has no local targets,
// whichever targets of other zones its balancers can reach.
func TestHasLocalTargets(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	is.True(d.HasLocalTargets())
	d.SetZoneOut("a", true)
	is.True(!d.HasLocalTargets())
	d.SetZoneOut("a", false)
	is.True(d.HasLocalTargets())
	for id := 3; id <= 15; id += 3 {
		leaving := target(id)
		leaving.Draining = true
		d.SetTarget(start, leaving)
	}
	is.True(!d.HasLocalTargets())
	is.True(!newDirector(15).HasLocalTargets())
}

// Explain returns the target of the own zone that Decide then chooses.
func TestExplainedOpeningStaysInTheZone(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	sendRequests(d, start, 5, 30)
	now := start.Add(5 * time.Second)
	for n := range 100 {
		p := opening(10000+n, 0)
		is.Equal(d.Explain(now, p).Opening.Target.Name, d.Decide(now, p).Target.Name)
	}
}
