// Package limiter limits how many flows a newly started target gets during its ramp.
//
// Operators set how many flows a new target may hold at first and how long its ramp
// lasts. The limit grows linearly over the ramp. It is divided into a fixed number
// of shares, and rendezvous hashing assigns each share to one of the ready
// balancers of the group, its holder. A balancer opens flows on its shares only
// while all live balancers report the same set of holders, and its own set has not
// changed for detector.RemoveTimeout.
//
// When a share moves to another balancer, the new holder may use only the growth
// from then on, because the previous holder may have used everything before that.
// The sum over all balancers therefore never exceeds the limit, also when balancers
// die, join or freeze. Because shares, not balancers, divide the limit, a limit
// smaller than the number of balancers can still be used. If the group is
// partitioned, at most one partition continues to open flows: see HasMajority.
//
// # Usage
//
//	l := limiter.New(self)
//	l.SetHolders(now, limiter.Holders(self, ready, members))
//	l.SetAgreement(now, sameHolders, allAgreed)
//	l.StartRamp(now, target, ramp) // before any balancer opens a flow on the target
//	if l.TakeFlow(now, target, service.ColdStart(), age) {
//		…
//	}
//
// A Limiter reads no clock and is not safe for concurrent use.
package limiter

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// rampFactor is the limit at the end of a ramp, as a multiple of the limit at its
	// start.
	rampFactor = 100
	// shareCount is the number of shares that a limit is divided into.
	shareCount = 64
)

// Limiter holds one balancer's shares of the limits of all targets.
type Limiter struct {
	self tracker.MemberID
	// holders are the balancers that hold shares, in ascending order.
	holders        []tracker.MemberID
	holdersChanged time.Time
	// active says whether this balancer may open flows on its shares.
	active  bool
	history holderHistory
	limits  map[planner.TargetID]*targetLimit
}

// targetLimit holds this balancer's shares of one target's limit, by share index.
type targetLimit struct {
	started time.Time
	shares  map[int]*share
}

// share is one share of a target's limit.
type share struct {
	// initial says that this balancer has held the share since the limit started, so
	// that it may use the whole share.
	initial bool
	// growsFrom is the time from which the growth of a share taken over from another
	// holder may be used. Zero means that none of it may be used yet.
	growsFrom time.Time
	// used is the number of flows opened on this share. It has fractions, because one
	// flow may be counted partly on each of several shares.
	used float64
}

// New returns a Limiter for the balancer self, which holds no shares yet.
func New(self tracker.MemberID) *Limiter {
	return &Limiter{self: self, limits: make(map[planner.TargetID]*targetLimit)}
}

// Holders returns the ready balancers in ascending order: those in members, the
// other live balancers, and self if ready is set.
func Holders(self tracker.MemberID, ready bool, members []detector.Member) []tracker.MemberID {
	var ids []tracker.MemberID
	if ready {
		ids = append(ids, self)
	}
	for _, m := range members {
		if m.State() == detector.Ready {
			ids = append(ids, m.ID())
		}
	}
	slices.Sort(ids)
	return ids
}

// Digest returns a hash of the holders, so that balancers can compare their sets of
// holders in heartbeats.
func Digest(holders []tracker.MemberID) uint32 {
	key := make([]byte, 0, len(holders)*binary.Size(tracker.MemberID(0)))
	for _, id := range holders {
		key = binary.BigEndian.AppendUint32(key, uint32(id))
	}
	return uint32(xxhash.Sum64(key))
}

// SetHolders sets the balancers that hold shares, in ascending order, as this
// balancer sees them. A balancer that may not decide must leave itself out. If the
// holders changed, no share may be used until SetAgreement permits it.
func (l *Limiter) SetHolders(now time.Time, ids []tracker.MemberID) {
	if slices.Equal(ids, l.holders) {
		return
	}
	l.holders = slices.Clone(ids)
	l.holdersChanged = now
	l.active = false
	majority := l.HasMajority(now)
	for target, limit := range l.limits {
		if !majority {
			// Another partition may have reassigned these shares.
			limit.shares = nil
		}
		limit.shares = l.heldShares(target, limit.shares)
	}
}

// SetAgreement updates whether this balancer may use its shares. sameHolders says that
// this balancer and all other live ones report the same holders and that all ready
// ones satisfy HasMajority. allAgreed says that HasAgreed holds on every other ready
// balancer.
func (l *Limiter) SetAgreement(now time.Time, sameHolders, allAgreed bool) {
	stable := sameHolders && now.Sub(l.holdersChanged) >= detector.RemoveTimeout
	if stable {
		l.recordAgreed(now)
	}
	l.active = stable && allAgreed
	if !l.active {
		return
	}
	l.recordUsed(now)
	for _, limit := range l.limits {
		limit.startGrowth(now)
	}
}

