package aggregator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
)

// newPicture returns a Picture with as many entries in each zone.
func newPicture(zones, entries int) aggregator.Picture {
	p := aggregator.Picture{Zones: make(map[string]aggregator.Summary)}
	random := rand.New(rand.NewPCG(1, 2))
	for z := range zones {
		s := aggregator.Summary{
			AvailabilityZone: fmt.Sprintf("zone-%d", z), Balancers: 7, Age: time.Second, Distance: time.Millisecond,
			Demand: make(map[aggregator.Class]aggregator.Demand), Speeds: make(map[uint64]float64),
		}
		for n := range entries {
			class := aggregator.Class{Service: fmt.Sprintf("service-%d", n), Urgency: n % 3}
			s.Demand[class] = aggregator.Demand{Openings: 1 + float64(n), Requests: 2, Answered: 1.5, Concurrency: 0.25}
			s.Speeds[random.Uint64()] = 0.25
		}
		p.Zones[s.AvailabilityZone] = s
	}
	return p
}

func TestMessagesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	data, err := newPicture(3, 10).Encode()
	is.NoErr(err)
	p, err := aggregator.DecodePicture(data)
	is.NoErr(err)
	is.Equal(p, newPicture(3, 10))
	r := newReport(3, 1)
	data, err = r.Encode()
	is.NoErr(err)
	again, err := aggregator.DecodeReport(data)
	is.NoErr(err)
	is.Equal(again, r)
	var c aggregator.Combiner
	add(is, &c, start, 0, balancers)
	s := p.Zones["zone-1"]
	half := c.Round(start)
	data, err = aggregator.Answer{Summary: &s, Half: &half}.Encode()
	is.NoErr(err)
	a, err := aggregator.DecodeAnswer(data)
	is.NoErr(err)
	is.Equal(*a.Summary, s)
	is.Equal(a.Half.Samples, half.Samples)
	is.Equal(len(a.Half.Reports), balancers)
}

// Messages with as many entries as there may be fit into a header, and keep the own zone.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	data, err := newPicture(17, 300).Encode()
	is.NoErr(err)
	is.True(len(data) <= aggregator.MaxPictureBytes)
	p, err := aggregator.DecodePicture(data)
	is.NoErr(err)
	is.Equal(len(p.Zones), 17)
	is.True(len(p.Zones["zone-3"].Demand) > 0)
	var recorder aggregator.Recorder
	recorder.Take(start)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 5000 {
		recorder.RecordRequest(aggregator.Class{Service: fmt.Sprintf("a-service-with-a-long-name-%d", n%200)}, random.Uint64())
	}
	r := recorder.Take(start.Add(time.Second))
	r.Balancer = "b"
	is.NoErr(r.Validate())
	data, err = r.Encode()
	is.NoErr(err)
	is.True(len(data) <= aggregator.MaxReportBytes)
	r, err = aggregator.DecodeReport(data)
	is.NoErr(err)
	is.NoErr(r.Validate())
}

func TestUnreadableMessages(t *testing.T) {
	newer := append([]byte{2}, "anything"...)
	for reason, data := range map[string][]byte{
		aggregator.ReasonNewerFormat: newer,
		aggregator.ReasonTooLarge:    make([]byte, aggregator.MaxReportBytes+1),
		aggregator.ReasonMalformed:   {1, 0xff},
	} {
		is := is.New(t)
		_, err := aggregator.DecodeReport(data)
		var invalid *aggregator.InvalidError
		is.True(errors.As(err, &invalid))
		is.Equal(invalid.Reason(), reason)
		_, err = aggregator.DecodePicture(data)
		is.True(errors.As(err, &invalid))
		is.Equal(invalid.Reason(), reason)
	}
}

// FuzzDecode checks that no message makes a balancer fail or gives it an impossible number.
func FuzzDecode(f *testing.F) {
	report := newReport(1, 1)
	data, _ := report.Encode()
	f.Add(data)
	data, _ = newPicture(2, 3).Encode()
	f.Add(data)
	var c aggregator.Combiner
	_ = c.Add(start, 0, report)
	half := c.Round(start)
	data, _ = aggregator.Answer{Half: &half}.Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var c aggregator.Combiner
		if r, err := aggregator.DecodeReport(data); err == nil {
			_ = c.Add(start, 0, r)
		}
		if a, err := aggregator.DecodeAnswer(data); err == nil && a.Half != nil {
			c.AddHalf(start, "reader", 0, *a.Half)
		}
		c.Round(start)
		for _, s := range c.Samples() {
			if s.Begun < 0 || s.Answered < 0 || s.Timed < 0 || s.Time < 0 {
				t.Error(s)
			}
		}
		var atlas aggregator.Atlas
		if s, ok := c.Summary(start, "a", names(3)); ok {
			atlas.Set(start, 0, s)
		}
		if p, err := aggregator.DecodePicture(data); err == nil {
			atlas.SetPicture(start, 0, p)
		}
		for _, s := range atlas.Picture(start).Zones {
			for _, d := range s.Demand {
				for _, n := range []float64{d.Openings, d.Rejected, d.Requests, d.Answered, d.Concurrency} {
					if !(n >= 0 && n < 1e15) {
						t.Error(d)
					}
				}
			}
			for _, speed := range s.Speeds {
				if !(speed > 0 && speed <= 1) {
					t.Error(speed)
				}
			}
		}
	})
}
