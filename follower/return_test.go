package follower_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/replicator"
	"trefoilspring.example/trefoilspring/standin/recorder"
)

// Guards against a balancer that doesn't learn of a return of the store, or not of what is
// written after it, beside balancers that are cut off from the store or from each other.
func TestUndisturbedBalancersFollowAStoreThatReturns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newReturnHistory(rapid.IntRange(1, 5).Draw(r, "zone a"), rapid.IntRange(0, 3).Draw(r, "zone b"))
		for range rapid.IntRange(1, 3).Draw(r, "returns") {
			h.returns = append(h.returns, drawn(r, "return ms", 4000, 12_000))
		}
		for range rapid.IntRange(0, 4).Draw(r, "cuts") {
			b := rapid.SampledFrom(h.balancers).Draw(r, "cut")
			from := drawn(r, "from ms", 2000, 12_000)
			b.cuts = append(b.cuts, fault{cutOff, from, from + drawn(r, "for ms", 100, 5000)})
		}
		h.away = drawn(r, "away ms", 0, 1000)
		h.play(t, 18*time.Second)
		if len(h.violations) > 0 {
			r.Fatalf("%d violations, first: %s", len(h.violations), h.violations[0])
		}
	})
}

// Load pattern: the store returns before a fleet of 300 balancers, which ask each other for all
// keys. The platform's store takes 2,000 reads a second.
func TestStoreIsNotOverloadedAfterItsReturn(t *testing.T) {
	is := is.New(t)
	h := newReturnHistory(60, 60, 60, 60, 60)
	h.returns = []time.Duration{5 * time.Second}
	h.play(t, 10*time.Second)
	is.Equal(len(h.violations), 0)
	busiest, listings := 0, 0
	for second, reads := range h.reads {
		busiest = max(busiest, reads)
		if second >= 5 {
			listings += h.listings[second]
		}
	}
	t.Logf("the store got at most %d reads in a second, and %d listings after the return", busiest, listings)
	is.True(busiest <= storeReads)
	is.True(listings < 300)
}

func drawn(r *rapid.T, what string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(r, what)) * time.Millisecond
}

// returnHistory plays real Followers before a store that returns to copies, in virtual time.
type returnHistory struct {
	balancers []*replicaVM
	peers     []follower.Peer
	returns   []time.Duration
	// away is how long the store answers nothing before it returns.
	away time.Duration

	mu              sync.Mutex
	start           time.Time
	store           *recorder.Store
	reads, listings map[int]int
	// writes holds the last write of each key since the last return.
	writes     map[string]timedWrite
	violations []string
}

type timedWrite struct {
	value string
	at    time.Time
}

func (h *returnHistory) write(key, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes[key] = timedWrite{value, h.store.Set(key, []byte(value))}
}

// replicaVM is a balancer with a replica. It is cut off from the store and its peers at times.
type replicaVM struct {
	self    follower.Peer
	cuts    []fault
	replica replicator.Replica
}

func newReturnHistory(zones ...int) *returnHistory {
	h := &returnHistory{store: recorder.New(), reads: make(map[int]int), listings: make(map[int]int), writes: make(map[string]timedWrite)}
	for i, n := range zones {
		h.peers = append(h.peers, zone(string(rune('a'+i)), n)...)
	}
	for _, p := range h.peers {
		h.balancers = append(h.balancers, &replicaVM{self: p})
	}
	h.store.Set("first", []byte("x"))
	return h
}

func (h *returnHistory) cut(b *replicaVM) bool {
	for _, c := range b.cuts {
		if since := time.Since(h.start); since >= c.from && since < c.until {
			return true
		}
	}
	return false
}

func (h *returnHistory) isAway() bool {
	for _, at := range h.returns {
		if since := time.Since(h.start); since >= at-h.away && since < at {
			return true
		}
	}
	return false
}

