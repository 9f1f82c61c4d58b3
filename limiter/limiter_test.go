package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	ramp = 30 * time.Second
	// rampGrowth is the growth of a limit over its ramp, as a multiple of the limit at
	// the start of the ramp.
	rampGrowth = 99
	// Flags in the low bits of a digest, as the coordinator sends them.
	majorityFlag = 1
	agreedFlag   = 2
	allFlags     = majorityFlag | agreedFlag
)

var target = planner.NewTargetID("bd-01")

// balancer is a simulated balancer with a real detector and a real limiter.
type balancer struct {
	id       tracker.MemberID
	detector *detector.Detector
	limiter  *limiter.Limiter
	// founder says that the balancer was there from the start and needs no state.
	founder  bool
	hasState bool
	// targetStart is when the target began to accept new flows, as far as the balancer knows.
	targetStart time.Time
	dead        bool
	frozen      bool
	// ignoredPeer is the balancer whose heartbeats don't arrive; 0 stands for none.
	ignoredPeer  tracker.MemberID
	partition    int
	limitStarted bool
}

// group runs balancers in virtual time and delivers their heartbeats without a network.
type group struct {
	now time.Time
	// flows is the limit at the start of the ramp.
	flows       int
	opened      int
	targetStart time.Time
	// resetShares gives every holder whole shares whenever it is updated, which breaks
	// the rule that a new holder gets only later growth.
	resetShares bool
	balancers   []*balancer
}

func newGroup(n, flows int) *group {
	g := &group{now: time.Unix(1000, 0), flows: flows}
	for range n {
		g.join().founder = true
	}
	g.advance(10 * time.Second)
	return g
}

func (g *group) join() *balancer {
	id := tracker.MemberID(len(g.balancers) + 1)
	g.balancers = append(g.balancers, &balancer{
		id: id, detector: detector.New(id, 1), limiter: limiter.New(id),
	})
	var ids []tracker.MemberID
	for _, b := range g.balancers {
		ids = append(ids, b.id)
	}
	for _, b := range g.balancers {
		b.detector.SetContacts(ids)
	}
	return g.balancers[id-1]
}

// transferState gives a joining balancer the state of a ready one that it can reach,
// and reports whether the balancer has a state.
func (g *group) transferState(b *balancer) bool {
	for _, m := range b.detector.Members(g.now) {
		donor := g.balancers[m.ID()-1]
		if b.hasState || m.State() != detector.Ready || donor.dead || donor.frozen || donor.partition != b.partition {
			continue
		}
		b.hasState = true
		b.targetStart = donor.targetStart
		b.limiter.InheritHolders(g.now, donor.limiter.LastHolders())
	}
	return b.hasState
}

func (g *group) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.heartbeat()
	}
}

// heartbeat advances the time by one heartbeat interval and sends the heartbeats of
// every balancer. Each balancer opens all the flows that it may before and after.
func (g *group) heartbeat() {
	g.now = g.now.Add(detector.HeartbeatInterval)
	for _, b := range g.balancers {
		if b.dead || b.frozen {
			continue
		}
		g.openFlows(b) // The balancer still acts on the members of the last interval.
		for _, d := range b.detector.Heartbeat(g.now) {
			to := g.balancers[d.To()-1]
			if !to.dead && !to.frozen && to.ignoredPeer != b.id && to.partition == b.partition {
				to.detector.Receive(g.now, d.Message())
				g.updateLimiter(to)
			}
		}
		g.updateLimiter(b)
	}
	for _, b := range g.balancers {
		if !b.dead && !b.frozen {
			g.openFlows(b)
		}
	}
}

func (g *group) updateLimiter(b *balancer) {
	mayDecide := b.detector.MayDecide(g.now)
	ready := mayDecide && (b.founder || g.transferState(b))
	b.detector.SetState(detector.Joining)
	if ready {
		b.detector.SetState(detector.Ready)
	}
	members := b.detector.Members(g.now)
	holders := limiter.Holders(b.id, ready, members)
	b.limiter.SetHolders(g.now, holders)
	digest := limiter.Digest(holders) &^ allFlags
	if b.limiter.HasMajority(g.now) {
		digest |= majorityFlag
	}
	if b.limiter.HasAgreed() {
		digest |= agreedFlag
	}
	b.detector.SetDigest(digest)
	same, all := ready && digest&majorityFlag != 0, true
	for _, m := range members {
		same = same && m.Digest()|allFlags == digest|allFlags
		if m.State() == detector.Ready {
			same = same && m.Digest()&majorityFlag != 0
			all = all && m.Digest()&agreedFlag != 0
		}
	}
	b.limiter.SetAgreement(g.now, same, all)
	if g.resetShares && b.limitStarted && ready {
		// A holder starts again with whole shares.
		b.limiter.StopRamp(target)
		b.limiter.StartRamp(g.now, target, ramp)
	}
}

