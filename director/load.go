package director

import (
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

// minRoundGap is less than the time between two rounds in which a zone's reports are combined, and
// more than the error of a Summary's age.
const minRoundGap = 500 * time.Millisecond

// SetPicture applies what the balancers of all availability zones observe of the load. A
// zone that the picture lacks is unknown; decisions then follow from what this balancer
// observes itself.
//
// Load pattern: the same Summaries arrive twice, and what they say must not count as two seconds
// of too much demand.
func (d *Director) SetPicture(now time.Time, p aggregator.Picture) {
	d.picture = p
	var combinedAt time.Time
	for _, s := range p.Zones {
		if at := now.Add(-s.Age); at.After(combinedAt) {
			combinedAt = at
		}
	}
	if combinedAt.Sub(d.load.combinedAt) >= minRoundGap {
		d.load.pictureAt, d.load.combinedAt = now, combinedAt
	}
	d.applySpeeds(now)
}

// recordOpening counts a new flow that callers offered.
func (d *Director) recordOpening(_ time.Time, class aggregator.Class, turnedAway bool) {
	own := d.load.ownOf(class)
	own.openings++
	d.recorder.RecordOpening(class)
	if turnedAway {
		own.turnedAway++
		d.recorder.RecordRejection(class)
	}
}

// TakeReport returns what this balancer observed since the last call. The caller sets the
// report's names and clock.
func (d *Director) TakeReport(now time.Time) aggregator.Report { return d.recorder.Take(now) }

// KnowsService reports whether targets of a service are or were registered, or the configuration
// has settings of the service.
func (d *Director) KnowsService(name string) bool {
	_, configured := d.services[name]
	return configured || d.pools[name] != nil
}

// KnowsTarget reports whether a target of a service is registered, or was until recently.
func (d *Director) KnowsTarget(id uint64, service string) bool {
	m, known := d.tokens.Get(id)
	return known && m.Service == service
}

// recordRequests counts a request that a packet begins, or whose answer it acknowledges.
func (d *Director) recordRequests(seen observation, m *member, urgency int) {
	if !seen.requestBegan && !seen.answered {
		return
	}
	class := aggregator.Class{Service: m.Service, Urgency: urgency}
	if seen.answered {
		d.recorder.RecordAnswer(class, m.ID, seen.requestTime)
	}
	if seen.requestBegan {
		d.load.ownOf(class).requests++
		d.recorder.RecordRequest(class, m.ID)
	}
}
