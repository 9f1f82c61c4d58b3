package aggregator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/rater"
)

var (
	start  = time.Unix(1_000_000, 0)
	orders = aggregator.Class{Service: "orders", Urgency: 1}
)

const (
	balancers = 20
	// rate is the number of requests and of openings per second that each balancer sees.
	rate       = 50
	answerTime = 40 * time.Millisecond
)

// newReport returns the report of a balancer whose requests took answerTime, with its numbers
// multiplied by factor. Half of the requests went to target 1, half to target 2.
func newReport(n, factor int) aggregator.Report {
	count := uint32(rate * factor)
	target := func(id uint64) aggregator.TargetCount {
		return aggregator.TargetCount{
			Target: id, Begun: count / 2, Answered: count / 2, Timed: count / 2,
			Time: time.Duration(count/2) * answerTime,
		}
	}
	return aggregator.Report{
		Balancer: fmt.Sprintf("b-%02d", n), AvailabilityZone: "a", Window: time.Second,
		Classes: []aggregator.ClassCount{{
			Class: orders, Openings: count, Requests: count, Answered: count, Timed: count,
			Time: time.Duration(count) * answerTime,
		}},
		Services: []string{"orders"},
		Targets:  []aggregator.TargetCount{target(1), target(2)},
	}
}

// names returns the names of the zone's first balancers.
func names(count int) []string {
	list := make([]string, count)
	for n := range list {
		list[n] = newReport(n, 0).Balancer
	}
	return list
}

// add adds the honest reports of balancers.
func add(is *is.I, c *aggregator.Combiner, now time.Time, from, to int) {
	for n := from; n < to; n++ {
		is.NoErr(c.Add(now, 0, newReport(n, 1)))
	}
}

// isWithin checks that a number differs from another by a part of it at most.
func isWithin(is *is.I, got, want, part float64) {
	is.Helper()
	is.True(math.Abs(got-want) <= part*want)
}

func TestRatesAreOfTheWholeZone(t *testing.T) {
	is := is.New(t)
	var c aggregator.Combiner
	add(is, &c, start, 0, balancers)
	s, ok := c.Summary(start, "a", names(balancers))
	is.True(ok)
	is.Equal(s.Balancers, balancers)
	isWithin(is, s.Demand[orders].Requests, balancers*rate, 1e-6)
	isWithin(is, s.Demand[orders].Concurrency, balancers*rate*answerTime.Seconds(), 1e-6)
}

func TestRatesAreScaledForMissingReports(t *testing.T) {
	is := is.New(t)
	var c aggregator.Combiner
	add(is, &c, start, 0, balancers/4)
	s, _ := c.Summary(start, "a", names(balancers))
	is.Equal(s.Balancers, balancers/4)
	isWithin(is, s.Demand[orders].Openings, balancers*rate, 1e-6)
}

// A reporter that dies, is cut off, or whose report waited in a socket stops to count, and
// the others are scaled for it.
func TestDeadAndFrozenReportersMoveNothing(t *testing.T) {
	is := is.New(t)
	var c aggregator.Combiner
	add(is, &c, start, 0, balancers)
	later := start.Add(aggregator.ReportTTL + time.Millisecond)
	add(is, &c, later, 1, balancers)
	var invalid *aggregator.InvalidError
	is.True(errors.As(c.Add(later, aggregator.ReportTTL+time.Millisecond, newReport(0, 1)), &invalid))
	is.Equal(invalid.Reason(), aggregator.ReasonTooOld)
	s, _ := c.Summary(later, "a", names(balancers))
	is.Equal(s.Balancers, balancers-1)
	isWithin(is, s.Demand[orders].Requests, balancers*rate, 1e-6)
	_, ok := c.Summary(later.Add(aggregator.ReportTTL+time.Millisecond), "a", names(balancers))
	is.True(!ok)
}

