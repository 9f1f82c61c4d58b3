package director_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// newDirectorWithRegions returns a director whose own zone has no targets. Zones a and b are in
// its region, zone c is in another one.
func newDirectorWithRegions() *director.Director {
	d := newDirector(9)
	d.SetRegions(map[string]string{"entry": "north", "a": "north", "b": "north", "c": "south"})
	return d
}

// zonesOf returns the zones that 200 new flows go to.
func zonesOf(t *testing.T, d *director.Director) map[string]bool {
	t.Helper()
	zones := make(map[string]bool)
	for n := range 200 {
		decision := d.Decide(start, opening(n, 0))
		if decision.Action == director.Forward {
			zones[decision.Target.AvailabilityZone] = true
		}
	}
	return zones
}

// Load pattern: regions are cut off from each other for minutes, several times a year. Flows
// stay in their region as long as it has targets that aren't suspect.
func TestFlowsStayInTheirRegion(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithRegions()
	is.Equal(zonesOf(t, d), map[string]bool{"a": true, "b": true})
	d = newDirectorWithRegions()
	d.SetZoneOut("a", true)
	d.SetZoneOut("b", true)
	is.Equal(zonesOf(t, d), map[string]bool{"c": true})
}
