package director_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
)

// planHistory plays changes of zones, regions, targets and load between the plans of a balancer
// in zone a.
type planHistory struct {
	*rapid.T
	d       *director.Director
	now     time.Time
	regions map[string]string
	out     map[string]bool
	targets map[string]director.Target
	callers int
	// cold holds the times of flows to each cold target.
	cold map[string][]time.Time
}

// Guards against plans that outlive what they were made from: whatever changed since, no new
// flow goes to a zone that is out, to another region while the own has a target that isn't
// suspect, or to a cold target beyond its rate.
func TestPlansKeepTheRulesInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &planHistory{
			T: t, d: newDirectorWithZones(), now: start, out: make(map[string]bool),
			regions: map[string]string{"a": "west", "b": "west", "c": "east"},
			targets: make(map[string]director.Target), cold: make(map[string][]time.Time),
		}
		h.d.SetRegions(h.regions)
		for id := 1; id <= h.d.Targets(); id++ {
			h.targets[target(id).Name] = target(id)
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			h.change()
			h.open()
		}
	})
}

func (h *planHistory) draw(name string, most int) int { return rapid.IntRange(0, most).Draw(h.T, name) }

// change makes one change that isn't followed by a plan, or a second with one.
func (h *planHistory) change() {
	zone := string(rune('a' + h.draw("zone", 2)))
	id := 1 + h.draw("target", len(h.targets)-1)
	t := h.targets[target(id).Name]
	switch h.draw("change", 6) {
	case 0:
		h.out[zone] = !h.out[zone]
		h.d.SetZoneOut(zone, h.out[zone])
	case 1:
		h.regions = map[string]string{"a": "west", "b": "west", "c": "east"}
		h.regions[zone] = rapid.SampledFrom([]string{"west", "east"}).Draw(h.T, "region")
		h.d.SetRegions(h.regions)
	case 2:
		t.Started++
		t.Draining, t.ColdFor = rapid.Bool().Draw(h.T, "draining"), time.Duration(h.draw("cold", 1))*time.Hour
		h.targets[t.Name] = t
		delete(h.cold, t.Name)
		h.d.SetTarget(h.now, t)
	case 3:
		for _, check := range h.d.TakeChecks() {
			h.d.RecordVerdict(h.now, check, rapid.SampledFrom([]director.Verdict{director.Unreachable, director.Reachable}).Draw(h.T, "verdict"))
		}
	default:
		p := picture(float64(h.draw("a", 20)), float64(h.draw("b", 20)), float64(h.draw("c", 20)))
		h.now = applyPicture(h.d, h.now, 1+h.draw("seconds", 3), p)
	}
}

// open opens some flows, and checks where they go.
func (h *planHistory) open() {
	for range 20 {
		h.now = h.now.Add(time.Duration(h.draw("ms", 20)) * time.Millisecond)
		h.callers++
		home := h.regionalTarget()
		got := h.d.Decide(h.now, opening(h.callers, 0))
		if got.Action != director.Forward {
			continue
		}
		t := h.targets[got.Target.Name]
		switch {
		case h.out[t.AvailabilityZone] || t.Draining:
			h.Fatalf("a flow went to %s, which takes none", t.Name)
		case home != "" && h.regions[t.AvailabilityZone] != h.regions["a"]:
			h.Fatalf("a flow went to %s in zone %s, though %s is in the own region", t.Name, t.AvailabilityZone, home)
		case t.ColdFor > 0:
			h.cold[t.Name] = append(h.cold[t.Name], h.now)
			times := h.cold[t.Name]
			const rate = 4
			if n := len(times); n > rate && h.now.Sub(times[n-1-rate]) < time.Second {
				h.Fatalf("%d flows went to the cold target %s in %v", rate+1, t.Name, h.now.Sub(times[n-1-rate]))
			}
		}
	}
}

// regionalTarget returns the name of a target in the own region that is ready for any flow, or
// an empty string.
func (h *planHistory) regionalTarget() string {
	health := h.d.HealthSummary(h.now)
	for id := range len(h.targets) {
		t := h.targets[fmt.Sprintf("t-%d", id+1)]
		if h.regions[t.AvailabilityZone] == h.regions["a"] && !h.out[t.AvailabilityZone] && !t.Draining && t.ColdFor == 0 &&
			!slices.Contains(health.UnreachableTargets, t.Name) && !slices.Contains(health.SuspectZones, t.AvailabilityZone) {
			return t.Name
		}
	}
	return ""
}
