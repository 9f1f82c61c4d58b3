package spreader_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/spreader"
)

const (
	// service is how long a target works on a request, goal the time within which callers
	// want an answer. A target has slotsPerTarget slots.
	service        = 0.05
	goal           = 250 * time.Millisecond
	near           = 1400 * time.Microsecond
	far            = 12 * time.Millisecond
	slotsPerTarget = 3
	// settleTime is how many seconds a new plan takes at most.
	settleTime = 6
)

var start = time.Unix(1_700_000_000, 0)

// zone returns a zone whose callers would occupy demand slots.
func zone(name string, demand float64, targets int) spreader.Zone {
	return spreader.Zone{
		Name: name, Reported: true, Requests: demand / service, Answered: demand / service, Concurrency: demand,
		Slots: slotsPerTarget * float64(targets), Targets: targets, Distance: near,
	}
}

// fleet holds a planner for the balancers of each zone. All get the same picture.
type fleet struct {
	now      time.Time
	planners map[string]*spreader.Planner
}

// update runs the planners for a number of seconds, and returns the parts of each zone's flows
// by the zone that they go to.
func (f *fleet) update(seconds int, zones ...spreader.Zone) map[string]map[string]float64 {
	if f.planners == nil {
		f.now, f.planners = start, make(map[string]*spreader.Planner)
	}
	parts := make(map[string]map[string]float64)
	for range seconds {
		f.now = f.now.Add(time.Second)
		for _, z := range zones {
			if f.planners[z.Name] == nil {
				f.planners[z.Name] = &spreader.Planner{}
			}
			share := f.planners[z.Name].Update(f.now, spreader.Load{Own: z.Name, Goal: goal, Zones: zones})
			parts[z.Name] = map[string]float64{z.Name: share.Home()}
			for _, p := range share.Away {
				parts[z.Name][p.Zone] = p.Part
			}
		}
	}
	return parts
}

// uses returns the use of each zone's slots if flows go by the parts.
func uses(parts map[string]map[string]float64, zones []spreader.Zone) map[string]float64 {
	uses := make(map[string]float64)
	for _, from := range zones {
		for _, to := range zones {
			if part := parts[from.Name][to.Name]; part > 0 {
				uses[to.Name] += part * from.Requests * service / to.Slots
			}
		}
	}
	return uses
}

// lateShare returns the part of a zone's requests that waits for a slot for longer than the
// goal leaves, by Erlang's formula for a queue with the slots of one target.
func lateShare(parts map[string]map[string]float64, zones []spreader.Zone, from string) float64 {
	late := 0.0
	for to, part := range parts[from] {
		patience := goal.Seconds() - service
		if to != from {
			patience -= near.Seconds()
		}
		late += part * waitsLonger(uses(parts, zones)[to], patience)
	}
	return late
}

func waitsLonger(use, patience float64) float64 {
	if use >= 1 {
		return 1
	}
	load := use * slotsPerTarget
	term, sum := 1.0, 1.0
	for n := 1; n < slotsPerTarget; n++ {
		term *= load / float64(n)
		sum += term
	}
	busy := term * load / slotsPerTarget / (1 - use)
	return busy / (sum + busy) * math.Exp(-(slotsPerTarget-load)*patience/service)
}

// Load pattern: quiet; each zone has slots for twice its callers.
func TestQuietZonesKeepTheirFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		use := rapid.Float64Range(0, 0.5)
		zones := []spreader.Zone{
			zone("a", 60*use.Draw(t, "a"), 20), zone("b", 60*use.Draw(t, "b"), 20), zone("c", 60*use.Draw(t, "c"), 20),
		}
		for name, parts := range (&fleet{}).update(settleTime, zones...) {
			if parts[name] != 1 {
				t.Fatalf("zone %s sends flows away: %v", name, parts)
			}
		}
	})
}

