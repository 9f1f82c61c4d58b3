package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// A target that starts again under its name and ID, and whose registrations give no time of a
// start, takes new flows again after its earlier run has drained.
func TestRunsWithoutStartTimeMayBecomeReadyAgain(t *testing.T) {
	is := is.New(t)
	d := newDirector(0)
	registration := target(1)
	registration.Started = 0
	registration.Draining = true
	d.SetTarget(start, registration)
	d.RemoveTarget(start.Add(time.Second), registration.Name)
	registration.Draining = false
	d.SetTarget(start.Add(2*time.Second), registration)
	is.Equal(d.Decide(start.Add(3*time.Second), opening(1, 0)).Action, director.Forward)
}
