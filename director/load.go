package director

import (
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

// SetPicture applies what the balancers of all availability zones observe of the load. A
// zone that the picture lacks is unknown; decisions then follow from what this balancer
// observes itself.
func (d *Director) SetPicture(now time.Time, p aggregator.Picture) {
	d.picture, d.pictureAt = p, now
	d.applySpeeds(now)
}