// Load pattern: nine tenths of the callers are in one zone, and all slots are used to 0.6. The
// others' callers don't leave, and no zone is filled beyond 0.9.
func TestCallersInOneZone(t *testing.T) {
	is := is.New(t)
	zones := []spreader.Zone{zone("a", 97, 20), zone("b", 5.5, 20), zone("c", 5.5, 20)}
	parts := (&fleet{}).update(settleTime, zones...)
	is.Equal(parts["b"]["b"], 1.0)
	is.True(math.Abs(parts["a"]["b"]-parts["a"]["c"]) < 0.01)
	for _, use := range uses(parts, zones) {
		is.True(use < 0.9)
	}
	is.True(lateShare(parts, zones, "a") < 0.05)
}

// Load pattern: three tenths of the targets of the callers' zone work six times as slowly, so
// that the zone's room falls by a quarter. More leaves, and comes home afterwards.
func TestSlowTargetsSendFlowsAway(t *testing.T) {
	is := is.New(t)
	var f fleet
	usual := []spreader.Zone{zone("a", 48, 20), zone("b", 12, 20), zone("c", 12, 20)}
	before := f.update(settleTime, usual...)
	slow := append([]spreader.Zone{}, usual...)
	slow[0].Slots *= 0.75
	during := f.update(settleTime, slow...)
	is.True(during["a"]["a"] < before["a"]["a"]-0.1)
	is.True(uses(during, slow)["a"] < 0.9)
	// Each of the two parts is within 0.05 of the plan.
	is.True(math.Abs(f.update(settleTime, usual...)["a"]["a"]-before["a"]["a"]) <= 0.1)
}

// Load pattern: a zone is evacuated while the callers of all zones fill 0.6 of all slots, or
// 0.9 of those that are left. Its callers wait too long as often as those at home.
func TestEvacuatedZoneUnderHighLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := 40 * rapid.Float64Range(0.4, 0.6).Draw(t, "part of the slots in b")
		zones := []spreader.Zone{zone("a", 36, 0), zone("b", 36, int(left)), zone("c", 36, 40-int(left))}
		parts := (&fleet{}).update(settleTime, zones...)
		if parts["a"]["a"] > 1e-9 {
			t.Fatalf("flows stay in the evacuated zone: %v", parts["a"])
		}
		least, most := 1.0, 0.0
		for _, z := range zones {
			late := lateShare(parts, zones, z.Name)
			least, most = min(least, late), max(most, late)
		}
		if most-least > 0.03 {
			t.Fatalf("late shares from %v to %v: %v", least, most, parts)
		}
	})
}

// Load pattern: a zone is evacuated in quiet times. Its flows go to both others, though one of
// them is far.
func TestEvacuatedZoneUsesFarZonesToo(t *testing.T) {
	is := is.New(t)
	zones := []spreader.Zone{zone("a", 6, 0), zone("b", 6, 20), zone("c", 6, 20)}
	zones[2].Distance = far
	parts := (&fleet{}).update(1, zones...)["a"]
	is.True(parts["b"]+parts["c"] > 0.999) // at once
	is.True(parts["b"] > parts["c"])
	is.True(parts["c"] > 0.2)
}

// Load pattern: a zone without callers of its own, such as one that was evacuated, returns
// cold. Its flows stay away while its targets are cold, and come home once these are ready.
func TestZoneReturnsCold(t *testing.T) {
	is := is.New(t)
	var f fleet
	ready := []spreader.Zone{zone("a", 24, 20), zone("b", 24, 20), zone("c", 24, 20)}
	cold := []spreader.Zone{zone("a", 24, 0), ready[1], ready[2]}
	is.True(f.update(3, cold...)["a"]["a"] < 1e-9)
	is.Equal(f.update(5+settleTime, ready...)["a"]["a"], 1.0)
}

