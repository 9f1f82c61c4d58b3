package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
)

// Copies of openings count once, and each request once with the time of its answer.
func TestReportHoldsRequestsByClassAndTarget(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	d.TakeReport(start)
	d.Decide(start, opening(99, 0))
	d.Decide(start, opening(99, 1))
	for n := range 3 {
		sendRequest(d, start, n)
	}
	r := d.TakeReport(start.Add(time.Second))
	is.Equal(r.Window, time.Second)
	is.Equal(r.Classes, []aggregator.ClassCount{{
		Class: aggregator.Class{Service: "desk"}, Openings: 4, Requests: 3, Answered: 3, Timed: 3, Time: 3 * answerTime,
	}})
	is.Equal(r.Targets, []aggregator.TargetCount{{Target: 1, Begun: 3, Answered: 3, Timed: 3, Time: 3 * answerTime}})
	is.True(d.KnowsTarget(1, "desk") && d.KnowsService("desk"))
	is.True(!d.KnowsTarget(1, "press") && !d.KnowsTarget(2, "desk") && !d.KnowsService("none"))
}
