package encapsulator

import (
	"sync"
	"time"
)

// deadline is a read deadline, whose expiry closes a channel. The zero value never
// expires.
type deadline struct {
	mu             sync.Mutex
	timer          *time.Timer
	closedOnExpiry chan struct{}
}

// expired returns the channel that is closed when the deadline expires.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.channel()
}

// channel returns the current channel and creates it if there is none; d.mu is held.
func (d *deadline) channel() chan struct{} {
	if d.closedOnExpiry == nil {
		d.closedOnExpiry = make(chan struct{})
	}
	return d.closedOnExpiry
}

// set changes the deadline to t; the zero time removes it. If the previous deadline
// has not expired, waiting readers keep their channel and get the new deadline. If
// it has expired, its channel is closed, and later readers get a new one.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	done := d.channel()
	select {
	case <-done:
		d.closedOnExpiry = make(chan struct{})
		done = d.closedOnExpiry
	default:
	}
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		close(done)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() { d.expire(timer, done) })
	d.timer = timer
}

// expire closes the channel, unless set has replaced the timer in the meantime.
func (d *deadline) expire(timer *time.Timer, done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer == timer {
		close(done)
	}
}
