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
	// rampGrowth is by how many first limits a limit grows over its ramp.
	rampGrowth = 99
	// The flags of a digest, as the coordinator has them.
	majority = 1
	agreed   = 2
	flags    = majority | agreed
)

var target = planner.NewTargetID("bd-01")

// balancer is one balancer: its heartbeats, its shares and how far it is.
type balancer struct {
	id      tracker.MemberID
	beats   *detector.Detector
	limits  *limiter.Limiter
	first   bool
	joined  bool
	fresh   time.Time
	dead    bool
	frozen  bool
	deafTo  tracker.MemberID
	side    int
	started bool
}

// group drives balancers over a network of fakes, in virtual time.
type group struct {
	now       time.Time
	flows     int
	taken     int
	freshAt   time.Time
	careless  bool
	balancers []*balancer
}

func newGroup(n, flows int) *group {
	g := &group{now: time.Unix(1000, 0), flows: flows}
	for range n {
		g.join().first = true
	}
	g.run(10 * time.Second)
	return g
}

func (g *group) join() *balancer {
	id := tracker.MemberID(len(g.balancers) + 1)
	g.balancers = append(g.balancers, &balancer{
		id: id, beats: detector.New(id, 1), limits: limiter.New(id),
	})
	var ids []tracker.MemberID
	for _, b := range g.balancers {
		ids = append(ids, b.id)
	}
	for _, b := range g.balancers {
		b.beats.SetContacts(ids)
	}
	return g.balancers[id-1]
}

// handOver gives a joining balancer the state of a ready one that it can reach.
func (g *group) handOver(b *balancer) bool {
	for _, m := range b.beats.Members(g.now) {
		donor := g.balancers[m.ID()-1]
		if b.joined || m.State() != detector.Ready || donor.dead || donor.frozen || donor.side != b.side {
			continue
		}
		b.joined = true
		b.fresh = donor.fresh
		b.limits.Inherit(g.now, donor.limits.Last())
	}
	return b.joined
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.step()
	}
}

// step is one heartbeat of every balancer, after which each opens all it may.
func (g *group) step() {
	g.now = g.now.Add(detector.Interval)
	for _, b := range g.balancers {
		if b.dead || b.frozen {
			continue
		}
		g.take(b) // What it believed before it heard anything.
		for _, d := range b.beats.Beat(g.now) {
			to := g.balancers[d.To()-1]
			if !to.dead && !to.frozen && to.deafTo != b.id && to.side == b.side {
				to.beats.Receive(g.now, d.Message())
				g.update(to)
			}
		}
		g.update(b)
	}
	for _, b := range g.balancers {
		if !b.dead && !b.frozen {
			g.take(b)
		}
	}
}

func (g *group) update(b *balancer) {
	permitted := b.beats.Permitted(g.now)
	ready := permitted && (b.first || g.handOver(b))
	b.beats.SetState(detector.Joining)
	if ready {
		b.beats.SetState(detector.Ready)
	}
	members := b.beats.Members(g.now)
	holders := limiter.Holders(b.id, ready, members)
	b.limits.SetHolders(g.now, holders)
	digest := limiter.Digest(holders) &^ flags
	if b.limits.Majority(g.now) {
		digest |= majority
	}
	if b.limits.Agreed() {
		digest |= agreed
	}
	b.beats.SetDigest(digest)
	same, all := ready && digest&majority != 0, true
	for _, m := range members {
		same = same && m.Digest()|flags == digest|flags
		if m.State() == detector.Ready {
			same = same && m.Digest()&majority != 0
			all = all && m.Digest()&agreed != 0
		}
	}
	b.limits.SetAgreed(g.now, same, all)
	if g.careless && b.started && ready {
		// The rule is off: a new holder begins with the whole share.
		b.limits.Stop(target)
		b.limits.Start(g.now, target, ramp)
	}
}

func (g *group) take(b *balancer) {
	if b.fresh.IsZero() || !b.beats.Permitted(g.now) {
		return
	}
	c := operator.ColdStart{Flows: g.flows, Ramp: operator.Duration(ramp)}
	age := g.now.Sub(b.fresh)
	for age < ramp && b.limits.Take(g.now, target, c, age) {
		g.taken++
	}
}

// start prepares the fresh target everywhere, then puts it in force.
func (g *group) start() {
	for _, b := range g.balancers {
		b.started = true
		b.limits.Start(g.now, target, ramp)
	}
	g.freshAt = g.now
	for _, b := range g.balancers {
		b.fresh = g.now
	}
}

// cut separates the first n balancers from the others; 0 heals.
func (g *group) cut(n int) {
	for i, b := range g.balancers {
		b.side = 0
		if i < n {
			b.side = 1
		}
	}
}

func (g *group) limit() float64 {
	grown := float64(g.flows) * rampGrowth * float64(g.now.Sub(g.freshAt)) / float64(ramp)
	return float64(g.flows) + grown
}

func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 13).Draw(t, "balancers")
		g := newGroup(n, rapid.IntRange(1, 60).Draw(t, "flows"))
		g.start()
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
				b.deafTo = tracker.MemberID(rapid.IntRange(0, len(g.balancers)).Draw(t, "deaf-to"))
			case 5:
				g.cut(rapid.IntRange(0, len(g.balancers)).Draw(t, "cut-at"))
				g.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "cut-seconds")) * time.Second)
			}
			g.step()
			if float64(g.taken) > g.limit() {
				t.Fatalf("%d flows were opened of %.1f", g.taken, g.limit())
			}
		}
	})
}

func TestSmallLimitIsUsedInFull(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, 5)
	g.start()
	for _, b := range g.balancers {
		g.take(b)
	}
	is.Equal(g.taken, 5)
	g.run(ramp / 2)
	is.True(float64(g.taken) > 0.8*g.limit())
	is.True(float64(g.taken) <= g.limit())
}

func TestSharesOfTheDeadGrowOnWithTheirNewHolder(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 40)
	g.start()
	g.run(2 * time.Second)
	g.balancers[0].dead = true
	g.run(10 * time.Second)
	before, limit := g.taken, g.limit()
	g.run(5 * time.Second)
	is.True(float64(g.taken-before) > 0.9*(g.limit()-limit))
	is.True(float64(g.taken) <= g.limit())
}

func TestWholeSharesForNewHoldersExceedTheLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 40)
	g.careless = true
	g.start()
	g.run(time.Second)
	is.True(float64(g.taken) > g.limit())
}

func TestGroupCutInTwoStaysWithinTheLimit(t *testing.T) {
	is := is.New(t)
	g := newGroup(13, 40)
	g.start()
	g.run(2 * time.Second)
	g.cut(6)
	g.run(10 * time.Second)
	before := g.taken
	g.run(10 * time.Second)
	is.True(g.taken > before) // The larger part goes on.
	is.True(float64(g.taken) <= g.limit())
	g.cut(0)
	g.run(5 * time.Second)
	is.True(float64(g.taken) <= g.limit())
}
