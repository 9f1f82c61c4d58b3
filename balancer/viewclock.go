package balancer

import (
	"time"

	"golang.org/x/sys/unix"
)

// newViewClock returns bootTime, or time.Now on a kernel without that clock.
func newViewClock() func() time.Time {
	if bootTime().IsZero() {
		return time.Now
	}
	return bootTime
}

// bootTime returns the time since the VM's boot, as a time that differences can be taken
// of. Unlike the clock of time.Now it goes on while the VM is suspended. It returns the
// zero time if the kernel lacks this clock.
func bootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Time{}
	}
	return time.Unix(t.Unix())
}

// maxBeatGap is the time between two beats from which on the process stood still in
// between. It beats at least every tickInterval while it runs.
const maxBeatGap = 2 * tickInterval

// pulse measures for how long a process stands still, because it or its VM is frozen.
type pulse struct {
	last       time.Time
	stoodStill time.Duration
}

// beat records that the process runs.
func (p *pulse) beat(now time.Time) {
	if gap := now.Sub(p.last); !p.last.IsZero() && gap > maxBeatGap {
		p.stoodStill += gap
	}
	p.last = now
}

// take beats, and returns for how long the process has stood still since the last call.
func (p *pulse) take(now time.Time) time.Duration {
	p.beat(now)
	stoodStill := p.stoodStill
	p.stoodStill = 0
	return stoodStill
}
