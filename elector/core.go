// Package elector elects one balancer at a time as the holder of a role, by a lease
// in the platform's store. Writes of the role's state carry a fencing token, so that
// the write of a holder that was paused past the end of its lease is rejected.
//
// Core decides whether the lease is provably still held, and which parameters a write
// must carry. It reads no clock and does no input or output. Elector calls the store
// and reports the results to a Core.
//
// # Usage
//
//	e := elector.New(store, "planner", "balancer-07")
//	group.Go(func() error { return e.Run(ctx) })
//	...
//	err := e.Write(ctx, plan)
//	var notHolder *elector.NotHolderError
//	if errors.As(err, &notHolder) {
//		// This balancer does not hold the role; nothing was written.
//	}
package elector

import "time"

// Step is the next action of a candidate.
type Step int

// The steps, in the order in which a candidate takes them.
const (
	// AcquireRole means that the candidate does not hold the role and may try to
	// acquire it.
	AcquireRole Step = iota
	// ReadState means that the role's state has to be read.
	ReadState
	// ClaimState means that the role's state has to be written with the candidate's
	// own fencing token, so that delayed writes of earlier holders fail.
	ClaimState
	// Ready means that the holder may write the role's state.
	Ready
)

// WriteParams holds the parameters of one write of the role's state.
type WriteParams struct {
	fence uint64
	index uint64
}

// Fence returns the fencing token of the holder, which is larger for each later holder.
func (w WriteParams) Fence() uint64 { return w.fence }

// Index returns the store index of the state that was read last. The write must only
// take effect if the state still has this index.
func (w WriteParams) Index() uint64 { return w.index }

// Core is the state machine of one candidate for a role. The zero value never holds
// the role, since its lease has no duration; use NewCore. A Core is not safe for use
// from several goroutines.
type Core struct {
	ttl    time.Duration
	margin time.Duration
	// leaseEnd is until when the lease is provably held.
	leaseEnd time.Time
	// fence is the fencing token of the role; 0 means that it was not acquired.
	fence uint64
	// stateIndex is the store index of the role's state, valid while stateRead is true.
	stateIndex uint64
	stateRead  bool
	// stateClaimed says that the state has been written with fence.
	stateClaimed bool
}

// NewCore returns a Core that treats its lease as held until ttl less margin after the
// last renewal was sent. The margin allows for clocks that run at different rates.
func NewCore(ttl, margin time.Duration) Core {
	return Core{ttl: ttl, margin: margin}
}

// LeaseRenewed records that a call sent at the time sent has renewed the lease. The
// lease is measured from this time, since the platform processed the call after it.
func (c *Core) LeaseRenewed(sent time.Time) {
	if until := sent.Add(c.ttl - c.margin); until.After(c.leaseEnd) {
		c.leaseEnd = until
	}
}

// RoleAcquired records that the role was acquired with the given fencing token.
func (c *Core) RoleAcquired(fence uint64) {
	c.fence = fence
	c.stateRead = false
	c.stateClaimed = false
}

// LeaseLost records that the lease has ended, or that another candidate has taken the
// role over.
func (c *Core) LeaseLost() {
	*c = NewCore(c.ttl, c.margin)
}

// Holds reports whether the candidate provably holds the role at the time now.
func (c *Core) Holds(now time.Time) bool {
	return c.fence > 0 && now.Before(c.leaseEnd)
}

// Fence returns the fencing token of the role; 0 means that the role was not acquired
// or was lost.
func (c *Core) Fence() uint64 { return c.fence }

// NextStep returns the next action of the candidate at the time now.
func (c *Core) NextStep(now time.Time) Step {
	switch {
	case !c.Holds(now):
		return AcquireRole
	case !c.stateRead:
		return ReadState
	case !c.stateClaimed:
		return ClaimState
	}
	return Ready
}

// StateRead records the fencing token and store index of the role's state, as read from
// the store. The role is lost if a later holder has written the state.
func (c *Core) StateRead(fence, index uint64) {
	if fence > c.fence {
		c.LeaseLost()
		return
	}
	c.stateRead = true
	c.stateClaimed = fence == c.fence
	c.stateIndex = index
}

// WriteSent records that a write of the state was sent. The state has to be read again
// before the next write, whether the write took effect, failed or got no answer.
func (c *Core) WriteSent() {
	c.stateRead = false
}

// PrepareWrite returns the parameters of a write at the time now. It returns false
// unless the candidate provably holds the role and has read the state. It is used both
// for ClaimState and for writes of a holder that is Ready.
func (c *Core) PrepareWrite(now time.Time) (WriteParams, bool) {
	if !c.Holds(now) || !c.stateRead {
		return WriteParams{}, false
	}
	return WriteParams{fence: c.fence, index: c.stateIndex}, true
}
