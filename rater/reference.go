package rater

import "slices"

// maxReferenceRise and maxReferenceFall bound the factor by which the usual time changes in a
// window, so that a change of few targets isn't taken for one of the service.
const (
	maxReferenceRise = 1.1
	maxReferenceFall = 0.8
)

// reference is what is usual for a service.
type reference struct {
	// time is the usual time per request, in seconds, and answered the usual part of the
	// requests that is answered. Both are 0 if nothing is known.
	time     float64
	answered float64
}

// update sets the reference to the upper median over the targets with evidence. Targets that
// are rated slow count only if they are the majority.
//
// Load patterns: a target fails everything at once and answers fast, also if it is one of two
// targets; some targets of a service get slow; and all of them get slow together.
func (ref *reference) update(targets []*rating) {
	var parts []float64
	timed, above := 0, 0
	for _, t := range targets {
		if t.begun >= 1 {
			parts = append(parts, min(t.answered/t.begun, 1))
		}
		if t.timed < minTimed {
			continue
		}
		timed++
		if t.mean() > severalTimes*ref.time {
			above++
		}
	}
	ref.answered = upperMedian(parts)
	if timed == 0 {
		return
	}
	if 2*above > timed {
		for _, t := range targets {
			t.forgetLong()
		}
		ref.time = usualTime(targets)
		return
	}
	ref.time = min(max(usualTime(targets), maxReferenceFall*ref.time), maxReferenceRise*ref.time)
}

// usualTime returns the upper median of the targets' times per request.
func usualTime(targets []*rating) float64 {
	var all, steady []float64
	for _, t := range targets {
		if t.timed < minTimed {
			continue
		}
		mean := t.longTime / t.longTimed
		all = append(all, mean)
		if t.speed == 1 {
			steady = append(steady, mean)
		}
	}
	if 2*len(steady) < len(all) {
		steady = all
	}
	return upperMedian(steady)
}

// upperMedian returns the median of the values, the upper one if there are two, and 0 if there
// are no values.
func upperMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
