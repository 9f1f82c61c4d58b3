package rater_test

import (
	"math"
	"math/rand/v2"
	"time"

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
