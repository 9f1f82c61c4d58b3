// Package rater finds how fast targets are in relation to the other targets of their
// service, from the times in which they answer.
package rater

import "time"

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
type Rater struct{}

// Record adds the samples of a window that ended at now. Each target occurs once at most.
func (r *Rater) Record(_ time.Time, _ []Sample) {}

// Speeds returns the speeds of targets by their ID, for the targets that don't have speed
// 1. A speed is greater than 0 and at most 1.
func (r *Rater) Speeds(_ time.Time) map[uint64]float64 { return nil }
