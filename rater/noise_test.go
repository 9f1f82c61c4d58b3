package rater_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/rater"
)

// Targets of the same speed have speed 1 in all but one of a thousand windows, in any history:
// few targets or many, few requests or many, with several kinds of requests.
func TestEqualTargetsHaveSpeedOne(t *testing.T) {
	wrong, windows := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newService(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 20).Draw(t, "targets"), rapid.Float64Range(0.5, 40).Draw(t, "rate"))
		heavy := rapid.Float64Range(1, 3).Draw(t, "heavy")
		s.work = func(int) float64 { return 1 + float64(s.random.IntN(2))*(heavy-1) }
		for range 200 {
			s.run(1)
			wrong += len(s.r.Speeds(s.now))
			windows += len(s.slowdown)
		}
	})
	t.Logf("%d wrong of %d", wrong, windows)
	if wrong*1000 > windows {
		t.Fatalf("%d of %d ratings were wrong", wrong, windows)
	}
}

// With 5 requests a second and two kinds of requests, one with 3 times the work, targets of the
// same speed have speed 1 in 99 of 100 windows.
func TestEqualTargetsWithFewRequests(t *testing.T) {
	is := is.New(t)
	wrong := 0
	for seed := range uint64(20) {
		s := newService(seed, 20, 5)
		s.work = func(int) float64 { return 1 + 2*float64(s.random.IntN(2)) }
		for range 200 {
			s.run(1)
			wrong += len(s.r.Speeds(s.now))
		}
	}
	t.Logf("%d wrong of %d", wrong, 20*20*200)
	is.True(wrong <= 20*20*200/100)
}

// Load pattern: two kinds of requests, one with twice the work, and a target gets anything
// between 1 in 5 and 4 in 5 of the heavy kind. The targets keep nearly even shares.
func TestKindsOfRequestsMixedUnevenly(t *testing.T) {
	is := is.New(t)
	wrong := 0
	for seed := range uint64(50) {
		s := newService(seed, 10, 10)
		s.work = func(target int) float64 {
			if s.random.Float64() < 0.2+0.6*float64(target)/9 {
				return 2
			}
			return 1
		}
		for range 30 {
			s.run(1)
			wrong += len(s.r.Speeds(s.now))
		}
	}
	t.Logf("%d wrong of %d", wrong, 50*30*10)
	is.True(wrong <= 50*30*10/100)
}

// Load pattern: targets have speeds of 0.55 and 1.2 by nature. The slow ones get no more new
// flows than the fast ones, and none of the fast ones loses any.
func TestTargetsOfTwoSpeeds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		s := newService(seed, 10, 15)
		fast, slow := 0.0, 0.0
		for n := range s.slowdown {
			s.slowdown[n] = 1 / 1.2
			if n%2 == 0 {
				s.slowdown[n] = 1 / 0.55
			}
		}
		s.run(20)
		for n := range s.slowdown {
			if n%2 == 0 {
				slow += s.share(n) / 5
			} else {
				fast += s.share(n) / 5
			}
		}
		is.True(fast >= slow-0.01)
		is.True(slow >= 0.4)
	}
}

// Few samples don't show that a target is slow, and a target without requests, or reused by
// another service, has speed 1 again.
func TestWithoutEvidenceSpeedIsOne(t *testing.T) {
	is := is.New(t)
	s := newService(1, 5, 20)
	s.run(10)
	few := rater.Sample{Target: 9, Service: "desk", Begun: 1, Answered: 1, Timed: 1, Time: time.Second}
	s.r.Record(s.now, []rater.Sample{few, {Target: 8, Service: "desk", Begun: -1}})
	is.Equal(len(s.r.Speeds(s.now)), 0)
	s.slowdown[0] = 6
	s.run(5)
	is.True(s.speed(0) < 0.4)
	before := s.r.Speeds(s.now)[0]
	s.r.Record(s.now, nil)
	is.True(s.speed(0) <= before*rater.MaxRise)
	s.r.Record(s.now, []rater.Sample{{Target: 0, Service: "holds", Begun: 1}})
	is.Equal(s.speed(0), 1.0)
	s.now = s.now.Add(time.Minute)
	is.Equal(len(s.r.Speeds(s.now)), 0)
}

// Load pattern: requests take 2 s, and one target gets four times as many as before. Those that
// are under way don't make it look as if it hung.
func TestLongRequestsAreNotHanging(t *testing.T) {
	is := is.New(t)
	var r rater.Rater
	for window := range 20 {
		var samples []rater.Sample
		for target := range 4 {
			begun, answered := 5, 5
			if target == 0 && window >= 10 {
				begun = 20
			}
			if target == 0 && window >= 12 {
				answered = 20
			}
			samples = append(samples, rater.Sample{
				Target: uint64(target), Service: "desk", Begun: begun, Answered: answered,
				Timed: answered, Time: time.Duration(answered) * 2 * time.Second,
			})
		}
		now := start.Add(time.Duration(window) * time.Second)
		r.Record(now, samples)
		is.Equal(len(r.Speeds(now)), 0)
	}
}

// Whatever is reported, also numbers that can't be, a speed stays in its range and changes by no
// more than its bounds in a window, and only targets that were reported have one.
func TestSpeedsChangeInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r rater.Rater
		before := make(map[uint64]float64)
		count := rapid.IntRange(-1, 50)
		for window := range rapid.IntRange(1, 40).Draw(t, "windows") {
			var samples []rater.Sample
			for target := range uint64(6) {
				samples = append(samples, rater.Sample{
					Target: target, Service: "desk", Begun: count.Draw(t, "begun"), Answered: count.Draw(t, "answered"),
					Timed: count.Draw(t, "timed"), Time: time.Duration(rapid.Int64Range(-1, math.MaxInt64).Draw(t, "time")),
				})
			}
			now := start.Add(time.Duration(window) * time.Second)
			r.Record(now, samples)
			speeds := r.Speeds(now)
			for target := range uint64(6) {
				speed, slow := speeds[target]
				if !slow {
					speed = 1
				} else if !(speed >= rater.MinSpeed && speed < 1) {
					t.Fatalf("speed %v", speed)
				}
				was := 1.0
				if b, known := before[target]; known {
					was = b
				}
				// A speed of 0.9 or more counts as 1.
				if speed < was*rater.MaxFall || speed > was*rater.MaxRise/0.9 {
					t.Fatalf("speed went from %v to %v in a window", was, speed)
				}
				before[target] = speed
			}
			if len(speeds) > 6 {
				t.Fatal("unknown targets")
			}
		}
		if n := len(r.Speeds(start.Add(time.Hour))); n > 0 {
			t.Fatalf("%d targets weren't forgotten", n)
		}
	})
}
