package rater_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/rater"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// service is a service whose callers send each target the requests that its speed deserves.
type service struct {
	r      rater.Rater
	random *rand.Rand
	now    time.Time
	// perSecond is the mean number of requests a second for each target.
	perSecond float64
	// slowdown holds the factor of each target's time per request, and hanging the targets
	// that answer nothing. work returns the work of a request to a target.
	slowdown []float64
	hanging  map[int]bool
	work     func(target int) float64
}

func newService(seed uint64, targets int, perSecond float64) *service {
	s := &service{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, perSecond: perSecond,
		slowdown: make([]float64, targets), hanging: make(map[int]bool),
		work: func(int) float64 { return 1 },
	}
	for n := range s.slowdown {
		s.slowdown[n] = 1
	}
	return s
}

// speed returns the speed of a target.
func (s *service) speed(target int) float64 {
	if speed, slow := s.r.Speeds(s.now)[uint64(target)]; slow {
		return speed
	}
	return 1
}

// share returns the share of new flows of a target, relative to an even share.
func (s *service) share(target int) float64 {
	total := 0.0
	for n := range s.slowdown {
		total += s.speed(n)
	}
	return s.speed(target) * float64(len(s.slowdown)) / total
}

// run sends requests for some windows.
func (s *service) run(windows int) {
	for range windows {
		var samples []rater.Sample
		for n := range s.slowdown {
			sample := rater.Sample{Target: uint64(n), Service: "desk"}
			sample.Begun = s.poisson(s.perSecond * s.share(n))
			for range sample.Begun {
				if !s.hanging[n] {
					sample.Answered++
					sample.Timed++
					sample.Time += s.requestTime(n)
				}
			}
			samples = append(samples, sample)
		}
		s.now = s.now.Add(time.Second)
		s.r.Record(s.now, samples)
	}
}

// requestTime returns the time of a request: 50 ms with a spread of 0.5, and 7 times as much
// for 3% of the requests.
func (s *service) requestTime(target int) time.Duration {
	t := 0.05 * s.slowdown[target] * s.work(target) * math.Exp(0.5*s.random.NormFloat64())
	if s.random.Float64() < 0.03 {
		t *= 7
	}
	return time.Duration(t * float64(time.Second))
}

func (s *service) poisson(mean float64) int {
	n := 0
	for at := s.random.ExpFloat64(); at < mean; at += s.random.ExpFloat64() {
		n++
	}
	return n
}

// Load pattern: three tenths of the targets get 6 times as slow. Within two windows they get at
// most 0.4 of their even share, in the mean over the targets, and the others' load rises in
// proportion. They get their share back a few seconds after they have recovered.
func TestSlowTargetsLoseNewFlowsAndGetThemBack(t *testing.T) {
	for _, perSecond := range []float64{10, 20} {
		is := is.New(t)
		shares, recovered := 0.0, 0.0
		const histories = 50
		for seed := range uint64(histories) {
			s := newService(seed, 20, perSecond)
			s.run(10)
			for n := range 6 {
				s.slowdown[n] = 6
			}
			s.run(2)
			for n := range 6 {
				shares += s.share(n) / (6 * histories)
			}
			for n := 6; n < 20; n++ {
				is.True(s.share(n) <= 20.0/14+0.01)
			}
			s.run(10)
			for n := range 6 {
				s.slowdown[n] = 1
			}
			s.run(5)
			for n := range 6 {
				recovered += s.share(n) / (6 * histories)
			}
		}
		t.Logf("%v requests a second: %.3f of the even share after two windows, %.3f five after the recovery", perSecond, shares, recovered)
		is.True(shares <= 0.4)
		is.True(recovered >= 0.8)
	}
}

// A target that slows five times loses most of its new flows within two windows.
func TestOneSlowTargetLosesMostNewFlows(t *testing.T) {
	for _, perSecond := range []float64{5, 10, 20} {
		is := is.New(t)
		lost := 0
		for seed := range uint64(200) {
			s := newService(seed, 10, perSecond)
			s.run(10)
			s.slowdown[0] = 5
			s.run(2)
			if s.share(0) < 0.5 {
				lost++
			}
		}
		t.Logf("%v requests a second: %d of 200 lost most flows", perSecond, lost)
		is.True(lost >= 160)
	}
}

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

// Load pattern: a target fails everything at once, 20 times as fast. It gets no more than its
// slots, and the others keep speed 1, also if there is only one other.
func TestFastFailingTargetAttractsNothing(t *testing.T) {
	is := is.New(t)
	for _, targets := range []int{2, 3, 10} {
		s := newService(1, targets, 20)
		s.run(10)
		s.slowdown[0] = 0.05
		for range 60 {
			s.run(1)
			is.Equal(len(s.r.Speeds(s.now)), 0)
		}
	}
}

// Load pattern: a target hangs. No answer is needed to see it, and it stays slow until it
// answers.
func TestHangingTargetLosesNewFlows(t *testing.T) {
	is := is.New(t)
	for _, targets := range []int{2, 10} {
		s := newService(1, targets, 10)
		s.run(10)
		s.hanging[0] = true
		s.run(2)
		is.True(s.speed(0) <= 0.4)
		s.run(30)
		is.True(s.speed(0) <= 0.4)
		s.hanging[0] = false
		s.run(6)
		is.True(s.speed(0) >= 0.8)
	}
}

// Load pattern: one of two targets slows, then the other, too. Both slow are as good as both
// fast.
func TestServiceWithTwoTargets(t *testing.T) {
	is := is.New(t)
	s := newService(1, 2, 20)
	s.run(10)
	s.slowdown[0] = 6
	s.run(20)
	is.True(s.speed(0) < 0.4)
	is.Equal(s.speed(1), 1.0)
	s.slowdown[1] = 6
	s.run(20)
	is.Equal(s.speed(0), 1.0)
	is.Equal(s.speed(1), 1.0)
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
