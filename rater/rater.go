// Package rater finds how fast targets are in relation to the other targets of their
// service, from the times in which they answer.
//
// A target's time per request is compared with the median over its service. A target is
// rated slow only if chance doesn't explain the difference, and an excess of requests that
// it leaves unanswered counts like slowness. A slow target keeps a least speed, so that a few
// new flows show when it has recovered. A target that answers fast has speed 1, like all
// targets without evidence.
//
// # Usage
//
//	var r rater.Rater
//	r.Record(now, samples) // once a second
//	speeds := r.Speeds(now)
//
// A Rater reads no clock and is not safe for concurrent use.
package rater

import (
	"maps"
	"slices"
	"time"
)

const (
	// MinSpeed is the least speed. With 10 requests a second for each target, a slow target
	// gets a new one each second.
	MinSpeed = 0.1
	// MaxFall bounds the factor by which a speed falls in a window, so that the load of the
	// other targets changes in steps. Callers leave a slow target within two windows.
	MaxFall = 0.25
	// MaxRise bounds the factor by which a speed rises in a window. Callers return within a
	// few seconds.
	MaxRise = 2.0
	// forgetAfter is the time without samples after which a target is forgotten.
	forgetAfter = 30 * time.Second
)

// Sample is what was observed of one target in one window of time.
type Sample struct {
	// Target is the target's ID.
	Target  uint64
	Service string
	// Begun is the number of requests that began, and Answered the number that were
	// answered.
	Begun    int
	Answered int
	// Timed is the number of answers whose time is known, and Time the sum of these times.
	Timed int
	Time  time.Duration
}

// Rater rates targets. The zero Rater has observed nothing.
type Rater struct {
	targets  map[uint64]*rating
	services map[string]*reference
}

// Record adds the samples of a window that ended at now. Each target occurs once at most.
// Samples with negative numbers are ignored.
func (r *Rater) Record(now time.Time, samples []Sample) {
	if r.targets == nil {
		r.targets, r.services = make(map[uint64]*rating), make(map[string]*reference)
	}
	for _, t := range r.targets {
		t.age()
	}
	for _, s := range samples {
		if s.Begun < 0 || s.Answered < 0 || s.Timed < 0 || s.Time < 0 || s.Begun+s.Answered == 0 {
			continue
		}
		t := r.targets[s.Target]
		if t == nil || t.service != s.Service {
			t = &rating{service: s.Service, speed: 1}
			r.targets[s.Target] = t
		}
		t.add(now, s)
	}
	maps.DeleteFunc(r.targets, func(_ uint64, t *rating) bool { return now.Sub(t.sampledAt) >= forgetAfter })
	r.rate()
}

// rate compares the targets of each service.
func (r *Rater) rate() {
	byService := make(map[string][]*rating)
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[id]
		byService[t.service] = append(byService[t.service], t)
	}
	for service, targets := range byService {
		ref := r.services[service]
		if ref == nil {
			ref = &reference{}
			r.services[service] = ref
		}
		ref.update(targets)
		for _, t := range targets {
			t.rate(*ref)
		}
	}
	maps.DeleteFunc(r.services, func(service string, _ *reference) bool { return byService[service] == nil })
}

// Speeds returns the speeds of targets by their ID, for the targets that don't have speed
// 1. A speed is at least MinSpeed and less than 1. Targets whose last sample is at least 30
// seconds old are left out.
func (r *Rater) Speeds(now time.Time) map[uint64]float64 {
	speeds := make(map[uint64]float64)
	for id, t := range r.targets {
		if t.speed < 1 && now.Sub(t.sampledAt) < forgetAfter {
			speeds[id] = t.speed
		}
	}
	return speeds
}
