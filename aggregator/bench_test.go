package aggregator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

// BenchmarkRound measures what a reader does in a second whose zone has 100 balancers, half of
// which report to this reader. Each saw 60 requests at some of 600 targets.
func BenchmarkRound(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var ids [600]uint64
	for i := range ids {
		ids[i] = random.Uint64()
	}
	reports := make([][]byte, 50)
	size := 0
	for n := range reports {
		var recorder aggregator.Recorder
		recorder.Take(start)
		for i := range 60 {
			class := aggregator.Class{Service: fmt.Sprint("service-", i%5), Urgency: i % 2}
			target := ids[random.IntN(len(ids)/5)*5+i%5]
			recorder.RecordRequest(class, target)
			recorder.RecordAnswer(class, target, answerTime+time.Duration(random.IntN(1e7)))
		}
		r := recorder.Take(start.Add(time.Second))
		r.Balancer = fmt.Sprint("balancer-", n)
		reports[n], _ = r.Encode()
		size += len(reports[n])
	}
	b.ReportAllocs()
	halfSize := 0
	for b.Loop() {
		var c aggregator.Combiner
		for _, data := range reports {
			r, _ := aggregator.DecodeReport(data)
			_ = c.Add(start, 0, r)
		}
		half := c.Round(start)
		data, _ := aggregator.Answer{Half: &half}.Encode()
		answer, _ := aggregator.DecodeAnswer(data)
		c.AddHalf(start, "reader", 0, *answer.Half)
		c.Samples()
		c.Summary(start, "a", names(100))
		halfSize = len(data)
	}
	b.ReportMetric(float64(size/len(reports)), "report-B")
	b.ReportMetric(float64(halfSize), "half-B")
}
