package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
)

func TestRecorderCountsAWindow(t *testing.T) {
	is := is.New(t)
	var r aggregator.Recorder
	r.Take(start)
	r.RecordOpening(orders)
	r.RecordOpening(orders)
	r.RecordRejection(orders)
	r.RecordRequest(orders, 7)
	r.RecordAnswer(orders, 7, answerTime)
	r.RecordAnswer(orders, 7, 0)
	got := r.Take(start.Add(2 * time.Second))
	is.Equal(got.Window, 2*time.Second)
	is.Equal(got.Classes, []aggregator.ClassCount{{Class: orders, Openings: 2, Rejected: 1, Requests: 1, Answered: 2, Timed: 1, Time: answerTime}})
	is.Equal(got.Services, []string{"orders"})
	is.Equal(got.Targets, []aggregator.TargetCount{{Target: 7, Begun: 1, Answered: 2, Timed: 1, Time: answerTime}})
	got = r.Take(start.Add(3 * time.Second))
	is.Equal(len(got.Classes)+len(got.Targets), 0)
}

func record(r *aggregator.Recorder) {
	r.RecordOpening(orders)
	r.RecordRequest(orders, 7)
	r.RecordAnswer(orders, 7, answerTime)
}

func TestRecorderDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var r aggregator.Recorder
	is.Equal(testing.AllocsPerRun(1000, func() { record(&r) }), 0.0)
}

// BenchmarkRecorder measures the three calls for the packets of one request.
func BenchmarkRecorder(b *testing.B) {
	var r aggregator.Recorder
	b.ReportAllocs()
	for b.Loop() {
		record(&r)
	}
}

func TestAtlasKeepsTheLatestSummaries(t *testing.T) {
	is := is.New(t)
	var a aggregator.Atlas
	a.Set(start, 0, aggregator.Summary{AvailabilityZone: "a", Balancers: 2})
	a.Set(start, time.Second, aggregator.Summary{AvailabilityZone: "a", Balancers: 1})
	a.Set(start, time.Second, aggregator.Summary{AvailabilityZone: "b", Age: time.Second})
	p := a.Picture(start)
	is.Equal(p.Zones["a"].Balancers, 2)
	is.Equal(p.Zones["b"].Age, 2*time.Second)
	is.Equal(len(a.Picture(start.Add(aggregator.SummaryTTL-1500*time.Millisecond)).Zones), 1)
	is.Equal(len(a.Picture(start.Add(aggregator.SummaryTTL+time.Millisecond)).Zones), 0)
}

func TestDistanceIsTheLeastOfTheLastMinute(t *testing.T) {
	is := is.New(t)
	var a aggregator.Atlas
	is.Equal(a.Measure(start, "b", 3*time.Millisecond), 3*time.Millisecond)
	is.Equal(a.Measure(start.Add(time.Second), "b", time.Millisecond), time.Millisecond)
	is.Equal(a.Measure(start.Add(2*time.Second), "b", 90*time.Millisecond), time.Millisecond)
	is.Equal(a.Measure(start.Add(62*time.Second), "b", 5*time.Millisecond), 5*time.Millisecond)
}
