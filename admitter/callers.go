package admitter

import (
	"cmp"
	"net/netip"
	"slices"
)

const (
	// maxCallers bounds the memory for the callers of one class to about 200 KB. Further
	// callers count as ones that opened few flows.
	maxCallers = 2048
	// countDecay is the part of a caller's count that is kept each second. A balancer sees
	// a small part of a caller's flows, so it remembers about four seconds of them.
	countDecay = 0.75
	// fewFlows is the count up to which all callers are treated alike. A balancer that
	// sees one flow of each caller can't tell which opens more.
	fewFlows = 2
	// forgetCount is the count below which a caller is forgotten.
	forgetCount = 0.25
)

// callers counts the new flows of each caller of a class, those turned away included, and
// shares the admitted ones between callers (max-min fairness). Load pattern: one caller opens
// as many flows as hundreds of others together.
type callers struct {
	counts map[netip.Addr]flowCount
	// limit is the count up to which a caller's flows are all admitted. Of a caller with a
	// greater count, as many flows are admitted as of one at the limit.
	limit float64
	// sorted is reused by roll.
	sorted []float64
}

// flowCount is the number of new flows of a caller: those of the present second, and the
// weighted sum of those of earlier seconds.
type flowCount struct {
	now, before float64
}

func (c *callers) count(caller netip.Addr) {
	if c.counts == nil {
		c.counts = make(map[netip.Addr]flowCount)
	}
	n, known := c.counts[caller]
	if known || len(c.counts) < maxCallers {
		n.now++
		c.counts[caller] = n
	}
}

func (c *callers) isEmpty() bool { return len(c.counts) == 0 }

// roll ends a second, and finds the limit at which the given part of all flows is admitted.
func (c *callers) roll(part float64) {
	for caller, n := range c.counts {
		n.before, n.now = n.before*countDecay+n.now, 0
		if n.before < forgetCount {
			delete(c.counts, caller)
		} else {
			c.counts[caller] = n
		}
	}
	c.limit = c.findLimit(part)
}

// findLimit returns the limit at which part of all counted flows is admitted, or 0 if all
// are.
func (c *callers) findLimit(part float64) float64 {
	if part >= 1 || len(c.counts) == 0 {
		return 0
	}
	c.sorted = c.sorted[:0]
	light, total := 0.0, 0.0
	for _, n := range c.counts {
		total += n.before
		if n.before <= fewFlows {
			light += n.before
		} else {
			c.sorted = append(c.sorted, n.before)
		}
	}
	slices.SortFunc(c.sorted, cmp.Compare)
	room := part * total
	// The callers with few flows share a limit of at most fewFlows. Then each caller with more
	// flows counts like one at the limit.
	heavy := float64(len(c.sorted))
	if limit := room / (light/fewFlows + heavy); limit <= fewFlows {
		return limit
	}
	room -= light
	for i, n := range c.sorted {
		if limit := room / (heavy - float64(i)); limit <= n {
			return limit
		}
		room -= n
	}
	return 0
}

// fraction returns the part of a caller's flows that is admitted. part is that of the whole
// class.
func (c *callers) fraction(caller netip.Addr, part float64) float64 {
	if c.limit <= 0 {
		return part
	}
	return min(1, c.limit/max(c.counts[caller].before, fewFlows))
}

// draw maps a hash to a number from 0 up to but not including 1.
func draw(hash uint64) float64 {
	const bits = 53 // the precision of a float64
	return float64(hash>>(64-bits)) / (1 << bits)
}
