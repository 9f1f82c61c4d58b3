package wrapper

import (
	"sync"
	"time"
)

// deadline is a moment whose passing closes a channel; its zero value has none.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.channel()
}

func (d *deadline) channel() chan struct{} {
	if d.done == nil {
		d.done = make(chan struct{})
	}
	return d.done
}

// set moves the deadline; a reader that waits sees a deadline that is moved
// before it expired, and one that expired is followed by a new channel.
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
		d.done = make(chan struct{})
		done = d.done
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

func (d *deadline) expire(timer *time.Timer, done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer == timer {
		close(done)
	}
}
