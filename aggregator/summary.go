package aggregator

import "time"

// Summary combines the reports that count into the Summary of a zone, whose balancers are
// named. If reports are missing, the rates are scaled as if their balancers saw as much as the
// others. The boolean is false if no report counts.
func (c *Combiner) Summary(now time.Time, zone string, balancers []string) (Summary, bool) {
	reports := c.current(now)
	if len(reports) == 0 {
		return Summary{}, false
	}
	scale := 1 + float64(c.missing(now, balancers, reports))/float64(len(reports))
	s := Summary{AvailabilityZone: zone, Balancers: len(reports), Demand: make(map[Class]Demand)}
	meanTimes := make(map[Class]time.Duration)
	for class, b := range boundsOf(reports) {
		sum := b.sum(reports, class)
		meanTime := c.meanTimes[class]
		if sum.timed > 0 {
			meanTime = time.Duration(float64(sum.time) / sum.timed)
		}
		meanTimes[class] = meanTime
		s.Demand[class] = Demand{
			Openings: scale * sum.openings, Rejected: scale * sum.rejected, Requests: scale * sum.requests,
			Answered: scale * sum.answered, Concurrency: scale * sum.requests * meanTime.Seconds(),
		}
	}
	c.meanTimes = meanTimes
	return s, true
}

// missing returns the number of balancers that get packets, but have no report that counts.
//
// A balancer that reported before and has ceased to is most likely dead, and its packets pass
// the others. If as many have ceased as still report, this balancer may be cut off from them;
// then they count as missing.
//
// Load pattern: a third of a zone's balancers lose power, and stay registered for 20 s.
func (c *Combiner) missing(now time.Time, balancers []string, reports []*received) int {
	if c.lastReports == nil {
		c.lastReports = make(map[string]time.Time)
	}
	for _, r := range reports {
		c.lastReports[r.report.Balancer] = r.endedAt
	}
	missing, ceased := 0, 0
	for _, name := range balancers {
		last, known := c.lastReports[name]
		switch age := now.Sub(last); {
		case known && age <= ReportTTL:
		case known && age > ceasedAfter && age <= lastReportTTL:
			ceased++
		default:
			missing++
		}
	}
	for name, last := range c.lastReports {
		if now.Sub(last) > lastReportTTL {
			delete(c.lastReports, name)
		}
	}
	if ceased >= len(reports) {
		missing += ceased
	}
	return missing
}
