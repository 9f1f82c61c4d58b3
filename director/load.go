package director

import (
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

// SetPicture applies what the balancers of all availability zones observe of the load. A
// zone that the picture lacks is unknown; decisions then follow from what this balancer
// observes itself.
func (d *Director) SetPicture(now time.Time, p aggregator.Picture) {
	d.picture, d.load.pictureAt = p, now
	d.applySpeeds(now)
}

// recordOpening counts a new flow that callers offered.
func (d *Director) recordOpening(_ time.Time, class aggregator.Class, turnedAway bool) {
	own := d.load.ownOf(class)
	own.openings++
	if turnedAway {
		own.turnedAway++
	}
}

// recordRequest counts a request that began.
func (d *Director) recordRequest(class aggregator.Class) { d.load.ownOf(class).requests++ }