// Load pattern: a third of a zone's balancers lose power, and the routers send their packets to
// the others. A balancer that hears nobody any more takes itself for cut off.
func TestDeadBalancersAreNotScaledForLong(t *testing.T) {
	is := is.New(t)
	var c aggregator.Combiner
	add(is, &c, start, 0, 15)
	rateAt := func(seconds time.Duration, reporting, factor int) float64 {
		now := start.Add(seconds * time.Second)
		for n := range reporting {
			is.NoErr(c.Add(now, 0, newReport(n, factor)))
		}
		s, ok := c.Summary(now, "a", names(15))
		is.True(ok)
		return s.Demand[orders].Requests
	}
	isWithin(is, rateAt(0, 0, 0), 15*rate, 1e-6)
	isWithin(is, rateAt(3, 10, 1), 15*rate, 1e-6)
	isWithin(is, rateAt(4, 10, 2), 10*2*rate, 1e-6)
	isWithin(is, rateAt(19, 10, 2), 10*2*rate, 1e-6)
	isWithin(is, rateAt(25, 1, 1), 15*rate, 1e-6)
}

// Load pattern: one balancer reports numbers, or times, that are far too high or too low.
func TestLyingReporterMovesNoMoreThanAFewShares(t *testing.T) {
	slow := newReport(0, 1)
	slow.Classes[0].Time *= 500
	slow.Targets[0].Time *= 500
	oneTarget := newReport(0, 1)
	oneTarget.Targets[0].Begun, oneTarget.Targets[0].Answered, oneTarget.Targets[0].Timed = 5000, 5000, 5000
	for name, lie := range map[string]aggregator.Report{"high": newReport(0, 1000), "nothing": newReport(0, 0), "slow": slow, "target": oneTarget} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c aggregator.Combiner
			is.NoErr(c.Add(start, 0, lie))
			add(is, &c, start, 1, balancers)
			s, _ := c.Summary(start, "a", names(balancers))
			const shares = 4.0 / balancers
			d := s.Demand[orders]
			isWithin(is, d.Openings, balancers*rate, shares)
			isWithin(is, d.Requests, balancers*rate, shares)
			isWithin(is, d.Concurrency, balancers*rate*answerTime.Seconds(), shares)
			c.Round(start)
			for _, sample := range c.Samples() {
				isWithin(is, float64(sample.Begun), balancers*rate/2, shares)
				isWithin(is, float64(sample.Time)/float64(sample.Timed), float64(answerTime), shares)
			}
		})
	}
}

func TestFewReportersAreBoundedByAFixedLimit(t *testing.T) {
	is := is.New(t)
	var c aggregator.Combiner
	is.NoErr(c.Add(start, 0, newReport(0, 1000)))
	add(is, &c, start, 1, 3)
	s, _ := c.Summary(start, "a", names(3))
	is.True(s.Demand[orders].Requests <= 2000+2*rate)
}

// exchange ends a round of two readers that hand each other their halves.
func exchange(now time.Time, a, b *aggregator.Combiner) {
	halfA, halfB := a.Round(now), b.Round(now)
	a.AddHalf(now, "reader-b", 0, halfB)
	b.AddHalf(now, "reader-a", 0, halfA)
}

// Both readers arrive at the same rates and samples, also while balancers that change their
// reader are in both halves with reports that contradict each other.
func TestBalancerInBothHalvesCountsOnce(t *testing.T) {
	is := is.New(t)
	var a, b aggregator.Combiner
	add(is, &a, start, 0, balancers)
	add(is, &b, start.Add(time.Second), balancers/2, balancers)
	for n := range balancers / 2 {
		is.NoErr(a.Add(start.Add(time.Second), 0, newReport(n, 2)))
	}
	now := start.Add(time.Second)
	exchange(now, &a, &b)
	summaryA, _ := a.Summary(now, "a", names(balancers))
	summaryB, _ := b.Summary(now, "a", names(balancers))
	is.Equal(summaryA, summaryB)
	is.Equal(summaryA.Balancers, balancers)
	isWithin(is, summaryA.Demand[orders].Requests, 1.5*balancers*rate, 1e-6)
	is.Equal(a.Samples(), b.Samples())
}

