package aggregator

import (
	"slices"
	"time"
)

const (
	// minReporters is the number of reports from which on a median tells what is usual.
	minReporters = 4
	// boundFactor is how many times the median a number of one report counts at most. The
	// routers spread packets evenly, and a balancer with twice its share isn't rare.
	boundFactor = 4
	// smallRate is a rate per second that counts in any case: where most balancers see nothing
	// in a window, the median is 0.
	smallRate = 5
	// maxUncheckedRate limits the rates of each report, per second, if there are too few for
	// a median.
	maxUncheckedRate = 2000
)

// bounds holds how much one report counts at most of a class: rates per second, and the mean
// time of answers.
//
// Load pattern: one balancer reports numbers that are a thousand times too high.
type bounds struct {
	openings, rejected, requests, answered, timed float64
	meanTime                                      time.Duration
	// usualTime is the median of the mean times, or 0 if there are too few.
	usualTime time.Duration
}

// rates are the rates of one class per second. time is the sum of the answers' times.
type rates struct {
	openings, rejected, requests, answered, timed float64
	time                                          time.Duration
}

// boundsOf returns the bounds of each class that a report has.
func boundsOf(reports []*received) map[Class]bounds {
	counts := make(map[Class][]rates)
	for _, r := range reports {
		seconds := r.report.Window.Seconds()
		for i := range r.report.Classes {
			k := &r.report.Classes[i]
			counts[k.Class] = append(counts[k.Class], rates{
				openings: float64(k.Openings) / seconds, rejected: float64(k.Rejected) / seconds,
				requests: float64(k.Requests) / seconds, answered: float64(k.Answered) / seconds,
				timed: float64(k.Timed) / seconds, time: time.Duration(float64(k.Time) / seconds),
			})
		}
	}
	limits := make(map[Class]bounds, len(counts))
	values := make([]float64, 0, len(reports))
	for class, list := range counts {
		bound := func(number func(rates) float64) float64 {
			values = values[:0]
			for _, k := range list {
				values = append(values, number(k))
			}
			return boundOf(values, len(reports))
		}
		b := bounds{
			openings: bound(func(k rates) float64 { return k.openings }),
			rejected: bound(func(k rates) float64 { return k.rejected }),
			requests: bound(func(k rates) float64 { return k.requests }),
			answered: bound(func(k rates) float64 { return k.answered }),
			timed:    bound(func(k rates) float64 { return k.timed }),
			meanTime: maxAnswerTime,
		}
		values = values[:0]
		for _, k := range list {
			if k.timed > 0 {
				values = append(values, float64(k.time)/k.timed)
			}
		}
		if len(values) >= minReporters {
			b.usualTime = time.Duration(median(values, len(values)))
			b.meanTime = boundFactor * b.usualTime
		}
		limits[class] = b
	}
	return limits
}

// boundOf returns how much a report's rate counts at most. values holds the rates of the reports
// that have any, of all reports.
func boundOf(values []float64, reports int) float64 {
	if reports < minReporters {
		return maxUncheckedRate
	}
	return max(boundFactor*median(values, reports), smallRate)
}

// median returns the median of n numbers: the values, and zeros for the rest. It sorts values.
func median(values []float64, n int) float64 {
	slices.Sort(values)
	if i := n/2 - (n - len(values)); i >= 0 && i < len(values) {
		return values[i]
	}
	return 0
}

// sum returns the bounded sum of a class over reports.
func (b bounds) sum(reports []*received, class Class) rates {
	var s rates
	for _, r := range reports {
		seconds := r.report.Window.Seconds()
		for i := range r.report.Classes {
			k := &r.report.Classes[i]
			if k.Class != class {
				continue
			}
			timed := min(float64(k.Timed)/seconds, b.timed)
			s.openings += min(float64(k.Openings)/seconds, b.openings)
			s.rejected += min(float64(k.Rejected)/seconds, b.rejected)
			s.requests += min(float64(k.Requests)/seconds, b.requests)
			s.answered += min(float64(k.Answered)/seconds, b.answered)
			s.timed += timed
			s.time += time.Duration(timed * float64(min(k.Time/time.Duration(max(k.Timed, 1)), b.meanTime)))
		}
	}
	return s
}