// Load pattern: a burst of 1.7 times in all zones, or in one zone with room for it. Leaving
// the zone gains nothing.
func TestBurstThatStaysAtHome(t *testing.T) {
	for name, zones := range map[string][]spreader.Zone{
		"everywhere": {zone("a", 1.7*30, 20), zone("b", 1.7*30, 20), zone("c", 1.7*30, 20)},
		"one zone":   {zone("a", 1.7*19, 20), zone("b", 19, 20), zone("c", 19, 20)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f fleet
			f.update(settleTime, zone("a", 19, 20), zone("b", 19, 20), zone("c", 19, 20))
			is.Equal(f.update(settleTime, zones...)["a"]["a"], 1.0)
		})
	}
}

// Load pattern: one zone lacks room, beside a near zone and a far one with the same room.
func TestFarZonesGetLessThanNearOnes(t *testing.T) {
	is := is.New(t)
	zones := []spreader.Zone{zone("a", 54, 20), zone("b", 12, 20), zone("c", 12, 20)}
	zones[2].Distance = far
	parts := (&fleet{}).update(settleTime, zones...)["a"]
	is.True(parts["b"] > parts["c"])
	zones[1].Distance = far
	is.True((&fleet{}).update(settleTime, zones...)["a"]["a"] > parts["a"])
}

// Load pattern: two zones lack room at the same time, and a third has some.
func TestOverloadedZonesShareTheThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.Float64Range(0.8, 1.3)
		zones := []spreader.Zone{
			zone("a", 60*demand.Draw(t, "a"), 20), zone("b", 60*demand.Draw(t, "b"), 20),
			zone("c", 60*rapid.Float64Range(0, 0.4).Draw(t, "c"), 20),
		}
		zones[2].Distance = rapid.SampledFrom([]time.Duration{near, far}).Draw(t, "distance")
		parts := (&fleet{}).update(settleTime, zones...)
		used := uses(parts, zones)
		if parts["c"]["c"] != 1 || used["c"] > max(used["a"], used["b"])+0.01 || used["c"] > 1.01 {
			t.Fatalf("uses %v by %v", used, parts)
		}
	})
}

// Load pattern: more demand than all slots in one zone, and reports that claim any demand.
// The parts stay a distribution.
func TestPartsAreADistribution(t *testing.T) {
	number := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1e4), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1)}))
	rapid.Check(t, func(t *rapid.T) {
		var planner spreader.Planner
		for n := range rapid.IntRange(1, 8).Draw(t, "updates") {
			var zones []spreader.Zone
			for _, name := range []string{"c", "a", "b", "d"}[:rapid.IntRange(0, 4).Draw(t, "zones")] {
				zones = append(zones, spreader.Zone{
					Name: name, Reported: rapid.Bool().Draw(t, "reported"), Requests: number.Draw(t, "requests"),
					Answered: number.Draw(t, "answered"), Concurrency: number.Draw(t, "concurrency"),
					Slots: number.Draw(t, "slots"), Targets: rapid.IntRange(-1, 50).Draw(t, "targets"),
					Distance: time.Duration(rapid.Int64().Draw(t, "distance")),
				})
			}
			share := planner.Update(start.Add(time.Duration(n)*time.Second), spreader.Load{Own: "a", Zones: zones})
			sum := share.Home()
			for _, p := range share.Away {
				if !(p.Part > 0) || p.Zone == "a" {
					t.Fatalf("part %+v", p)
				}
				sum += p.Part
			}
			if !(math.Abs(sum-1) < 1e-6) {
				t.Fatalf("parts add up to %v: %+v", sum, share)
			}
		}
	})
}

