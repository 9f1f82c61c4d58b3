package aggregator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
)

// Load pattern: a zone combines its reports once a second, a reader of another zone asks for the
// Summary once a second, and a balancer there asks that reader again after 0.9 to 1.5 s. One
// request between the readers fails now and then. The zone stays known at all times.
func TestZoneStaysKnownBetweenArrivals(t *testing.T) {
	is := is.New(t)
	const step = 10 * time.Millisecond
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		between := func(least, most time.Duration) time.Duration {
			return least + time.Duration(random.Int64N(int64(most-least)+1))
		}
		var source, reader, other aggregator.Atlas
		var picture aggregator.Picture
		var pictureAt time.Time
		combineAt, askAt, pollAt := start, start.Add(between(0, time.Second)), start.Add(between(0, time.Second))
		failed, known := false, false
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			if !now.Before(combineAt) {
				source.Set(now, 0, aggregator.Summary{AvailabilityZone: "b"})
				combineAt = combineAt.Add(time.Second)
			}
			if !now.Before(askAt) {
				if failed = !failed && random.IntN(4) == 0; !failed {
					reader.SetPicture(now, 0, source.Picture(now))
				}
				picture, pictureAt = reader.Picture(now), now
				askAt = askAt.Add(time.Second)
			}
			if !now.Before(pollAt) {
				other.SetPicture(now, now.Sub(pictureAt), picture)
				pollAt = now.Add(between(900*time.Millisecond, 1500*time.Millisecond))
			}
			_, knows := other.Picture(now).Zones["b"]
			is.True(knows || !known) // the zone was lost
			known = known || knows
		}
		is.True(known)
	}
}
