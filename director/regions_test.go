package director_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// newRegional returns a director in a zone without targets, whose region has zones a and
// b; zone c is in another region.
func newRegional() *director.Director {
	d := newDirector(9)
	d.SetRegions(map[string]string{"entry": "north", "a": "north", "b": "north", "c": "south"})
	return d
}

// zonesOf returns the zones that 200 openings on a route go to.
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

// Load pattern: regions lose each other for minutes, several times a year. Flows stay in
// their region as long as it has targets that nothing speaks against.
func TestFlowsStayInTheirRegion(t *testing.T) {
	is := is.New(t)
	d := newRegional()
	is.Equal(zonesOf(t, d), map[string]bool{"a": true, "b": true})
	d = newRegional()
	d.SetOut("a", true)
	d.SetOut("b", true)
	is.Equal(zonesOf(t, d), map[string]bool{"c": true})
}