// Load pattern: a zone at the edge of its room or beyond it, whose measured demand varies by
// as much as that of 1,000 requests a second. Flows are open for long, so callers see each
// change for minutes.
func TestDemandThatVariesCausesFewChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean := rapid.Float64Range(20, 70).Draw(t, "demand")
		noise := rapid.Float64Range(0.97, 1.03)
		var planner spreader.Planner
		const seconds = 30
		before, begun, changed := 0.0, 0, 0
		for n := range seconds {
			share := planner.Update(start.Add(time.Duration(n)*time.Second), spreader.Load{Own: "a", Goal: goal, Zones: []spreader.Zone{
				zone("a", mean*noise.Draw(t, "a"), 20), zone("b", 12*noise.Draw(t, "b"), 20), zone("c", 12*noise.Draw(t, "c"), 20),
			}})
			away := 1 - share.Home()
			if n >= settleTime && math.Abs(away-before) > 1e-9 {
				changed++
			}
			if away > 0 && before == 0 {
				begun++
			}
			before = away
		}
		if begun > seconds/6 || changed > seconds/6 {
			t.Fatalf("began to send flows away %d times, and changed the part %d times in %d s", begun, changed, seconds)
		}
	})
}

// Load pattern: a burst in which requests wait ten times as long as targets work on them, in
// all zones. The wait isn't taken for work.
func TestTimeInQueuesIsNotWork(t *testing.T) {
	is := is.New(t)
	var f fleet
	zones := []spreader.Zone{zone("a", 27, 20), zone("b", 12, 20), zone("c", 12, 20)}
	f.update(settleTime, zones...)
	for i := range zones {
		zones[i].Concurrency *= 10
	}
	is.True(f.update(2, zones...)["a"]["a"] > 0.9)
}

// Load pattern: a target works for 50 ms on a request, and its packets travel for as long.
func TestPathIsNotWork(t *testing.T) {
	is := is.New(t)
	var planner spreader.Planner
	a := zone("a", 27, 20)
	a.Concurrency *= 2
	planner.Update(start, spreader.Load{Own: "a", Path: 50 * time.Millisecond, Zones: []spreader.Zone{a}})
	is.Equal(planner.ServiceTime().Round(time.Millisecond), 50*time.Millisecond)
}

// Load pattern: demand falls in one zone. Each second at most a quarter of the flows changes.
func TestChangesAreBounded(t *testing.T) {
	is := is.New(t)
	var f fleet
	b, c := zone("b", 6, 20), zone("c", 6, 20)
	before := 1.0
	for n := range 40 {
		demand := 12.0
		if n >= 5 && n < 20 {
			demand = 150
		}
		home := f.update(1, zone("a", demand, 20), b, c)["a"]["a"]
		is.True(math.Abs(home-before) <= 0.25+1e-9)
		before = home
	}
	is.Equal(before, 1.0)
}

// Reports are missing or contradict each other.
func TestReportsThatAreMissingOrContradict(t *testing.T) {
	full, b, c := zone("a", 66, 20), zone("b", 12, 20), zone("c", 12, 20)
	missing := func(z spreader.Zone) spreader.Zone {
		z.Reported, z.Requests = false, 0
		return z
	}
	t.Run("the own zone", func(t *testing.T) {
		is := is.New(t)
		share := (&spreader.Planner{}).Update(start, spreader.Load{Own: "a", Zones: []spreader.Zone{missing(full), b, c}})
		is.True(!share.Known)
		is.Equal(share.Home(), 1.0)
		is.True(!(&spreader.Planner{}).Update(start, spreader.Load{Own: "a"}).Known)
	})
	t.Run("another zone", func(t *testing.T) {
		is := is.New(t)
		busy := zone("b", 48, 20)
		parts, known := (&fleet{}).update(settleTime, full, busy, missing(c))["a"], (&fleet{}).update(settleTime, full, busy, zone("c", 30, 20))["a"]
		is.True(parts["c"] > 0)
		is.True(parts["c"] < known["c"]-0.02)
	})
	t.Run("for some seconds", func(t *testing.T) {
		is := is.New(t)
		var f fleet
		usual := []spreader.Zone{zone("a", 45, 20), zone("b", 45, 20), zone("c", 45, 20)}
		is.Equal(f.update(settleTime, usual...)["a"]["a"], 1.0)
		is.Equal(f.update(4, usual[0], missing(usual[1]), missing(usual[2]))["a"]["a"], 1.0)
		is.Equal(f.update(4, missing(usual[0]), usual[1], usual[2])["a"]["a"], 1.0)
		is.Equal(f.update(9, usual[0], missing(usual[1]), missing(usual[2]))["a"]["a"], 1.0)
		before := f.update(settleTime, full, b, c)["a"]["a"]
		is.True(before < 1)
		is.Equal(f.update(3, missing(full), b, c)["a"]["a"], before)
	})
	t.Run("a demand beyond measure", func(t *testing.T) {
		is := is.New(t)
		liar := c
		liar.Requests = 1e12
		parts := (&fleet{}).update(settleTime, full, b, liar)["a"]
		is.True(parts["b"] < 0.3)
		is.Equal(parts["c"], 0.0)
	})
	t.Run("a time near 0", func(t *testing.T) {
		is := is.New(t)
		liar := c
		liar.Concurrency = 1e-9
		parts, honest := (&fleet{}).update(settleTime, full, b, liar)["a"], (&fleet{}).update(settleTime, full, b, c)["a"]
		is.True(math.Abs(parts["a"]-honest["a"]) < 0.05)
	})
}

