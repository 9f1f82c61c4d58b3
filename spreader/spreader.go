// Package spreader decides which part of an availability zone's new flows leaves the zone,
// and for which zones.
//
// A request is answered sooner in another zone if the wait for a slot at home exceeds the
// wait there plus the way. A slot is a target's capacity for one request at a time. A
// Planner compares these times for all zones at once, from their demand and their room, so
// that zones that send flows away at the same time share the room of the others. It changes
// its decision in bounded steps.
//
// # Usage
//
//	var planner spreader.Planner
//	share := planner.Update(now, spreader.Load{Own: "a", Goal: goal, Zones: zones})
//	if !share.Known {
//		return // decide without a plan
//	}
//	zone := share.Zone(position) // position is the flow's hash, from 0 to 1
//
// A Planner reads no clock. It is not safe for concurrent use, and its zero value is ready.
package spreader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Zone is the load of one service in one availability zone.
type Zone struct {
	Name string
	// Reported reports whether the balancers of the zone reported its demand. Requests is
	// the rate at which the zone's callers begin requests, Answered the rate at which these
	// are answered, per second. Concurrency is the mean number that waits for an answer.
	Reported    bool
	Requests    float64
	Answered    float64
	Concurrency float64
	// Slots is how many requests the zone's targets that are ready for any flow can work on
	// at a time, and Targets the number of these targets.
	Slots   float64
	Targets int
	// Distance is the round-trip time from the own zone, 0 if it isn't known.
	Distance time.Duration
}

// Load is the load of one service in all zones that its flows may go to.
type Load struct {
	// Own is the name of the own zone.
	Own string
	// Goal is the time within which callers want an answer, 0 if they don't say.
	Goal time.Duration
	// Path is the mean time that packets travel for a request, which is part of the time that
	// requests wait for their answers. It is 0 if it isn't known.
	Path  time.Duration
	Zones []Zone
}

// Part is the part of a zone's new flows that goes to one other zone, from 0 to 1.
type Part struct {
	Zone string
	Part float64
}

// Share is the decision for the new flows of the own zone.
type Share struct {
	// Known is false if the load isn't known well enough for a decision.
	Known bool
	// Away holds the parts that go to other zones. What is left stays.
	Away []Part
}

// Home returns the part of new flows that stays in the own zone, from 0 to 1.
func (s *Share) Home() float64 {
	home := 1.0
	for _, p := range s.Away {
		home -= p.Part
	}
	return max(home, 0)
}

// Index returns the index in Away of the part that a flow belongs to by its position from 0
// to 1, or -1 if the flow stays in the own zone. A flow that stays at one size of Home also
// stays at any larger one.
func (s *Share) Index(position float64) int {
	end := 1.0
	for i, p := range s.Away {
		if end -= p.Part; position >= end {
			return i
		}
	}
	return -1
}

// Part returns the part of the own zone's new flows that goes to a zone, from 0 to 1.
func (s *Share) Part(own, zone string) float64 {
	if zone == own {
		return s.Home()
	}
	for _, p := range s.Away {
		if p.Zone == zone {
			return p.Part
		}
	}
	return 0
}

const (
	// minAnswered is the rate of answers, per second, from which on a zone's mean time is
	// used. The mean of 20 times is off by a fifth if they are distributed exponentially.
	minAnswered = 20
	// maxTimeRise is how much the estimate of the time per request rises in a second, in
	// relation to itself. In a burst of 6 times, requests wait in all zones within a second,
	// and their times don't show how long targets work on them.
	maxTimeRise = 0.1
	// timeSmoothing is the weight of a smaller sample in the estimate.
	timeSmoothing = 0.5
	// minPart is the least difference from the plan at which the part that leaves changes,
	// from 0 to 1. It then differs by half as much, so that a plan that varies by up to 1.5
	// times minPart changes nothing. Zones with 1,000 requests a second measure their demand
	// to 0.03.
	minPart = 0.05
	// maxStep is how much the part that leaves changes in a second. The demand is a second
	// old.
	maxStep = 0.25
	// endAfter is how long no flow needs to leave before none does. It keeps a zone at the
	// edge of its room from beginning and ending to send flows away each second.
	endAfter = 5 * time.Second
	// reportTTL is how long the last report of a zone is used that is missing since. Each
	// second without one would otherwise count as a change of the zone's demand.
	reportTTL = 4 * time.Second
	// maxElapsed bounds the time that a step is computed for.
	maxElapsed = 2 * time.Second
)

// Planner decides for one service, one time after another.
//
// Load patterns: nine tenths of the callers open flows in one zone; all callers of an
// evacuated zone go to the others in a burst; a burst reaches all zones at once, so that
// leaving them gains nothing.
type Planner struct {
	updatedAt time.Time
	// time estimates how long a target works on a request, in seconds. It is 0 if it isn't
	// known.
	time float64
	// part is the part that leaves, and away its distribution over other zones.
	part float64
	away []Part
	// neededAt is when the plan last let flows leave.
	neededAt time.Time
	// crowded reports whether there was too little room in all zones together.
	crowded bool
	// reports holds the last report of each zone, and when it was the current one.
	reports map[string]report
}