func (h *returnHistory) play(t *testing.T, length time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		h.start = time.Now()
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, b := range h.balancers {
			f := follower.New(b.self)
			f.ListPeers = func(context.Context) ([]follower.Peer, error) { return h.peers, nil }
			f.Revision = func() uint64 { return locked(h, b.replica.After) }
			f.Fetch = func(ctx context.Context, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
				return h.fetch(ctx, b, s, after, wait)
			}
			f.Merge = func(u replicator.Update, _ follower.Source) (bool, []follower.Peer) {
				return locked(h, func() bool { return len(b.replica.Merge(u, time.Now())) > 0 }), h.peers
			}
			group.Go(func() error { return f.Run(ctx) })
		}
		var copies []recorder.Copy
		returned := make(map[time.Duration]bool)
		for n := 0; time.Since(h.start) < length; n++ {
			time.Sleep(100 * time.Millisecond)
			if n%7 == 0 {
				copies = append(copies, h.store.Copy())
				h.write(fmt.Sprint("key-", n%5), fmt.Sprint(n))
			}
			for _, at := range h.returns {
				if !returned[at] && time.Since(h.start) >= at {
					returned[at] = true
					h.store.Return(copies[max(0, len(copies)-4)])
					copies = copies[:max(1, len(copies)-3)]
					clear(h.writes)
				}
			}
			h.observe()
		}
		stop()
		is.New(t).NoErr(group.Wait())
	})
}

func locked[T any](h *returnHistory, do func() T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return do()
}

// observe notes the undisturbed balancers that lack what was written since a return. Nobody is held to
// bounds before contact has passed since the store was away.
func (h *returnHistory) observe() {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := time.Since(h.start)
	for _, at := range h.returns {
		if since >= at-h.away && since < at+drainBound {
			return
		}
	}
	for _, b := range h.balancers {
		disturbed := since < contact
		for _, c := range b.cuts {
			disturbed = disturbed || since >= c.from && since < c.until+contact
		}
		if age, _ := b.replica.Age(time.Now()); !disturbed && age > drainBound {
			h.violations = append(h.violations, fmt.Sprintf("the view of %s is %v old at %v", b.self.Name, age, since))
		}
		for key, w := range h.writes {
			if item, _ := b.replica.Find(key); !disturbed && time.Since(w.at) > drainBound && string(item.Value) != w.value {
				h.violations = append(h.violations, fmt.Sprintf("%s has %s of %q at %v, not %q", b.self.Name, key, item.Value, since, w.value))
			}
		}
	}
}

var errOutdated = errors.New("of an earlier era")

// fetch asks a source as a balancer does.
func (h *returnHistory) fetch(ctx context.Context, b *replicaVM, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	asked := time.Now()
	answer, timeout := h.askStore, wait+time.Second
	if !s.IsStore() {
		answer, timeout = h.askPeer, wait+500*time.Millisecond
	}
	for ctx.Err() == nil && time.Since(asked) < timeout {
		time.Sleep(tick)
		if h.cut(b) {
			time.Sleep(time.Until(asked.Add(timeout)))
			return replicator.Update{}, errNoAnswer
		}
		h.mu.Lock()
		u, ok := answer(b, s, after, time.Since(asked) >= wait)
		outdated := ok && b.replica.IsOutdated(u)
		h.mu.Unlock()
		switch {
		case outdated:
			return u, errOutdated
		case ok:
			u.Age += 2 * tick
			return u, nil
		}
	}
	return replicator.Update{}, errNoAnswer
}

func (h *returnHistory) askStore(_ *replicaVM, _ follower.Source, after uint64, waited bool) (replicator.Update, bool) {
	changes := h.store.ChangesSince("", after)
	u := replicator.Update{Era: h.store.Era(), Revision: after, Full: after == 0 || changes.Compacted}
	if h.isAway() || !u.Full && !waited && len(changes.Items) == 0 {
		return u, false
	}
	second := int(time.Since(h.start) / time.Second)
	h.reads[second]++
	if u.Full {
		h.listings[second]++
		changes.Items, _, u.Revision = h.store.List("", "", math.MaxInt)
	}
	for _, i := range changes.Items {
		u.Items = append(u.Items, replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
		u.Revision = max(u.Revision, i.Revision)
	}
	return u, true
}

func (h *returnHistory) askPeer(b *replicaVM, s follower.Source, after uint64, waited bool) (replicator.Update, bool) {
	for _, peer := range h.balancers {
		if peer.self != s.Peer || h.cut(peer) || peer.replica.Revision() == 0 {
			continue
		}
		if after > 0 {
			after = peer.replica.AfterFor(b.replica.Era(), after)
		}
		if waited || peer.replica.ChangedSince(after) {
			return peer.replica.Since(after, time.Now()), true
		}
	}
	return replicator.Update{}, false
}
