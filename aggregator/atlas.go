package aggregator

import (
	"slices"
	"time"
)

const (
	// SummaryTTL is how long after it was combined a Summary counts. It is up to 1.4 s old when a
	// reader of another zone asks for it, which asks again after 1 s, or 2 s if a request fails.
	// Balancers of that zone ask their reader again after up to 1.5 s.
	SummaryTTL = 5 * time.Second
	// maxZones limits the zones of a Picture.
	maxZones = 64
	// distanceTTL is how long a measured round-trip time counts. Waits at a busy reader or
	// link come and go within it; the way doesn't change.
	distanceTTL = time.Minute
)

// Atlas holds the latest Summary of each zone. The zero Atlas has none. It is not safe for
// concurrent use.
type Atlas struct {
	zones     map[string]Summary
	combined  map[string]time.Time
	distances map[string][]distance
}

type distance struct {
	at        time.Time
	roundTrip time.Duration
}

// Set adds a Summary that arrived at now, unless a later one of its zone is known. age is the
// time since the Summary had its Age, at most.
func (a *Atlas) Set(now time.Time, age time.Duration, s Summary) {
	combinedAt := now.Add(-age - s.Age)
	before, known := a.combined[s.AvailabilityZone]
	if known && before.After(combinedAt) || !known && len(a.zones) >= maxZones || now.Sub(combinedAt) > SummaryTTL {
		return
	}
	if a.zones == nil {
		a.zones, a.combined = make(map[string]Summary), make(map[string]time.Time)
	}
	a.zones[s.AvailabilityZone], a.combined[s.AvailabilityZone] = s, combinedAt
}

// SetPicture adds the Summaries of a Picture, as Set does.
func (a *Atlas) SetPicture(now time.Time, age time.Duration, p Picture) {
	for _, s := range p.Zones {
		a.Set(now, age, s)
	}
}

// Picture returns the Summaries that aren't too old, and forgets the others.
func (a *Atlas) Picture(now time.Time) Picture {
	p := Picture{Zones: make(map[string]Summary, len(a.zones))}
	for zone, s := range a.zones {
		s.Age = now.Sub(a.combined[zone])
		if s.Age > SummaryTTL {
			delete(a.zones, zone)
			delete(a.combined, zone)
			continue
		}
		p.Zones[zone] = s
	}
	return p
}

// Measure notes the round-trip time of a request to a zone, and returns the least of the last
// minute.
func (a *Atlas) Measure(now time.Time, zone string, roundTrip time.Duration) time.Duration {
	if a.distances == nil {
		a.distances = make(map[string][]distance)
	}
	// Those that are neither newer nor shorter than the new one will never be the least.
	list := slices.DeleteFunc(a.distances[zone], func(d distance) bool {
		return now.Sub(d.at) > distanceTTL || d.roundTrip >= roundTrip
	})
	list = append(list, distance{at: now, roundTrip: roundTrip})
	a.distances[zone] = list
	return list[0].roundTrip
}
