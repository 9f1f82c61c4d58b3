package spreader

import (
	"math"
	"slices"
	"time"
)

const (
	// maxUse is the use of slots up to which the waiting time follows the approximation.
	// The time grows along its tangent from there, since no time is stationary at a use of 1.
	maxUse = 0.98
	// minPerTarget is the least number of slots per target that waits are computed for.
	// Slow targets count for less than one slot, and requests still wait for a whole one.
	minPerTarget = 1
	// useIterations halve the range of the use to about a millionth.
	useIterations = 20
	// maxUseBound bounds the use of slots, also along the tangent.
	maxUseBound = 1000
	// minWorkPart is the least part of a request's time that counts as a target's work,
	// however long the path is.
	minWorkPart = 0.1
)

// wait returns how long a request waits for one of a target's slots at a use of the slots
// greater than 0, in relation to the time that the target works on it. It is Sakasegawa's
// approximation for M/M/c.
func wait(use, slots float64) float64 {
	exponent := math.Sqrt(2*(slots+1)) - 1
	at := min(use, maxUse)
	w := math.Pow(at, exponent) / (slots * (1 - at))
	if use > maxUse {
		w += (use - maxUse) * w * (exponent/at + 1/(1-at))
	}
	return w
}

// useAt returns the use of a target's slots at which requests wait for the given time, in
// relation to the time that the target works on them. It is the inverse of wait.
func useAt(w, slots float64) float64 {
	low, high := 0.0, float64(maxUseBound)
	if wait(maxUse, slots) >= w {
		high = maxUse
	}
	for range useIterations {
		if middle := (low + high) / 2; wait(middle, slots) < w {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// estimateTime updates the time that a target works on a request by what the zones report.
// The second smallest of their times is used: one zone that reports too short a time doesn't
// move the estimate, and neither do zones whose requests wait.
func (p *Planner) estimateTime(elapsed float64, path time.Duration, zones []Zone) {
	var times []float64
	for _, z := range zones {
		if z.Reported && z.Answered >= minAnswered && z.Concurrency > 0 {
			times = append(times, z.Concurrency/z.Answered)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	sample := times[0]
	if len(times) > 2 {
		sample = times[1]
	}
	sample = max(sample-path.Seconds(), sample*minWorkPart)
	switch {
	case p.time == 0:
		p.time = sample
	case sample < p.time:
		p.time += timeSmoothing * (sample - p.time)
	default:
		p.time = min(sample, p.time*(1+maxTimeRise*elapsed))
	}
}
