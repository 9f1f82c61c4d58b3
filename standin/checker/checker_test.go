package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/checker"
)

const movingPort = 9

var start = time.Unix(1_700_000_000, 0)

func newChecker() *checker.Checker {
	return checker.New(start, checker.Deployment{
		Service: "desk", MovingPort: movingPort,
		ServiceOf: func(version int) string { return map[int]string{1: "desk", 2: "press"}[version] },
	})
}

// arrival returns an opening that breaks no promise.
func arrival(at time.Duration) checker.Arrival {
	now := start.Add(at)
	return checker.Arrival{Now: now, Sent: now, Balancer: "b", Target: "t", AvailabilityZone: "z", Service: "desk", Port: 1}
}

func TestEachViolationIsReported(t *testing.T) {
	for promise, cause := range map[string]func(c *checker.Checker){
		"": func(c *checker.Checker) { c.CheckOpening(arrival(time.Minute)) },
		"route": func(c *checker.Checker) {
			a := arrival(time.Minute)
			a.Service = "press"
			c.CheckOpening(a)
		},
		"drain": func(c *checker.Checker) {
			a := arrival(time.Minute)
			a.DrainingSince = a.Sent.Add(-4 * time.Second)
			c.CheckOpening(a)
		},
		"evacuation": func(c *checker.Checker) {
			c.SetZoneOut("z", start)
			c.CheckOpening(arrival(6 * time.Second))
		},
		"configuration": func(c *checker.Checker) {
			c.MarkAccepted(1, start)
			c.MarkAccepted(2, start.Add(10*time.Second))
			a := arrival(14 * time.Second)
			a.Port = movingPort
			c.CheckOpening(a)
		},
		"cold": func(c *checker.Checker) {
			for n := range 20 {
				a := arrival(time.Duration(n) * 10 * time.Millisecond)
				a.Cold = true
				c.CheckOpening(a)
			}
		},
		"flow":      func(c *checker.Checker) { c.CheckReset(start, "c", "t", true, 0) },
		"rejection": func(c *checker.Checker) { c.CheckRejection(start, "c", "t", true) },
		"unaltered": func(c *checker.Checker) { c.ReportAltered(start, "t") },
		"recovery":  func(c *checker.Checker) { c.ReportUnserved(start, 1, 10) },
		"exit":      func(c *checker.Checker) { c.ReportExit(start, "b", nil) },
	} {
		t.Run(promise, func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			cause(c)
			for _, v := range c.Violations() {
				is.Equal(v.Promise, promise)
			}
			is.Equal(len(c.Violations()) > 0, promise != "")
		})
	}
}

// A fault excuses a component from promises with a time bound until 4 s after its end.
func TestFaultyAreExcused(t *testing.T) {
	is := is.New(t)
	c := newChecker()
	c.SetZoneOut("z", start)
	c.MarkFaulty("b", start.Add(7*time.Second))
	c.CheckOpening(arrival(10 * time.Second))
	is.Equal(len(c.Violations()), 0)
	c.CheckOpening(arrival(12 * time.Second))
	is.Equal(len(c.Violations()), 1)
}
