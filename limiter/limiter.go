// Package limiter says how many flows a freshly started target may still get
// from this balancer.
//
// The operators name how many flows a fresh target may hold and how long its
// ramp lasts. The limit grows linearly over the ramp, in a fixed number of shares,
// each of which one balancer of the group holds, by rendezvous hashing over those
// that are ready. A balancer uses its shares only while all live balancers report
// the same holders, and its own view has not changed for detector.RemoveAge. A
// share that changes hands carries over nothing: the new holder gets only what the
// limit grows by from then on, since the earlier one may have used all the rest.
// So the sum over all balancers never exceeds the limit, whoever dies, joins or
// freezes, and limits smaller than the number of balancers remain usable. Where a
// group is cut in two, one part at most goes on: see Majority.
//
// # Usage
//
//	l := limiter.New(self)
//	l.SetHolders(now, limiter.Holders(self, ready, members))
//	l.SetAgreed(now, same, agreed)
//	l.Start(now, target, ramp) // before any balancer opens a flow on it
//	if l.Take(now, target, service.ColdStart(), age) {
//		…
//	}
//
// A Limiter reads no clock and is not safe for use from several goroutines.
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
	// rampFactor is how many times the first limit is reached at the end of a ramp.
	rampFactor = 100
	// shares is the number of shares of a limit.
	shares = 64
)

// Limiter holds one balancer's shares of the limits.
type Limiter struct {
	self    tracker.MemberID
	holders []tracker.MemberID
	changed time.Time
	acting  bool
	history history
	targets map[planner.TargetID]*limit
}

// limit is this balancer's part of one target's limit.
type limit struct {
	started time.Time
	held    map[int]*share
}

// share is a part of one target's limit that this balancer holds.
type share struct {
	// first says that nobody held the share since the target is fresh.
	first bool
	// from is since when another holder's share may be used; zero stands for not yet.
	from time.Time
	// used counts flows that were opened; one may be split over several shares.
	used float64
}

// New returns a Limiter of the balancer self, which holds no share yet.
func New(self tracker.MemberID) *Limiter {
	return &Limiter{self: self, targets: make(map[planner.TargetID]*limit)}
}

// Holders returns the ready balancers among the live ones and self, in order.
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

// Digest returns a digest of the holders, by which balancers compare their views.
func Digest(holders []tracker.MemberID) uint32 {
	key := make([]byte, 0, len(holders)*binary.Size(tracker.MemberID(0)))
	for _, id := range holders {
		key = binary.BigEndian.AppendUint32(key, uint32(id))
	}
	return uint32(xxhash.Sum64(key))
}

// SetHolders sets who holds shares, as this balancer sees it. A balancer that is
// not permitted to decide must not count itself.
func (l *Limiter) SetHolders(now time.Time, ids []tracker.MemberID) {
	if slices.Equal(ids, l.holders) {
		return
	}
	l.holders = slices.Clone(ids)
	l.changed = now
	l.acting = false
	majority := l.Majority(now)
	for target, m := range l.targets {
		if !majority {
			m.held = nil // Others may hold these shares by now.
		}
		m.held = l.hold(target, m.held)
	}
}

// SetAgreed says whether all live balancers report the same holders now and have
// a Majority, and whether all the others have Agreed.
func (l *Limiter) SetAgreed(now time.Time, same, agreed bool) {
	settled := same && now.Sub(l.changed) >= detector.RemoveAge
	if settled {
		l.noteView(now)
	}
	l.acting = settled && agreed
	if !l.acting {
		return
	}
	l.useView(now)
	for _, m := range l.targets {
		m.use(now)
	}
}

// use lets the shares that were taken over grow from now on.
func (m *limit) use(now time.Time) {
	for _, s := range m.held {
		if !s.first && s.from.IsZero() {
			s.from = now
		}
	}
}

// Acting reports whether this balancer may use its shares.
func (l *Limiter) Acting() bool { return l.acting }

// Start begins a limit with that ramp, unless one is under way: what was taken of
// it still counts. It must be called on every live balancer before any of them
// takes from the limit.
func (l *Limiter) Start(now time.Time, target planner.TargetID, ramp time.Duration) {
	m := l.targets[target]
	if m != nil && now.Sub(m.started) < ramp {
		return
	}
	m = &limit{started: now, held: l.hold(target, nil)}
	for _, s := range m.held {
		s.first = l.acting
	}
	l.targets[target] = m
}

// Stop ends a limit.
func (l *Limiter) Stop(target planner.TargetID) { delete(l.targets, target) }

// Take reports whether a target which has taken flows for the time age may get
// one more from this balancer, and counts it. What was taken is never given back.
func (l *Limiter) Take(now time.Time, target planner.TargetID, c operator.ColdStart, age time.Duration) bool {
	if l.Ended(c, age) {
		return true
	}
	if !l.acting {
		return false
	}
	if l.targets[target] == nil {
		l.adopt(now, target)
	}
	return l.targets[target].take(c, now, age)
}

// take counts one flow, in parts, to the shares with room, if there is room for
// the whole of it.
func (m *limit) take(c operator.ColdStart, now time.Time, age time.Duration) bool {
	room := 0.0
	for i := range shares {
		room += m.held[i].room(c, i, now, age)
	}
	if room < 1 {
		return false
	}
	rest := 1.0
	for i := range shares {
		part := min(rest, m.held[i].room(c, i, now, age))
		if part > 0 {
			m.held[i].used += part
			rest -= part
		}
	}
	return true
}

// adopt takes over the shares of a limit that began before this balancer knew.
func (l *Limiter) adopt(now time.Time, target planner.TargetID) {
	m := &limit{started: now, held: l.hold(target, nil)}
	m.use(now)
	l.targets[target] = m
}

// Ended reports whether the ramp is over.
func (l *Limiter) Ended(c operator.ColdStart, age time.Duration) bool {
	return c.Flows == 0 || age >= time.Duration(c.Ramp)
}

// hold returns the shares that this balancer holds; those that it held before
// stay as they are.
func (l *Limiter) hold(target planner.TargetID, before map[int]*share) map[int]*share {
	held := make(map[int]*share)
	for i := range shares {
		if l.holder(target, i) != l.self {
			continue
		}
		held[i] = before[i]
		if held[i] == nil {
			held[i] = &share{}
		}
	}
	return held
}

func (l *Limiter) holder(target planner.TargetID, index int) tracker.MemberID {
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

// room returns how many flows more the holder of a share may open. It is a real
// number: rounded only in sums, the shares add up to the whole limit.
func (s *share) room(c operator.ColdStart, index int, now time.Time, age time.Duration) float64 {
	if s == nil {
		return 0
	}
	rate := float64(c.Flows) * (rampFactor - 1) / shares / float64(c.Ramp)
	switch {
	case s.first:
		return max(firstFlows(c.Flows, index)+rate*float64(age)-s.used, 0)
	case s.from.IsZero():
		return 0
	default:
		return max(rate*float64(min(now.Sub(s.from), age))-s.used, 0)
	}
}

// firstFlows splits the first limit into whole flows.
func firstFlows(flows, index int) float64 {
	n := flows / shares
	if index < flows%shares {
		n++
	}
	return float64(n)
}
