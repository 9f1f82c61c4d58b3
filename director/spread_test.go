package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/director"
)

// picture returns what balancers report if callers of the zones a, b, c and so on would occupy
// that many slots of the targets of service desk.
func picture(slots ...float64) aggregator.Picture {
	p := aggregator.Picture{Zones: make(map[string]aggregator.Summary)}
	for i, n := range slots {
		zone := string(rune('a' + i))
		rate := n / answerTime.Seconds()
		// The class of another service makes no difference.
		p.Zones[zone] = aggregator.Summary{AvailabilityZone: zone, Balancers: zoneBalancers, Demand: map[aggregator.Class]aggregator.Demand{
			{Service: "desk"}:             {Requests: rate / 3, Answered: rate / 3, Concurrency: n / 3},
			{Service: "desk", Urgency: 1}: {Requests: 2 * rate / 3, Answered: 2 * rate / 3, Concurrency: 2 * n / 3},
			{Service: "press"}:            {Requests: 1e4, Answered: 1e4, Concurrency: 1e4},
		}}
	}
	return p
}

// applyPicture gives the picture to the director for some seconds, and returns the time after.
func applyPicture(d *director.Director, now time.Time, seconds int, p aggregator.Picture) time.Time {
	for range seconds {
		now = now.Add(time.Second)
		d.SetPicture(now, p)
		d.Tick(now)
	}
	return now
}

// openingParts returns the part of new flows, from the first caller on, that goes to each zone.
func openingParts(d *director.Director, now time.Time, first int) map[string]float64 {
	const flows = 2000
	parts := make(map[string]float64)
	for n := first; n < first+flows; n++ {
		parts[d.Decide(now, opening(n, 0)).Target.AvailabilityZone] += 1.0 / flows
	}
	return parts
}

// Load pattern: quiet. Each flow goes to the same target as without a picture.
func TestQuietPictureChangesNoChoice(t *testing.T) {
	is := is.New(t)
	plain, informed := newDirectorWithZones(), newDirectorWithZones()
	now := applyPicture(informed, start, 3, picture(7, 5, 6))
	plain.Tick(now)
	for n := range 500 {
		is.Equal(informed.Decide(now, opening(n, 0)).Target.Name, plain.Decide(now, opening(n, 0)).Target.Name)
	}
	is.Equal(informed.TakeSpreadChanges(now), nil)
}

// Load pattern: the callers of one zone need all its slots, those of another some.
func TestPlannedFlowsGoWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	d, other := newDirectorWithZones(), newDirectorWithZones()
	p := picture(14, 6, 3)
	now := applyPicture(d, start, 6, p)
	applyPicture(other, start, 6, p)
	parts := openingParts(d, now, 0)
	is.True(parts["a"] > 0.5 && parts["a"] < 0.8)
	is.True(parts["c"] > parts["b"] && parts["b"] > 0.05)
	for n := range 500 {
		is.Equal(d.Decide(now, opening(n, 0)).Token, other.Decide(now, opening(n, 0)).Token)
	}
	is.Equal(d.HealthSummary(now).CrowdedServices, []string{"desk"})
	spreads := d.Spreads()
	is.Equal(len(spreads), 3)
	is.Equal(spreads[2].Slots, 15.0)
	is.True(spreads[2].Demand > 2.9 && spreads[2].Demand < 3.1)
	is.True(abs(int(100*(spreads[2].Part-parts["c"]))) <= 4)
}

// One change is returned when a service begins, and one when it ends.
func TestSpreadChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	now := applyPicture(d, start, 2, picture(14, 3, 3))
	changes := d.TakeSpreadChanges(now)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Service, "desk")
	is.Equal(len(changes[0].Away), 2)
	is.Equal(len(d.TakeSpreadChanges(now)), 0)
	now = applyPicture(d, now, 12, picture(5, 3, 3))
	changes = d.TakeSpreadChanges(now)
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].Away), 0)
}

// Load pattern: requests begin to wait in all zones while one sends flows away. The end of the
// plan doesn't pass for flows that stay.
func TestEndOfThePlanIsToldFromItsReturn(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	now := applyPicture(d, start, 6, picture(14, 3, 3))
	is.Equal(len(d.TakeSpreadChanges(now)), 1)
	now = applyPicture(d, now, 12, picture(30, 15, 15))
	changes := d.TakeSpreadChanges(now)
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].Away), 0)
	is.True(!changes[0].Planned && changes[0].Crowded)
	is.True(d.Explain(now, opening(1, 0)).Placement.Crowded)
}

