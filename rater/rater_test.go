package rater_test

import (
	"testing"

	"github.com/matryer/is"
)

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
