package judger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/standin/judger"
)

const moving = 9

var start = time.Unix(1_700_000_000, 0)

func newJudge() *judger.Judge {
	return judger.New(start, judger.Deployment{
		Service: "desk", MovingPort: moving,
		ServiceOf: func(version int) string { return map[int]string{1: "desk", 2: "press"}[version] },
	})
}

// arrival is an opening that breaks nothing.
func arrival(at time.Duration) judger.Arrival {
	now := start.Add(at)
	return judger.Arrival{Now: now, Sent: now, Balancer: "b", Target: "t", AvailabilityZone: "z", Service: "desk", Port: 1}
}

func TestEachBreakIsFound(t *testing.T) {
	for promise, cause := range map[string]func(j *judger.Judge){
		"": func(j *judger.Judge) { j.Opened(arrival(time.Minute)) },
		"route": func(j *judger.Judge) {
			a := arrival(time.Minute)
			a.Service = "press"
			j.Opened(a)
		},
		"drain": func(j *judger.Judge) {
			a := arrival(time.Minute)
			a.DrainingSince = a.Sent.Add(-4 * time.Second)
			j.Opened(a)
		},
		"evacuation": func(j *judger.Judge) {
			j.SetOut("z", start)
			j.Opened(arrival(6 * time.Second))
		},
		"configuration": func(j *judger.Judge) {
			j.Accept(1, start)
			j.Accept(2, start.Add(10*time.Second))
			a := arrival(14 * time.Second)
			a.Port = moving
			j.Opened(a)
		},
		"cold": func(j *judger.Judge) {
			for n := range 20 {
				a := arrival(time.Duration(n) * 10 * time.Millisecond)
				a.Cold = true
				j.Opened(a)
			}
		},
		"flow":      func(j *judger.Judge) { j.Reset(start, "c", "t", true, 0) },
		"unaltered": func(j *judger.Judge) { j.Altered(start, "t") },
		"recovery":  func(j *judger.Judge) { j.Unserved(start, 1, 10) },
		"exit":      func(j *judger.Judge) { j.Ended(start, "b", nil) },
	} {
		t.Run(promise, func(t *testing.T) {
			is := is.New(t)
			j := newJudge()
			cause(j)
			for _, b := range j.Breaks() {
				is.Equal(b.Promise, promise)
			}
			is.Equal(len(j.Breaks()) > 0, promise != "")
		})
	}
}

// Whoever was harmed is not judged by times for 4 s after it.
func TestHarmedAreNotJudged(t *testing.T) {
	is := is.New(t)
	j := newJudge()
	j.SetOut("z", start)
	j.Harm("b", start.Add(7*time.Second))
	j.Opened(arrival(10 * time.Second))
	is.Equal(len(j.Breaks()), 0)
	j.Opened(arrival(12 * time.Second))
	is.Equal(len(j.Breaks()), 1)
}
