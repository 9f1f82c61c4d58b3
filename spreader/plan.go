package spreader

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxLocalUse is the part of the slots in a zone that the requests of the zone's callers
	// may occupy before some of their flows go to other zones. With three slots per target
	// and half of them in use, one request in four waits, for 10 ms on average if a target
	// works on each for 50 ms.
	MaxLocalUse = 0.5
	// defaultGoal is the time within which callers want an answer if they don't say.
	defaultGoal = 250 * time.Millisecond
	// priceDivisor is the part of the goal that a request may wait longer at home before the
	// bytes between zones are worth it. Callers don't notice a twentieth of their goal.
	priceDivisor = 20
	// levelIterations halve the range of the level to less than a billionth.
	levelIterations = 32
)

// price returns the price of the bytes between zones, in seconds of waiting.
func price(goal time.Duration) float64 {
	if goal <= 0 {
		goal = defaultGoal
	}
	return (goal / priceDivisor).Seconds()
}

// load is the load of one zone in slots, and the way to it in seconds.
type load struct {
	demand, slots, perTarget, distance float64
}

// plan returns the parts of the own zone's demand that go to other zones, from the time that
// a target works on a request and the price of the bytes, both in seconds.
func plan(zones []Zone, own int, service, price float64) []Part {
	loads := loadsOf(zones, service)
	empty := loads[own].slots == 0
	if loads[own].demand == 0 {
		if !empty {
			return nil
		}
		// A flow that comes anyway goes where there are slots.
		loads[own].demand = 1
	}
	level := balance(loads, own, service, price)
	sent := sending(loads[own], level+price, service)
	if empty {
		level = max(level, farthest(loads)+price)
	}
	room := 0.0
	for i := range loads {
		if i != own {
			room += loads[i].receiving(level, service)
		}
	}
	if sent <= 0 || room <= 0 {
		return nil
	}
	var parts []Part
	for i, z := range zones {
		if i == own {
			continue
		}
		part := loads[i].receiving(level, service) / room
		if !z.Reported && !empty {
			part = min(part, evenPart(loads, own, i))
		}
		if part > 0 {
			parts = append(parts, Part{Zone: z.Name, Part: part * sent / loads[own].demand})
		}
	}
	return parts
}

// loadsOf returns the loads of the zones. A zone without a report counts as used like the
// least used other zone, and to MaxLocalUse at least. The way to a zone at an unknown distance as long as the longest.
func loadsOf(zones []Zone, service float64) []load {
	loads := make([]load, len(zones))
	longest := time.Duration(0)
	all, use := 0.0, 1.0
	for _, z := range zones {
		longest = max(longest, z.Distance)
		all += z.Slots
		if z.Reported && z.Slots > 0 {
			use = min(use, z.Requests*service/z.Slots)
		}
	}
	for i, z := range zones {
		loads[i] = load{
			demand:    min(z.Requests*service, all),
			slots:     z.Slots,
			perTarget: max(z.Slots/float64(max(z.Targets, 1)), minPerTarget),
			distance:  cmp.Or(z.Distance, longest).Seconds(),
		}
		if !z.Reported {
			loads[i].demand = max(use, MaxLocalUse) * z.Slots
		}
	}
	return loads
}

// farthest returns the longest way to a zone with slots. All flows of a zone without slots
// leave it, and they don't all go to the nearest zone with room: none of them waits longer
// than it would on the longest way.
func farthest(loads []load) float64 {
	longest := 0.0
	for _, l := range loads {
		if l.slots > 0 {
			longest = max(longest, l.distance)
		}
	}
	return longest
}

// evenPart returns zone i's part of all slots that aren't in the own zone.
func evenPart(loads []load, own, i int) float64 {
	all := 0.0
	for j := range loads {
		if j != own {
			all += loads[j].slots
		}
	}
	return loads[i].slots / all
}

// balance returns the wait, in seconds, up to which zones take the flows of others, such that
// they have as much room as the zones with a longer wait send.
func balance(loads []load, own int, service, price float64) float64 {
	excess := func(level float64) float64 {
		sum := 0.0
		for i, l := range loads {
			if i == own {
				l.distance = 0
			}
			sum += sending(l, level+price, service) - l.receiving(level, service)
		}
		return sum
	}
	low, high := 0.0, service+price
	for n := 0; excess(high) > 0 && n < levelIterations; n++ {
		high *= 2
	}
	for range levelIterations {
		if middle := (low + high) / 2; excess(middle) > 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// sending returns how much of a zone's demand would wait longer than the limit, but not more
// than what exceeds MaxLocalUse.
func sending(l load, limit, service float64) float64 {
	return max(l.demand-max(l.fill(limit, service), MaxLocalUse*l.slots), 0)
}

// receiving returns how much a zone can take until its requests wait longer than the limit,
// with the way to the zone counted as waiting.
func (l load) receiving(limit, service float64) float64 {
	return max(l.fill(limit-l.distance, service)-l.demand, 0)
}

// fill returns the demand, in slots, at which requests wait as long as the limit.
func (l load) fill(limit, service float64) float64 {
	if limit <= 0 || l.slots == 0 {
		return 0
	}
	return l.slots * useAt(limit/service, l.perTarget)
}

// sanitize returns the zones ordered by name, and the index of the own zone or -1. A report
// with impossible numbers counts as missing.
func sanitize(l Load) (zones []Zone, own int) {
	zones = slices.Clone(l.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	own = -1
	for i := range zones {
		z := &zones[i]
		for _, v := range [...]float64{z.Requests, z.Answered, z.Concurrency} {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				z.Reported = false
			}
		}
		if math.IsNaN(z.Slots) || math.IsInf(z.Slots, 0) || z.Slots < 0 {
			z.Slots = 0
		}
		z.Distance = max(z.Distance, 0)
		if z.Name == l.Own {
			own, z.Distance = i, 0
		}
	}
	return zones, own
}