// A flow that stays at one size of the zone's part stays at any larger one.
func TestFlowsThatStayGoOnStaying(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		position := rapid.Float64Range(0, 0.999).Draw(t, "position")
		small := rapid.Float64Range(0, 0.5).Draw(t, "part")
		less := spreader.Share{Known: true, Away: []spreader.Part{{Zone: "b", Part: small / 2}, {Zone: "c", Part: small / 2}}}
		more := spreader.Share{Known: true, Away: []spreader.Part{{Zone: "b", Part: 0.3}, {Zone: "c", Part: 0.3}}}
		if more.Index(position) < 0 && less.Index(position) >= 0 {
			t.Fatal("the flow leaves when fewer do")
		}
	})
}

// Load pattern: all callers ask for six times as much while operators empty a zone. Without a
// plan, all zones send what exceeds half of their slots to the targets of any zone, and are
// served alike. The plan is back when the load is over.
func TestCrowdedZonesHaveNoPlan(t *testing.T) {
	is := is.New(t)
	var planner spreader.Planner
	update := func(second int, demand float64) spreader.Share {
		zones := []spreader.Zone{zone("a", demand, 0), zone("b", demand, 40), zone("c", demand, 40)}
		for i := range zones {
			// Full targets reject requests at once, so requests take less time than the work.
			zones[i].Answered = 2 * zones[i].Requests
			zones[i].Concurrency = min(zones[i].Concurrency, 1.5*slotsPerTarget*40)
		}
		return planner.Update(start.Add(time.Duration(second)*time.Second), spreader.Load{Own: "b", Goal: goal, Zones: zones})
	}
	for second := range 10 {
		share := update(second, 24)
		is.True(share.Known)
	}
	for second := range 10 {
		share := update(10+second, 6*24)
		is.True(!share.Known)
	}
	for second := range 10 {
		share := update(20+second, 24)
		is.True(share.Known)
		is.Equal(share.Home(), 1.0)
	}
}

// Zones without slots, such as those of a service whose targets are all cold, aren't crowded
// while no request waits.
func TestZonesWithoutSlotsAreNotCrowded(t *testing.T) {
	is := is.New(t)
	var planner spreader.Planner
	zones := []spreader.Zone{zone("a", 0, 0), zone("b", 0, 0)}
	planner.Update(start, spreader.Load{Own: "a", Goal: goal, Zones: zones})
	is.True(!planner.Crowded())
	zones[0].Concurrency = 1
	planner.Update(start.Add(time.Second), spreader.Load{Own: "a", Goal: goal, Zones: zones})
	is.True(planner.Crowded())
}