// A half that is fetched twice gives its samples once.
func TestSamplesCountOnce(t *testing.T) {
	is := is.New(t)
	var a, b aggregator.Combiner
	add(is, &b, start, 0, balancers)
	half := b.Round(start)
	want := []rater.Sample{
		{Target: 1, Service: "orders", Begun: balancers * rate / 2, Answered: balancers * rate / 2, Timed: balancers * rate / 2, Time: balancers * rate / 2 * answerTime},
		{Target: 2, Service: "orders", Begun: balancers * rate / 2, Answered: balancers * rate / 2, Timed: balancers * rate / 2, Time: balancers * rate / 2 * answerTime},
	}
	a.AddHalf(start, "reader-b", 0, half)
	is.Equal(a.Samples(), want)
	a.AddHalf(start, "reader-b", 0, half)
	is.Equal(len(a.Samples()), 0)
	b.Samples()
	b.Round(start)
	is.Equal(len(b.Samples()), 0)
}

// The reader of a zone changes: the other reader's half lapses with its reports.
func TestHalfOfALostReaderLapses(t *testing.T) {
	is := is.New(t)
	var a, b aggregator.Combiner
	add(is, &a, start, 0, balancers/2)
	add(is, &b, start, balancers/2, balancers)
	exchange(start, &a, &b)
	later := start.Add(aggregator.ReportTTL + time.Millisecond)
	add(is, &a, later, 0, balancers)
	s, _ := a.Summary(later, "a", names(balancers))
	is.Equal(s.Balancers, balancers)
	isWithin(is, s.Demand[orders].Requests, balancers*rate, 1e-6)
}

func TestImpossibleReportsAreDropped(t *testing.T) {
	many := newReport(0, 1)
	many.Classes = make([]aggregator.ClassCount, aggregator.MaxReportClasses+1)
	for reason, edits := range map[string][]func(*aggregator.Report){
		aggregator.ReasonImpossible: {
			func(r *aggregator.Report) { r.Classes[0].Answered = math.MaxUint32 },
			func(r *aggregator.Report) { r.Classes[0].Time = -1 },
			func(r *aggregator.Report) { r.Classes[0].Time = time.Hour },
			func(r *aggregator.Report) { r.Classes[0].Rejected = rate + 1 },
			func(r *aggregator.Report) { r.Classes = append(r.Classes, r.Classes[0]) },
			func(r *aggregator.Report) { r.Targets[0].Timed = rate },
			func(r *aggregator.Report) { r.Targets[0].Service = 1 },
			func(r *aggregator.Report) { r.Window = 0 },
			func(r *aggregator.Report) { r.Window = time.Hour },
		},
		aggregator.ReasonTooMany:   {func(r *aggregator.Report) { *r = many }},
		aggregator.ReasonMalformed: {func(r *aggregator.Report) { r.Balancer = "" }},
	} {
		for _, edit := range edits {
			is := is.New(t)
			var c aggregator.Combiner
			r := newReport(0, 1)
			edit(&r)
			var invalid *aggregator.InvalidError
			is.True(errors.As(c.Add(start, 0, r), &invalid))
			is.Equal(invalid.Reason(), reason)
		}
	}
}

func TestUnknownTargetsAndServicesAreLeftOut(t *testing.T) {
	is := is.New(t)
	c := aggregator.Combiner{
		KnowsService: func(service string) bool { return service == "orders" },
		KnowsTarget:  func(target uint64, _ string) bool { return target == 2 },
	}
	r := newReport(0, 1)
	r.Classes = append(r.Classes, aggregator.ClassCount{Class: aggregator.Class{Service: "invented"}, Requests: 1})
	is.NoErr(c.Add(start, 0, r))
	is.Equal(c.Unknown(), 2)
	c.Round(start)
	samples := c.Samples()
	is.Equal(len(samples), 1)
	is.Equal(samples[0].Target, uint64(2))
	s, _ := c.Summary(start, "a", names(1))
	is.Equal(len(s.Demand), 1)
}