// The planned zone is taken out, or its targets leave, after the plan was made.
func TestPlannedZoneThatIsGone(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	now := applyPicture(d, start, 6, picture(15, 3, 3))
	d.SetZoneOut("c", true)
	parts := openingParts(d, now, 0)
	is.Equal(parts["c"], 0.0)
	is.True(parts["a"]+parts["b"] > 0.999)
}

// A picture that isn't renewed is used for a few seconds, and the own demand decides then.
func TestPictureThatIsTooOld(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	now := applyPicture(d, start, 6, picture(15, 3, 3))
	for range 3 {
		now = now.Add(time.Second)
		d.Tick(now)
	}
	is.True(openingParts(d, now, 0)["a"] < 0.8)
	for range 5 {
		now = now.Add(time.Second)
		d.Tick(now)
	}
	is.True(openingParts(d, now, 5000)["a"] > 0.999) // no demand was measured here
}

// Load pattern: one of two zones of a region lacks slots, and another region has many.
func TestPlannedFlowsStayInTheRegion(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	d.SetRegions(map[string]string{"a": "west", "b": "west", "c": "east"})
	now := applyPicture(d, start, 6, picture(15, 3, 0))
	is.Equal(openingParts(d, now, 0)["c"], 0.0)
	d.SetZoneOut("a", true)
	d.SetZoneOut("b", true)
	now = applyPicture(d, now, 1, picture(15, 3, 0))
	is.True(openingParts(d, now, 5000)["c"] > 0.999)
}

// Load pattern: a region is taken out and comes back. No new flow leaves the region as soon as
// it has targets again, neither before the next plan nor by what is left of the earlier one.
func TestNoFlowLeavesARegionThatIsBack(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	d.SetRegions(map[string]string{"a": "west", "b": "west", "c": "east"})
	d.SetZoneOut("a", true)
	d.SetZoneOut("b", true)
	now := applyPicture(d, start, 3, picture(5, 3, 1))
	is.True(openingParts(d, now, 0)["c"] > 0.999)
	d.SetZoneOut("a", false)
	for n := range 4 {
		is.Equal(openingParts(d, now, 5000*(n+1))["c"], 0.0)
		now = applyPicture(d, now, 1, picture(3, 3, 1))
	}
}

// Explain names the zone and the target that Decide then chooses.
func TestExplainedPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectorWithZones()
		d.SetZoneOut("b", rapid.Bool().Draw(t, "out"))
		now := applyPicture(d, start, 4, picture(rapid.Float64Range(0, 30).Draw(t, "slots"), 3, 3))
		p := opening(rapid.IntRange(0, 1000).Draw(t, "caller"), 0)
		e := d.Explain(now, p)
		got := d.Decide(now, p).Target
		if e.Opening.Target.Name != got.Name || e.Placement.Zone != got.AvailabilityZone {
			t.Fatalf("explained %+v, decided %s in %s", e.Placement, got.Name, got.AvailabilityZone)
		}
	})
}

// BenchmarkSpreadOpening decides on new flows at 300 balancers and 600 targets, without and with
// a plan. The zone lacks slots for a fifth of its flows by either rule.
func BenchmarkSpreadOpening(b *testing.B) {
	for name, demands := range map[string][]float64{"without a plan": nil, "with a plan": {520, 100, 100}} {
		b.Run(name, func(b *testing.B) {
			d := newDirectorIn("a", 0)
			for id := 1; id <= 600; id++ {
				t := target(id)
				t.Name = fmt.Sprintf("t-%03d", id)
				d.SetTarget(start, t)
			}
			d.SetBalancerCounts(300, 100)
			sendRequests(d, start, 4, 75)
			now := applyPicture(d, start.Add(4*time.Second), 4, picture(demands...))
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%1000 == 0 {
					d.SetPicture(now, picture(demands...))
					d.Tick(now)
				}
				now = now.Add(time.Millisecond)
				d.Decide(now, opening(n, 0))
			}
		})
	}
}