// startGrowth makes the growth from now on available for all shares that were taken
// over and have not started to grow.
func (t *targetLimit) startGrowth(now time.Time) {
	for _, s := range t.shares {
		if !s.initial && s.growsFrom.IsZero() {
			s.growsFrom = now
		}
	}
}

// Active reports whether this balancer may use its shares.
func (l *Limiter) Active() bool { return l.active }

// StartRamp starts the ramp of a target's limit. If the target's last limit started less
// than ramp ago, that limit goes on and the flows counted on it still count. StartRamp
// must be called on every live balancer before any of them calls TakeFlow for the
// target.
func (l *Limiter) StartRamp(now time.Time, target planner.TargetID, ramp time.Duration) {
	limit := l.limits[target]
	if limit != nil && now.Sub(limit.started) < ramp {
		return
	}
	limit = &targetLimit{started: now, shares: l.heldShares(target, nil)}
	for _, s := range limit.shares {
		s.initial = l.active
	}
	l.limits[target] = limit
}

// StopRamp ends the ramp of a target and removes its limit.
func (l *Limiter) StopRamp(target planner.TargetID) { delete(l.limits, target) }

// TakeFlow reports whether this balancer may open one more flow on a target, and if so
// counts the flow. age is the time since the target began to accept new flows. A counted
// flow stays counted, even after it closes.
func (l *Limiter) TakeFlow(now time.Time, target planner.TargetID, c operator.ColdStart, age time.Duration) bool {
	if l.RampEnded(c, age) {
		return true
	}
	if !l.active {
		return false
	}
	if l.limits[target] == nil {
		l.adoptLimit(now, target)
	}
	return l.limits[target].takeFlow(c, now, age)
}

// takeFlow counts one flow if the shares together have capacity left for it. The flow is
// divided among the shares with capacity.
func (t *targetLimit) takeFlow(c operator.ColdStart, now time.Time, age time.Duration) bool {
	available := 0.0
	for i := range shareCount {
		available += t.shares[i].available(c, i, now, age)
	}
	if available < 1 {
		return false
	}
	remaining := 1.0
	for i := range shareCount {
		part := min(remaining, t.shares[i].available(c, i, now, age))
		if part > 0 {
			t.shares[i].used += part
			remaining -= part
		}
	}
	return true
}

// adoptLimit adds a target's limit that started before this balancer knew of it. Its
// shares count as taken over from other holders.
func (l *Limiter) adoptLimit(now time.Time, target planner.TargetID) {
	limit := &targetLimit{started: now, shares: l.heldShares(target, nil)}
	limit.startGrowth(now)
	l.limits[target] = limit
}

// RampEnded reports whether a target that began to accept new flows age ago is no longer
// limited: its ramp is over, or c sets no limit.
func (l *Limiter) RampEnded(c operator.ColdStart, age time.Duration) bool {
	return c.Flows == 0 || age >= time.Duration(c.Ramp)
}

// heldShares returns the shares of a target that this balancer holds, by index. It
// keeps the state of shares in previous and adds the others as taken over.
func (l *Limiter) heldShares(target planner.TargetID, previous map[int]*share) map[int]*share {
	held := make(map[int]*share)
	for i := range shareCount {
		if l.shareHolder(target, i) != l.self {
			continue
		}
		held[i] = previous[i]
		if held[i] == nil {
			held[i] = &share{}
		}
	}
	return held
}

// shareHolder returns the holder of one share, chosen by rendezvous hashing, or 0 if
// there are no holders.
func (l *Limiter) shareHolder(target planner.TargetID, index int) tracker.MemberID {
	var best tracker.MemberID
	var highest uint64
	var key [12]byte
	binary.BigEndian.PutUint32(key[:], uint32(target))
	binary.BigEndian.PutUint32(key[4:], uint32(index))
	for _, id := range l.holders {
		binary.BigEndian.PutUint32(key[8:], uint32(id))
		score := xxhash.Sum64(key[:])
		if best == 0 || score > highest {
			best, highest = id, score
		}
	}
	return best
}

// available returns how many more flows may be opened on a share; a nil share has
// none. The number has fractions and is rounded only in sums, so that the shares add
// up to the whole limit.
func (s *share) available(c operator.ColdStart, index int, now time.Time, age time.Duration) float64 {
	if s == nil {
		return 0
	}
	rate := float64(c.Flows) * (rampFactor - 1) / shareCount / float64(c.Ramp)
	switch {
	case s.initial:
		return max(initialFlows(c.Flows, index)+rate*float64(age)-s.used, 0)
	case s.growsFrom.IsZero():
		return 0
	default:
		return max(rate*float64(min(now.Sub(s.growsFrom), age))-s.used, 0)
	}
}

// initialFlows returns how many of the flows allowed at the start of a ramp belong to
// the share with this index. It divides them into whole flows.
func initialFlows(flows, index int) float64 {
	n := flows / shareCount
	if index < flows%shareCount {
		n++
	}
	return float64(n)
}
