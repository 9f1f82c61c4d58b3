// Package elector gives a role to one balancer at a time by a lease in the
// platform, and fences its writes: a holder that was paused past its lease does
// no harm.
//
// Core is the decision whether the lease is provably still held and what a write
// must carry; it has no clock and does no input or output. Elector is the loop
// around it.
//
// # Usage
//
//	e := elector.New(store, "planner", "balancer-07")
//	group.Go(func() error { return e.Run(ctx) })
//	...
//	err := e.Write(ctx, plan)
//	var not *elector.NotHolderError
//	if errors.As(err, &not) {
//		// Another balancer has the role; nothing was written.
//	}
package elector

import "time"

// Step is what a candidate does next.
type Step int

// The steps, in the order in which a candidate takes them.
const (
	// Acquire means that the role is not held.
	Acquire Step = iota
	// Observe means that the role's state has to be read.
	Observe
	// Claim means that the role's state has to be written with the own fence, so
	// that writes of earlier holders fail.
	Claim
	// Ready means that the state may be written.
	Ready
)

// Write is what a write of the role's state carries.
type Write struct {
	fence uint64
	index uint64
}

// Fence returns the fencing revision, which grows with each holder.
func (w Write) Fence() uint64 { return w.fence }

// Index returns the index that the state must still have.
func (w Write) Index() uint64 { return w.index }

// Core is one candidate for a role. The zero value holds nothing and never will;
// NewCore sets its times. It is for one goroutine.
type Core struct {
	ttl      time.Duration
	margin   time.Duration
	until    time.Time
	fence    uint64
	index    uint64
	observed bool
	claimed  bool
}

// NewCore returns a candidate whose lease lasts ttl from before each renewing
// call was sent, less margin for clocks that run at different rates.
func NewCore(ttl, margin time.Duration) Core {
	return Core{ttl: ttl, margin: margin}
}

// Renewed notes that a call which renewed the lease was sent at sent, before the
// platform saw it.
func (c *Core) Renewed(sent time.Time) {
	if until := sent.Add(c.ttl - c.margin); until.After(c.until) {
		c.until = until
	}
}

// Acquired notes that the role was acquired with a fencing revision.
func (c *Core) Acquired(fence uint64) {
	c.fence = fence
	c.observed = false
	c.claimed = false
}

// Lost notes that the lease has ended.
func (c *Core) Lost() {
	*c = NewCore(c.ttl, c.margin)
}

// Holds reports whether the role is provably held at now.
func (c *Core) Holds(now time.Time) bool {
	return c.fence > 0 && now.Before(c.until)
}

// Fence returns the fencing revision of the role held; 0 means none.
func (c *Core) Fence() uint64 { return c.fence }

// Next returns the next step.
func (c *Core) Next(now time.Time) Step {
	switch {
	case !c.Holds(now):
		return Acquire
	case !c.observed:
		return Observe
	case !c.claimed:
		return Claim
	}
	return Ready
}

// Observed notes the fence and index of the role's state. A state of a later
// holder means that the role is lost.
func (c *Core) Observed(fence, index uint64) {
	if fence > c.fence {
		c.Lost()
		return
	}
	c.observed = true
	c.claimed = fence == c.fence
	c.index = index
}

// Sent notes that the state was written; its index has to be read again, whether
// the write took effect or its answer was lost.
func (c *Core) Sent() {
	c.observed = false
}

// Write returns what a write at now carries; it is false unless the lease is
// provably held and the state was observed. It serves claims as well.
func (c *Core) Write(now time.Time) (Write, bool) {
	if !c.Holds(now) || !c.observed {
		return Write{}, false
	}
	return Write{fence: c.fence, index: c.index}, true
}