type report struct {
	zone Zone
	at   time.Time
}

// ServiceTime returns the estimate of how long a target works on a request, 0 if it isn't
// known.
func (p *Planner) ServiceTime() time.Duration {
	return time.Duration(p.time * float64(time.Second))
}

// Crowded reports whether there is no plan because as many requests wait in all zones together
// as there are slots.
func (p *Planner) Crowded() bool { return p.crowded }

// Update returns the decision for the load. It must be called about once a second.
func (p *Planner) Update(now time.Time, l Load) Share {
	first := p.updatedAt.IsZero()
	elapsed := min(max(now.Sub(p.updatedAt), 0), maxElapsed).Seconds()
	if first {
		elapsed = time.Second.Seconds()
	}
	p.updatedAt = now
	zones, own := sanitize(l)
	p.recall(now, zones)
	p.forget(zones)
	p.estimateTime(elapsed, l.Path, zones)
	p.crowded = isCrowded(zones, l.Path, p.crowded)
	if own < 0 || !zones[own].Reported || p.time == 0 || p.crowded {
		p.part = 0
		return Share{}
	}
	plan := plan(zones, own, p.time, price(l.Goal))
	wanted := 0.0
	for _, part := range plan {
		wanted += part.Part
	}
	if wanted > 0 {
		p.neededAt, p.away = now, scale(plan, 1/wanted)
	}
	p.approach(now, wanted, elapsed, zones[own].Slots == 0)
	return Share{Known: true, Away: scale(p.away, p.part)}
}

const (
	// crowdedUse is the number of requests waiting for answers, in relation to all slots,
	// from which on the zones are crowded. They are until it falls below relievedUse.
	crowdedUse  = 1.0
	relievedUse = 0.7
)

// isCrowded reports whether as many requests wait for answers in all zones together as there
// are slots. Full targets reject requests then, and a rejection can't be told from an answer,
// so neither the time per request nor the room of a zone is known.
//
// Load pattern: all callers ask for several times as much. Each zone would keep the excess of
// its own callers, since leaving seems not to pay, and zones would be served unequally.
func isCrowded(zones []Zone, path time.Duration, before bool) bool {
	waiting, slots := 0.0, 0.0
	for _, z := range zones {
		slots += z.Slots
		if z.Reported {
			waiting += max(z.Concurrency-z.Requests*path.Seconds(), 0)
		}
	}
	if before {
		return waiting > relievedUse*slots
	}
	return waiting > 0 && waiting >= crowdedUse*slots
}

// recall completes the zones without a report by their last one, if that isn't too old.
func (p *Planner) recall(now time.Time, zones []Zone) {
	if p.reports == nil {
		p.reports = make(map[string]report)
	}
	maps.DeleteFunc(p.reports, func(_ string, r report) bool { return now.Sub(r.at) > reportTTL })
	for i := range zones {
		z := &zones[i]
		if z.Reported {
			p.reports[z.Name] = report{zone: *z, at: now}
		} else if last, known := p.reports[z.Name]; known {
			z.Reported, z.Requests, z.Answered, z.Concurrency = true, last.zone.Requests, last.zone.Answered, last.zone.Concurrency
			z.Distance = cmp.Or(z.Distance, last.zone.Distance)
		}
	}
}

// forget ends the parts of zones that the flows may no longer go to, such as those of other
// regions once the own region has targets again.
func (p *Planner) forget(zones []Zone) {
	left := 0.0
	var away []Part
	for _, part := range p.away {
		if slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == part.Zone }) {
			away = append(away, part)
			left += part.Part
		}
	}
	if len(away) == len(p.away) {
		return
	}
	p.part *= left
	p.away = nil
	if left > 0 {
		p.away = scale(away, 1/left)
	}
}

// approach moves the part that leaves towards the planned one.
func (p *Planner) approach(now time.Time, wanted, elapsed float64, atOnce bool) {
	over := now.Sub(p.neededAt) >= endAfter
	if wanted == 0 && !over {
		wanted = min(minPart, p.part)
	}
	change := wanted - p.part
	switch {
	case atOnce:
		p.part = wanted
	case wanted == 0 && over:
		p.part = max(0, p.part-maxStep*elapsed)
	case math.Abs(change) >= minPart:
		change -= math.Copysign(minPart/2, change)
		p.part += min(max(change, -maxStep*elapsed), maxStep*elapsed)
	}
}

// scale multiplies all parts by a factor, and leaves out those that are 0 then.
func scale(parts []Part, factor float64) []Part {
	var scaled []Part
	for _, p := range parts {
		if p.Part *= factor; p.Part > 0 {
			scaled = append(scaled, p)
		}
	}
	return scaled
}
