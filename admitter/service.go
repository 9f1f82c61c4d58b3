package admitter

import (
	"math"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// maxQueue is how many requests may wait for each slot before flows are turned away.
	// Targets queue a few requests only and fail the rest, so a longer queue would never
	// be seen. With flows placed by hash, about as many wait when targets are used to 0.95.
	maxQueue = 1.4
	// minQueue is how many requests may wait for each slot with any goal. Flows are placed by
	// hash, so some targets have room while as many requests wait as there are slots.
	minQueue = 0.25
	// maxWaitPart is the part of the callers' goal that requests may spend waiting for a
	// slot. The rest is left for the work, the network and retransmissions.
	maxWaitPart = 0.25
	// estimatedMargin is by how much more than usual must wait and be wanted if the demand is
	// extrapolated from what one balancer sees.
	estimatedMargin = 1.5
	// minWork is the part of the slots that the work of all requests must fill before
	// flows are turned away. Requests that wait for targets that died don't fill slots. With
	// half of the slots, an overload is also found if registrations state twice the slots.
	minWork = 0.5
	// idlePart is the part of the slots that the waiting requests may fill while the time
	// that they take is taken as the time for the work alone.
	idlePart = 0.7
	// roomPart is the room that is given first, in relation to the slots. It is above 1, since
	// what full targets fail is tried again on others and costs no work, while slots without a
	// request are lost.
	roomPart = 1.3
	// explainedWork is the work, in relation to the slots, that makes as many requests wait as
	// the bound.
	explainedWork = 0.9
	// minShare is the part of the room that each class gets, so that its cost remains
	// measurable.
	minShare = 0.01

	// firstReduction is the factor by which the correction falls at first, and
	// furtherReduction is by how much less the factor is for each further fall in a row, down
	// to maxReduction. slowRise is the factor by which it rises while few requests wait,
	// cautiousRise that while more than nearBound of the bound wait, and fastRise that while
	// targets are idle, until the correction is 1. With fastRise, a fall to a half in error is
	// made up for in two seconds.
	firstReduction   = 0.9
	furtherReduction = 0.15
	maxReduction     = 0.6
	// effective is the part of the waiting requests below which they have fallen because of
	// a reduction.
	effective = 0.95

	cautiousRise = 1.02
	nearBound    = 0.75
	slowRise     = 1.15
	fastRise     = 1.5
	// minCorrection and maxCorrection bound the correction: registrations may overstate
	// or understate what targets can do by a factor of ten or three.
	minCorrection = 0.1
	maxCorrection = 3
	// settleObservations is how many observations after a reduction are left out, since
	// they lag by a second and don't show its effect.
	settleObservations = 2
	// costSmoothing is the weight of the newest sample of a class's cost. slowSmoothing is
	// that of a sample of the work time that is above the known one: while targets die,
	// requests wait in vain for seconds, and that time isn't work.
	costSmoothing = 0.3
	slowSmoothing = 0.05
)

// service is the state of one service.
type service struct {
	observedAt time.Time
	limited    bool
	// correction is the ratio between what the targets turned out to be capable of and what
	// their registrations state. settle is how many observations are still left out.
	correction float64
	settle     int
	// reductions is the number of falls of the correction in a row.
	// reducedAt is how many requests waited at the last of them.
	reductions int
	reducedAt  float64
	// wanted, room, waiting and bound are those of State, for all classes.
	wanted, room, waiting, bound float64
}

// class is the state of one class.
type class struct {
	demand aggregator.Demand
	// workTime is the time in seconds that a target works on a request, without the time
	// that the request waits for a slot. It is 0 while it isn't known. crowding is how many
	// requests waited for each slot when the time was learned, if more than idlePart.
	workTime float64
	crowding float64
	// requests is how many requests callers begin for each flow.
	requests float64
	wanted   float64
	fraction float64
	callers  callers
}

// observe updates the fractions of the classes, which are sorted by urgency.
//
// Load patterns: callers of one class open ten times as many flows as usual; all callers do;
// targets can do less than they registered.
func (s *service) observe(o Observation, classes []*class) {
	slots := o.Slots + coldSlots(o, classes)
	s.waiting, s.wanted = 0, 0
	for _, c := range classes {
		s.waiting += c.demand.Concurrency
	}
	work, workTime := 0.0, 0.0
	for _, c := range classes {
		c.learn(s.waiting, slots)
		s.wanted += c.wanted
		work += c.demand.Requests * c.workTime
		workTime = max(workTime, c.workTime)
	}
	s.bound = slots * (1 + queuePart(o.Goal, workTime))
	if o.Estimated {
		s.bound *= estimatedMargin
	}
	room := roomPart * slots * s.correction
	if o.Estimated {
		room *= estimatedMargin
	}
	crowded := s.waiting > s.bound && work >= minWork*slots
	switch {
	case slots <= 0, s.limited && s.wanted <= room && s.waiting <= s.bound:
		s.limited = false
	case !s.limited && crowded && s.wanted > room:
		s.limited, s.settle = true, settleObservations
	case o.Estimated:
		// One balancer sees too few answers to correct the room by them, and balancers that
		// each corrected it would admit different parts.
	default:
		before := s.correction
		s.adjust(slots, work, crowded)
		room *= s.correction / before
	}
	s.room = room
	s.divide(classes)
}

