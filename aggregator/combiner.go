package aggregator

import (
	"maps"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/rater"
)

const (
	// ceasedAfter is the time without a report after which a balancer that reported before gets
	// no packets any more. The routers stop sending to a balancer that is dead after 1.5 s, and
	// to one without recent data of the store after 3 s.
	ceasedAfter = 3500 * time.Millisecond
	// lastReportTTL is how long a balancer's last report is remembered. The registration of a
	// dead balancer ends after 20 s.
	lastReportTTL = 30 * time.Second
	// ReportTTL is how long after the end of its window a Report counts. Balancers report once
	// a second, and a request to a reader that doesn't answer takes 1.1 s.
	ReportTTL = 2 * time.Second
	// maxReporters limits the balancers of one zone.
	maxReporters = 2000
	// maxFutureSkew allows for windows that seem to end after their arrival because clocks of
	// two VMs run at slightly different rates.
	maxFutureSkew = 100 * time.Millisecond
)

// Combiner combines the Reports of one zone's balancers into a Summary.
//
// Load pattern: a service's demand doubles within a second, spread over hundreds of balancers
// of which none sees more than a few requests.
//
// The zero Combiner has no reports. It is not safe for concurrent use.
type Combiner struct {
	// KnowsService and KnowsTarget report whether the view has a service, or a target of a
	// service. What they don't know is left out. Everything is known if they are nil.
	KnowsService func(service string) bool
	KnowsTarget  func(target uint64, service string) bool

	// reports holds the reports to this balancer and halves those to others, by the name of
	// the reporting balancer and of the other reader.
	reports map[string]*received
	halves  map[string]*receivedHalf
	number  uint64
	samples []rater.Sample
	// meanTimes holds the last known mean time of the answers of each class.
	meanTimes map[Class]time.Duration
	// lastReports holds when the last window of each balancer ended.
	lastReports map[string]time.Time
	// left counts the entries left out since the last call of Unknown.
	left int
}

// received is a report that arrived. endedAt is the earliest time at which its window may have
// ended.
type received struct {
	report  Report
	endedAt time.Time
}

// Add adds a report that arrived at now. age is the time since the end of its window, at most.
// It replaces an earlier report of the same balancer, and keeps the entries, which the caller must
// not change. An *InvalidError tells why a report is not used.
func (c *Combiner) Add(now time.Time, age time.Duration, r Report) error {
	if err := r.Validate(); err != nil {
		return err
	}
	switch {
	case age > ReportTTL:
		return &InvalidError{ReasonTooOld}
	case age < -maxFutureSkew:
		return &InvalidError{ReasonImpossible}
	}
	endedAt := now.Add(-max(age, 0))
	before := c.reports[r.Balancer]
	switch {
	case before == nil && len(c.reports) >= maxReporters:
		return &InvalidError{ReasonTooMany}
	case before != nil && before.endedAt.After(endedAt):
		return &InvalidError{ReasonTooOld}
	}
	if c.KnowsService != nil {
		r.Classes = leaveOut(c, r.Classes, func(k ClassCount) bool { return !c.KnowsService(k.Class.Service) })
	}
	if c.KnowsTarget != nil {
		r.Targets = leaveOut(c, r.Targets, func(t TargetCount) bool { return !c.KnowsTarget(t.Target, r.Services[t.Service]) })
	}
	if c.reports == nil {
		c.reports = make(map[string]*received)
	}
	c.reports[r.Balancer] = &received{report: r, endedAt: endedAt}
	return nil
}

// leaveOut returns the entries without the unknown ones, which it counts. The entries themselves
// stay as they are, since the caller may still send them.
func leaveOut[T any](c *Combiner, entries []T, unknown func(T) bool) []T {
	if !slices.ContainsFunc(entries, unknown) {
		return entries
	}
	known := slices.DeleteFunc(slices.Clone(entries), unknown)
	c.left += len(entries) - len(known)
	return known
}

// Unknown returns the number of entries of unknown services and targets that were left out
// since the last call.
func (c *Combiner) Unknown() int {
	left := c.left
	c.left = 0
	return left
}

// Reporters returns the number of other balancers whose reports to this balancer count.
func (c *Combiner) Reporters(now time.Time, self string) int {
	count := 0
	for name, r := range c.reports {
		if name != self && now.Sub(r.endedAt) <= ReportTTL {
			count++
		}
	}
	return count
}

// Round ends a round, about once a second, and returns the balancer's own half.
func (c *Combiner) Round(now time.Time) Half {
	c.expire(now)
	own := slices.Sorted(maps.Keys(c.reports))
	c.number++
	h := Half{Number: c.number}
	c.samples = boundSamples(c.reports, own, boundsOf(c.current(now)))
	h.Services, h.Samples = newHalfSamples(c.samples)
	for _, name := range own {
		r := c.reports[name]
		r.report.Targets, r.report.Services = nil, nil
		h.Reports = append(h.Reports, r.report)
		h.Ages = append(h.Ages, now.Sub(r.endedAt))
	}
	return h
}

// expire removes the reports that no longer count.
func (c *Combiner) expire(now time.Time) {
	tooOld := func(_ string, r *received) bool { return now.Sub(r.endedAt) > ReportTTL }
	maps.DeleteFunc(c.reports, tooOld)
	for name, h := range c.halves {
		maps.DeleteFunc(h.reports, tooOld)
		if len(h.reports) == 0 {
			delete(c.halves, name)
		}
	}
}

// current returns the last report of each balancer that reported to any reader, by name.
func (c *Combiner) current(now time.Time) []*received {
	last := make(map[string]*received, len(c.reports))
	add := func(reports map[string]*received) {
		for name, r := range reports {
			if now.Sub(r.endedAt) <= ReportTTL && (last[name] == nil || r.endedAt.After(last[name].endedAt)) {
				last[name] = r
			}
		}
	}
	add(c.reports)
	for _, reader := range sortedKeys(c.halves) {
		add(c.halves[reader].reports)
	}
	reports := make([]*received, 0, len(last))
	for _, name := range sortedKeys(last) {
		reports = append(reports, last[name])
	}
	return reports
}
