package aggregator

import (
	"maps"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/rater"
)

// receivedHalf is what another reader of the zone has.
type receivedHalf struct {
	number  uint64
	reports map[string]*received
	// samples holds what has not been taken by Samples yet.
	samples []rater.Sample
}

// AddHalf adds what another reader of the zone has. age is the time since the reader determined
// the ages in it, at most. The samples of a half that was added before aren't counted again.
func (c *Combiner) AddHalf(now time.Time, reader string, age time.Duration, h Half) {
	if c.halves == nil {
		c.halves = make(map[string]*receivedHalf)
	}
	added := &receivedHalf{number: h.Number, reports: make(map[string]*received, len(h.Reports))}
	for i, r := range h.Reports {
		added.reports[r.Balancer] = &received{report: r, endedAt: now.Add(-age - h.Ages[i])}
	}
	if before := c.halves[reader]; before != nil && before.number == h.Number {
		added.samples = before.samples
	} else if age <= ReportTTL {
		added.samples = make([]rater.Sample, 0, len(h.Samples))
		for _, t := range h.Samples {
			added.samples = append(added.samples, sampleOf(t, h.Services[t.Service]))
		}
	}
	c.halves[reader] = added
}

func sampleOf(t TargetCount, service string) rater.Sample {
	return rater.Sample{
		Target: t.Target, Service: service, Begun: int(t.Begun),
		Answered: int(t.Answered), Timed: int(t.Timed), Time: t.Time,
	}
}

// Samples returns what the reports that arrived since the last round say of targets, here and
// at the other readers. Each target occurs once.
func (c *Combiner) Samples() []rater.Sample {
	count := len(c.samples)
	for _, h := range c.halves {
		count = max(count, len(h.samples))
	}
	sums := make(map[uint64]rater.Sample, count)
	add := func(samples []rater.Sample) {
		for _, s := range samples {
			if sum, known := sums[s.Target]; known && sum.Service == s.Service {
				s.Begun += sum.Begun
				s.Answered += sum.Answered
				s.Timed += sum.Timed
				s.Time += sum.Time
			}
			sums[s.Target] = s
		}
	}
	add(c.samples)
	c.samples = nil
	for _, reader := range sortedKeys(c.halves) {
		add(c.halves[reader].samples)
		c.halves[reader].samples = nil
	}
	samples := make([]rater.Sample, 0, len(sums))
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		samples = append(samples, sums[id])
	}
	return samples
}