// coldSlots returns how many slots of targets that are warming up their new flows can fill.
func coldSlots(o Observation, classes []*class) float64 {
	openings, filled := 0.0, 0.0
	for _, c := range classes {
		openings += c.demand.Openings
		filled += c.demand.Openings * c.requests * c.workTime
	}
	if filled <= 0 {
		return o.ColdSlots
	}
	return min(o.ColdSlots, o.ColdOpenings*filled/openings)
}

// change returns the change to the present state.
func (s *service) change(name string) Change {
	return Change{Service: name, Began: s.limited, Wanted: s.wanted, Room: s.room, Waiting: s.waiting, Bound: s.bound}
}

// queuePart returns how many requests may wait for each slot.
func queuePart(goal time.Duration, workTime float64) float64 {
	if goal <= 0 || workTime <= 0 {
		return maxQueue
	}
	return max(min(maxQueue, maxWaitPart*goal.Seconds()/workTime), minQueue)
}

// adjust adapts the correction to what the last room led to. The queues of targets fill
// within milliseconds, and observations lag by a second, so the correction isn't made in
// proportion to the queue: it moves by limited steps, and waits for the effect of each
// reduction.
func (s *service) adjust(slots, work float64, crowded bool) {
	switch {
	case s.settle > 0:
		s.settle--
	case crowded && !s.limited && work >= explainedWork*slots*s.correction:
		// So much work makes as many requests wait without any error in the correction.
	case crowded:
		s.reduce()
		return
	case !s.limited:
		s.correction += (1 - s.correction) * costSmoothing
	case s.waiting < idlePart*slots && s.correction < 1:
		s.correction = min(s.correction*fastRise, 1)
	case s.waiting < nearBound*s.bound:
		s.correction *= slowRise
	case s.waiting <= s.bound:
		s.correction *= cautiousRise
	}
	s.correction = min(s.correction, maxCorrection)
	if s.settle == 0 && !crowded {
		s.reductions, s.reducedAt = 0, 0
	}
}

// reduce lowers the correction: by what the requests that wait call for if the reduction
// before had an effect, else by more each time.
func (s *service) reduce() {
	factor := max(firstReduction-furtherReduction*float64(s.reductions), maxReduction)
	s.reductions++
	if s.waiting < effective*s.reducedAt {
		factor = max(firstReduction, math.Sqrt(s.bound/s.waiting))
		s.reductions = 1
	}
	s.correction = max(s.correction*factor, minCorrection)
	s.reducedAt, s.settle = s.waiting, settleObservations
}

// divide gives each class its part of the room, the most urgent first.
func (s *service) divide(classes []*class) {
	left := s.room
	for _, c := range classes {
		c.fraction = 1
		if s.limited && c.wanted > left {
			c.fraction = min(max(left, minShare*s.room)/c.wanted, 1)
		}
		left = max(left-c.wanted*c.fraction, 0)
	}
}

// learn updates what the class's requests cost and how much room they want. The answers of
// an overloaded target include many quick rejections, so the time for the work is learned
// only while few requests wait, and applied to the requests that begin.
func (c *class) learn(waiting, slots float64) {
	d := c.demand
	if d.Requests > 0 && d.Concurrency > 0 && slots > 0 {
		// Balancers don't see all answers, but the requests of a quiet time are all answered.
		c.learnWorkTime(d.Concurrency/d.Requests, waiting/slots)
	}
	admitted := d.Openings - d.Rejected
	if d.Rejected <= 0 {
		// Flows may be open that began earlier, so the present requests tell more than the
		// flows that begin.
		c.wanted = d.Requests * c.workTime
		if admitted > 0 {
			c.learnRequests(d.Requests / admitted)
		}
		return
	}
	if c.requests == 0 && admitted > 0 {
		c.learnRequests(d.Requests / admitted)
	}
	c.wanted = d.Openings * c.requests * c.workTime
}

// learnWorkTime learns from the mean time of answers while so many requests waited for each
// slot. A sample doesn't count if it was taken while more of them waited than for the known
// time.
func (c *class) learnWorkTime(sample, crowding float64) {
	crowding = max(crowding, idlePart)
	switch {
	case c.workTime == 0 || crowding < c.crowding:
		c.workTime, c.crowding = sample/max(crowding, 1), crowding
	case crowding > c.crowding:
	case sample < c.workTime:
		c.workTime += (sample - c.workTime) * costSmoothing
	default:
		c.workTime += (sample - c.workTime) * slowSmoothing
	}
}

func (c *class) learnRequests(sample float64) {
	if c.requests == 0 {
		c.requests = sample
		return
	}
	c.requests += (sample - c.requests) * costSmoothing
}

// sanitize replaces impossible numbers by 0.
func sanitize(d aggregator.Demand) aggregator.Demand {
	for _, n := range []*float64{&d.Openings, &d.Rejected, &d.Requests, &d.Answered, &d.Concurrency} {
		if math.IsNaN(*n) || math.IsInf(*n, 0) || *n < 0 {
			*n = 0
		}
	}
	d.Rejected = min(d.Rejected, d.Openings)
	return d
}
