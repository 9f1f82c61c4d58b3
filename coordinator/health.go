package coordinator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/activator"
	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// probers is how many balancers probe each target.
	probers = 2
	// downHoldOff is how long a target that another balancer found serving is not
	// declared down again: only the path to it may be broken.
	downHoldOff = 10 * time.Second
)

// The bits of a digest that say what the limiter of the balancer says of the
// holders; the others are the digest of holders and notes.
const (
	majorityBit = 1 << iota
	agreedBit
	limiterBits = majorityBit | agreedBit
)

// agreement is what this balancer must have in common with all live ones before
// it holds openings back or, with a majority everywhere, uses its shares of limits.
type agreement struct {
	digest   uint32
	same     bool
	majority bool
	agreed   bool
	since    time.Time
}

// update takes the digests of this and the other live balancers.
func (a *agreement) update(now time.Time, digest uint32, members []detector.Member) {
	same, majority, agreed := true, digest&majorityBit != 0, true
	for _, m := range members {
		same = same && m.Digest()|limiterBits == digest|limiterBits
		if m.State() != detector.Ready {
			continue // It holds no share.
		}
		majority = majority && m.Digest()&majorityBit != 0
		agreed = agreed && m.Digest()&agreedBit != 0
	}
	if same != a.same || digest|limiterBits != a.digest|limiterBits {
		a.since = now
	}
	*a = agreement{digest: digest, same: same, majority: majority, agreed: agreed, since: a.since}
}

// settled reports whether the agreement is old enough for an opening that is sent
// again to have been dropped, like its first copy.
func (a *agreement) settled(now time.Time) bool {
	return a.same && now.Sub(a.since) >= activator.PrepareTime
}

// agree compares the holders of shares and the notes with those of all others.
func (c *Coordinator) agree(now time.Time) {
	ready := c.detector.State() == detector.Ready && c.detector.Permitted(now)
	members := c.detector.Members(now)
	holders := limiter.Holders(c.self, ready, members)
	notes := c.spread(now)
	key := binary.BigEndian.AppendUint32(nil, limiter.Digest(holders))
	c.limiter.SetHolders(now, holders)
	digest := digestOf(appendNotes(key, notes)) &^ limiterBits
	if c.limiter.Majority(now) {
		digest |= majorityBit
	}
	if c.limiter.Agreed() {
		digest |= agreedBit
	}
	c.detector.SetDigest(digest)
	c.detector.SetNotes(notes)
	c.agreement.update(now, digest, members)
	c.limiter.SetAgreed(now, ready && c.agreement.same && c.agreement.majority, c.agreement.agreed)
	c.tracker.SetNoted(c.holds(now), c.agreement.settled(now))
}

// ToProbe returns the targets that this balancer probes, in order.
func (c *Coordinator) ToProbe(now time.Time) []*planner.Target {
	active := c.tracker.Active()
	if active == nil || c.detector.State() != detector.Ready {
		return nil
	}
	holders := limiter.Holders(c.self, true, c.detector.Members(now))
	var mine []*planner.Target
	for id, target := range active.Targets() {
		if target.TakesFlows() && target.Health().IsValid() && probes(c.self, id, holders) {
			mine = append(mine, target)
		}
	}
	slices.SortFunc(mine, func(a, b *planner.Target) int { return cmp.Compare(a.ID(), b.ID()) })
	return mine
}

// probes reports whether a balancer ranks among the first for a target.
func probes(self tracker.MemberID, target planner.TargetID, holders []tracker.MemberID) bool {
	ahead := 0
	own := probeScore(self, target)
	for _, id := range holders {
		if probeScore(id, target) > own {
			ahead++
		}
	}
	return ahead < probers
}

func probeScore(id tracker.MemberID, target planner.TargetID) uint64 {
	key := binary.BigEndian.AppendUint32(nil, uint32(target))
	return xxhash.Sum64(binary.BigEndian.AppendUint32(key, uint32(id)))
}

// Probed takes the outcome of a probe.
func (c *Coordinator) Probed(now time.Time, target planner.TargetID, p assessor.Probe) {
	verdict, complete := c.assessor.Observe(target, p)
	if !complete || c.detector.State() != detector.Ready || !c.knowsTarget(target) {
		return
	}
	held := c.notes[target]
	if condition, news := judge(now, held, verdict); news {
		c.raise(now, held, target, condition, verdict.Started())
	}
}

// judge returns the condition that a verdict gives a target, and whether it is
// news: the note that is held may know more than this balancer's own evidence.
func judge(now time.Time, held heldNote, v assessor.Verdict) (detector.Condition, bool) {
	started := unixMilli(v.Started())
	switch {
	case v.Condition() == detector.Down:
		heldOff := held.takesBack() && now.Sub(held.since) < downHoldOff
		return detector.Down, held.Condition != detector.Down && !heldOff
	case held.Version == 0:
		return v.Condition(), v.Condition() == detector.Cold
	case started > held.StartedUnixMs:
		return detector.Cold, true
	case held.Condition != detector.Down:
		return held.Condition, false
	case started != 0 && started == held.StartedUnixMs:
		return detector.Serving, true
	default:
		// It answers again, but nothing shows that it is the same incarnation.
		return detector.Cold, true
	}
}

// takesBack reports whether the note ends an earlier one.
func (n heldNote) takesBack() bool { return n.Version > 0 && n.Condition == detector.Serving }

// raise makes a new note of a target.
func (c *Coordinator) raise(now time.Time, held heldNote, target planner.TargetID, condition detector.Condition, started time.Time) {
	c.hold(now, detector.Note{
		Target:        target,
		StartedUnixMs: max(unixMilli(started), held.StartedUnixMs),
		Version:       held.Version + 1,
		Condition:     condition,
	})
	c.agree(now)
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// startLimits begins the limits of the targets that a newly prepared plan makes
// fresh, before any balancer can put it in force.
func (c *Coordinator) startLimits(now time.Time, before *planner.Plan, prepared *planner.Plan) {
	if before == nil {
		return
	}
	for id, target := range prepared.Targets() {
		earlier := before.Target(id)
		service := prepared.ServiceByID(target.Service())
		if service != nil && target.TakesFlows() && (earlier == nil || !earlier.TakesFlows()) {
			c.limiter.Start(now, id, time.Duration(service.ColdStart().Ramp))
		}
	}
}