func (g *group) openFlows(b *balancer) {
	if b.targetStart.IsZero() || !b.detector.MayDecide(g.now) {
		return
	}
	c := operator.ColdStart{Flows: g.flows, Ramp: operator.Duration(ramp)}
	age := g.now.Sub(b.targetStart)
	for age < ramp && b.limiter.TakeFlow(g.now, target, c, age) {
		g.opened++
	}
}

// startTarget starts the limit on every balancer, then lets all open flows on the
// target.
func (g *group) startTarget() {
	for _, b := range g.balancers {
		b.limitStarted = true
		b.limiter.StartRamp(g.now, target, ramp)
	}
	g.targetStart = g.now
	for _, b := range g.balancers {
		b.targetStart = g.now
	}
}

// split separates the first n balancers from the others; 0 ends the split.
func (g *group) split(n int) {
	for i, b := range g.balancers {
		b.partition = 0
		if i < n {
			b.partition = 1
		}
	}
}

// currentLimit returns how many flows the group may have opened by now.
func (g *group) currentLimit() float64 {
	grown := float64(g.flows) * rampGrowth * float64(g.now.Sub(g.targetStart)) / float64(ramp)
	return float64(g.flows) + grown
}

// Guards against flows beyond the limit when balancers die, join, freeze, miss
// heartbeats of a peer or are split in two, in any order.
func TestGroupStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 13).Draw(t, "balancers")
		g := newGroup(n, rapid.IntRange(1, 60).Draw(t, "flows"))
		g.startTarget()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			b := g.balancers[rapid.IntRange(0, len(g.balancers)-1).Draw(t, "balancer")]
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				b.dead = true
			case 1:
				g.join()
			case 2, 3:
				b.frozen = !b.frozen
			case 4:
				b.ignoredPeer = tracker.MemberID(rapid.IntRange(0, len(g.balancers)).Draw(t, "deaf-to"))
			case 5:
				g.split(rapid.IntRange(0, len(g.balancers)).Draw(t, "cut-at"))
				g.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "cut-seconds")) * time.Second)
			}
			g.heartbeat()
			if float64(g.opened) > g.currentLimit() {
				t.Fatalf("%d flows were opened with a limit of %.1f", g.opened, g.currentLimit())
			}
		}
	})
}

// Guards against shares that are rounded to nothing if the limit is smaller than the
// number of balancers.
func TestSmallLimitIsUsedInFull(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, 5)
	g.startTarget()
	for _, b := range g.balancers {
		g.openFlows(b)
	}
	is.Equal(g.opened, 5)
	g.advance(ramp / 2)
	is.True(float64(g.opened) > 0.8*g.currentLimit())
	is.True(float64(g.opened) <= g.currentLimit())
}

// Guards against shares that stay unused after their holder has died.
func TestSharesOfDeadBalancerGrowWithNewHolder(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 40)
	g.startTarget()
	g.advance(2 * time.Second)
	g.balancers[0].dead = true
	g.advance(10 * time.Second)
	before, limit := g.opened, g.currentLimit()
	g.advance(5 * time.Second)
	is.True(float64(g.opened-before) > 0.9*(g.currentLimit()-limit))
	is.True(float64(g.opened) <= g.currentLimit())
}

// Shows that the limit would be exceeded if a new holder could use a whole share.
func TestResettingSharesExceedsLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 40)
	g.resetShares = true
	g.startTarget()
	g.advance(time.Second)
	is.True(float64(g.opened) > g.currentLimit())
}

// Guards against both parts of a split group using the same shares. One part must go
// on, and the limit must hold during the split and after it ends.
func TestPartitionedGroupStaysWithinLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, 40)
	g.startTarget()
	g.advance(2 * time.Second)
	g.split(6)
	g.advance(10 * time.Second)
	before := g.opened
	g.advance(10 * time.Second)
	is.True(g.opened > before) // The larger part continues to open flows.
	is.True(float64(g.opened) <= g.currentLimit())
	g.split(0)
	g.advance(5 * time.Second)
	is.True(float64(g.opened) <= g.currentLimit())
}
