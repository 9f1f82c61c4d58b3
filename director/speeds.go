package director

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
)

const (
	// minSpeed is the least speed that a Summary may give a target, so that a wrong one
	// takes no target out.
	minSpeed = 0.1
	// speedTTL is how long speeds are used without a new Picture, which comes once a second.
	speedTTL = 5 * time.Second
	// newTargetTime is the time after a target was added in which its speed is 1: reports
	// may be about an earlier run.
	newTargetTime = 3 * time.Second
	// slowSpeed is the speed below which a target is reported as slow, and steadySpeed that
	// above which it is no longer.
	slowSpeed   = 0.5
	steadySpeed = 0.8
	// maxSpeedChanges bounds the SpeedChanges that wait for TakeSpeedChanges.
	maxSpeedChanges = 1000
)

// SpeedChange says that a target became slow, or that it is no longer slow.
type SpeedChange struct {
	Target string
	Speed  float64
	Slow   bool
}

// setSpeed sets the speed of the target, and with it its weight.
func (m *member) setSpeed(speed float64) {
	m.ownSpeed = speed
	m.openingWeight = m.slots() * speed
}

// speed returns how fast the target is in relation to the other targets of its service,
// greater than 0 and at most 1.
func (m *member) speed() float64 { return m.ownSpeed }

// applySpeeds sets the speeds of all targets by the picture. Flows that are open stay.
//
// Load pattern: targets get several times as slow, and callers wait for them while other
// targets have free slots.
func (d *Director) applySpeeds(now time.Time) {
	d.speedsAt = now
	for _, m := range d.byName {
		speed := 1.0
		if !now.Before(m.coldUntil) && now.Sub(m.addedAt) >= newTargetTime {
			speed = d.reportedSpeed(m)
		}
		m.setSpeed(speed)
		d.noteSpeed(m)
	}
}

// reportedSpeed returns the lower of the speeds by the Summaries of the balancer's own zone and
// of the target's zone. Most requests of a target come from its own zone, unless most callers
// are in another one; then only the balancers there see that it is slow. What a third zone
// observes may be due to its links to the target.
func (d *Director) reportedSpeed(m *member) float64 {
	return min(speedIn(d.picture.Zones[d.zone], m.ID), speedIn(d.picture.Zones[m.AvailabilityZone], m.ID))
}

// speedIn returns the speed of a target by a Summary. It is 1 if the Summary gives none or one
// that is out of range.
func speedIn(s aggregator.Summary, id uint64) float64 {
	if speed, known := s.Speeds[id]; known && speed > 0 && speed < 1 {
		return max(speed, minSpeed)
	}
	return 1
}

// expireSpeeds sets all speeds to 1 if no Picture has come for speedTTL.
func (d *Director) expireSpeeds(now time.Time) {
	if d.speedsAt.IsZero() || now.Sub(d.speedsAt) < speedTTL {
		return
	}
	d.speedsAt = time.Time{}
	for _, m := range d.byName {
		m.setSpeed(1)
		d.noteSpeed(m)
	}
}

// noteSpeed records that a target became slow or is no longer slow.
func (d *Director) noteSpeed(m *member) {
	slow := m.speed() < slowSpeed || m.slow && m.speed() <= steadySpeed
	if slow == m.slow {
		return
	}
	m.slow = slow
	if len(d.speedChanges) < maxSpeedChanges {
		d.speedChanges = append(d.speedChanges, SpeedChange{Target: m.Name, Speed: m.speed(), Slow: slow})
	}
}

// TakeSpeedChanges returns the changes since the last call, by the names of their targets.
func (d *Director) TakeSpeedChanges() []SpeedChange {
	changes := d.speedChanges
	d.speedChanges = nil
	slices.SortStableFunc(changes, func(a, b SpeedChange) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}
