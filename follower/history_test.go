package follower_test

import (
	"context"
	"fmt"
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
)

const (
	// drainBound is the time after which no new flow may reach a target that leaves, and
	// contact the time after a fault of a balancer in which it is not held to bounds.
	drainBound = 3 * time.Second
	contact    = 4 * time.Second
	// storeReads is the number of reads a second that the platform's store allows.
	storeReads = 2000
	// tick is the resolution of the model.
	tick = 10 * time.Millisecond
)

// Guards against a balancer that nothing disturbs but whose view lags behind the bound, since
// the balancers of its zone that read the store are cut off from it: each of them has to be
// asked in turn, and its answers pass for recent.
func TestReadersOfAZoneCutOff(t *testing.T) {
	for cut := 1; cut <= 6; cut++ {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			h := newHistory(7, 3)
			order := zoneOrder(h.fleet[:7])
			for n := range 3 {
				at := time.Duration(6+6*n) * time.Second
				for _, vm := range order[:cut] {
					vm.faults = append(vm.faults, fault{cutOff, at, at + 5*time.Second})
				}
			}
			h.play(t, 24*time.Second)
			h.check(t.Fatalf)
		})
	}
}

// Guards against views of undisturbed balancers that are older than the bound, or than they
// say, in any history of balancers that are cut off from the store, frozen, slow or turned away.
func TestUndisturbedBalancersKeepUpInAnyHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		inZone := rapid.IntRange(2, 7).Draw(r, "zone a")
		h := newHistory(inZone, rapid.IntRange(0, 3).Draw(r, "zone b"))
		readers := zoneOrder(h.fleet[:inZone])[:2]
		h.changePeriod = time.Duration(rapid.IntRange(20, 3000).Draw(r, "change each ms")) * time.Millisecond
		for range rapid.IntRange(1, 10).Draw(r, "faults") {
			from := time.Duration(rapid.IntRange(2000, 12_000).Draw(r, "from ms")) * time.Millisecond
			length := time.Duration(rapid.IntRange(100, 6000).Draw(r, "for ms")) * time.Millisecond
			kind := faultKind(rapid.IntRange(0, 3).Draw(r, "kind"))
			for _, vm := range rapid.SampledFrom([][]*modelVM{h.fleet, readers, h.fleet[:1]}).Draw(r, "among") {
				if rapid.IntRange(0, 3).Draw(r, "hit") > 0 {
					vm.faults = append(vm.faults, fault{kind, from, from + length})
				}
			}
		}
		h.play(t, 16*time.Second)
		h.check(r.Fatalf)
	})
}

// Load pattern: in a fleet of 300 balancers the readers of all zones are cut off from the
// store, so that the others query it themselves. The store takes 2,000 reads a second.
func TestStoreIsNotOverloadedWhenAllReadersAreCutOff(t *testing.T) {
	is := is.New(t)
	h := newHistory(60, 60, 60, 60, 60)
	for zone := range 5 {
		for _, vm := range zoneOrder(h.fleet[60*zone : 60*(zone+1)])[:8] {
			vm.faults = append(vm.faults, fault{cutOff, 6 * time.Second, 12 * time.Second})
		}
	}
	h.play(t, 14*time.Second)
	h.check(t.Fatalf)
	busiest := 0
	for _, reads := range h.reads {
		busiest = max(busiest, reads)
	}
	t.Logf("the store got at most %d reads in a second", busiest)
	is.True(busiest <= storeReads)
}

type faultKind int

const (
	cutOff faultKind = iota
	frozen
	turnedAway
	slow
)

// fault is a disturbance of one balancer from a time until another, both since the start.
type fault struct {
	kind        faultKind
	from, until time.Duration
}

// modelVM is a balancer of a history, with its real Follower.
type modelVM struct {
	self   follower.Peer
	faults []fault
	// content is the time up to which the view holds all changes of the store, and
	// confirmed the time that the balancer believes.
	content   time.Time
	confirmed time.Time
}

// history plays a fleet and a store that changes often, in virtual time.
type history struct {
	fleet []*modelVM
	peers []follower.Peer
	// changePeriod is the time between two changes of the store.
	changePeriod time.Duration

	mu    sync.Mutex
	start time.Time
	// reads counts the reads of the store in each second.
	reads      map[int]int
	violations []string
}

func newHistory(zones ...int) *history {
	h := &history{reads: make(map[int]int), changePeriod: 190 * time.Millisecond}
	for i, n := range zones {
		h.peers = append(h.peers, zone(string(rune('a'+i)), n)...)
	}
	for _, p := range h.peers {
		h.fleet = append(h.fleet, &modelVM{self: p})
	}
	return h
}

// zoneOrder returns the balancers of a zone in the order in which they become readers.
func zoneOrder(zone []*modelVM) []*modelVM {
	left := append([]*modelVM{}, zone...)
	var order []*modelVM
	for len(left) > 0 {
		peers := make([]follower.Peer, 0, len(left))
		for _, vm := range left {
			peers = append(peers, vm.self)
		}
		reading := storeReaders(newCores(peers), peers)
		rest := left[:0:0]
		for _, vm := range left {
			if reading[vm.self.Name] {
				order = append(order, vm)
			} else {
				rest = append(rest, vm)
			}
		}
		left = rest
	}
	return order
}

// changedSince returns whether the store changed after a time up to another.
func (h *history) changedSince(after, until time.Time) bool {
	return after.Before(h.start) || until.Sub(h.start)/h.changePeriod > after.Sub(h.start)/h.changePeriod
}

func (h *history) suffers(vm *modelVM, kind faultKind, at time.Time) bool {
	for _, f := range vm.faults {
		if since := at.Sub(h.start); f.kind == kind && since >= f.from && since < f.until {
			return true
		}
	}
	return false
}

// undisturbed reports whether a balancer has had no fault for the time of contact.
func (h *history) undisturbed(vm *modelVM, at time.Time) bool {
	for _, f := range vm.faults {
		if since := at.Sub(h.start); since >= f.from && since < f.until+contact {
			return false
		}
	}
	return at.Sub(h.start) >= contact
}

func (h *history) play(t *testing.T, length time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		h.start = time.Now()
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, vm := range h.fleet {
			f := follower.New(vm.self)
			f.ListPeers = func(context.Context) ([]follower.Peer, error) { return h.peers, nil }
			f.Revision = func() uint64 { return 1 }
			f.Fetch = func(ctx context.Context, s follower.Source, _ uint64, wait time.Duration) (replicator.Update, error) {
				return h.fetch(ctx, vm, s, wait)
			}
			f.Merge = func(u replicator.Update, s follower.Source) (bool, []follower.Peer) {
				return h.merge(vm, u, s), h.peers
			}
			group.Go(func() error { return f.Run(ctx) })
		}
		for time.Since(h.start) < length {
			time.Sleep(tick)
			h.observe()
		}
		stop()
		is.New(t).NoErr(group.Wait())
	})
}

// observe notes the undisturbed balancers whose views lag too far behind.
func (h *history) observe() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, vm := range h.fleet {
		if h.undisturbed(vm, now) && h.changedSince(vm.content, now.Add(-drainBound)) {
			h.violations = append(h.violations, fmt.Sprintf("%s lags behind by %v at %v", vm.self.Name, now.Sub(vm.content), now.Sub(h.start)))
		}
	}
}

func (h *history) check(fatalf func(string, ...any)) {
	if len(h.violations) > 0 {
		fatalf("%d violations, first: %s", len(h.violations), h.violations[0])
	}
}

func (h *history) merge(vm *modelVM, u replicator.Update, s follower.Source) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	content := time.Unix(0, int64(u.Revision))
	confirmed := now.Add(-u.Age)
	if confirmed.After(content) {
		h.violations = append(h.violations, fmt.Sprintf("%s believes an answer of %s to be %v old, but it is %v",
			vm.self.Name, s, u.Age, now.Sub(content)))
	}
	changed := h.changedSince(vm.content, content)
	if content.After(vm.content) {
		vm.content = content
	}
	if confirmed.After(vm.confirmed) {
		vm.confirmed = confirmed
	}
	return changed
}

var (
	errNoAnswer   = errors.New("no answer")
	errTurnedAway = errors.New("turned away")
)

func (h *history) fetch(ctx context.Context, vm *modelVM, s follower.Source, wait time.Duration) (replicator.Update, error) {
	sent := time.Now()
	query, timeout := h.queryStore, wait+time.Second
	if !s.IsStore() {
		query, timeout = h.queryPeer, wait+500*time.Millisecond
	}
	u, waited, err := query(ctx, vm, s, wait, sent.Add(timeout))
	for h.suffers(vm, frozen, time.Now()) && ctx.Err() == nil {
		time.Sleep(tick)
	}
	if err != nil {
		return u, err
	}
	elapsed := time.Since(sent)
	if s.IsStore() {
		u.Age += follower.StoreAnswerAge(u, elapsed, wait)
	} else {
		u.Age += follower.PeerAnswerAge(elapsed, waited)
	}
	return u, nil
}

// latency is how long a packet of a balancer takes.
func (h *history) latency(vm *modelVM) time.Duration {
	if h.suffers(vm, slow, time.Now()) {
		return 150 * time.Millisecond
	}
	return time.Millisecond
}

func (h *history) queryStore(ctx context.Context, vm *modelVM, _ follower.Source, wait time.Duration, deadline time.Time) (replicator.Update, time.Duration, error) {
	h.mu.Lock()
	h.reads[int(time.Since(h.start)/time.Second)]++
	after := vm.content
	h.mu.Unlock()
	time.Sleep(h.latency(vm))
	if h.suffers(vm, turnedAway, time.Now()) {
		return replicator.Update{}, 0, errTurnedAway
	}
	arrived, lost := time.Now(), false
	for ctx.Err() == nil {
		lost = lost || h.suffers(vm, cutOff, time.Now())
		if time.Since(arrived) >= wait || h.changedSince(after, time.Now()) {
			break
		}
		time.Sleep(min(tick, wait-time.Since(arrived)))
	}
	content := time.Now()
	time.Sleep(h.latency(vm))
	if lost || time.Now().After(deadline) {
		time.Sleep(time.Until(deadline))
		return replicator.Update{}, 0, errNoAnswer
	}
	return h.update(after, content), 0, nil
}

func (h *history) queryPeer(ctx context.Context, vm *modelVM, s follower.Source, wait time.Duration, deadline time.Time) (replicator.Update, time.Duration, error) {
	var peer *modelVM
	for _, other := range h.fleet {
		if other.self == s.Peer {
			peer = other
		}
	}
	h.mu.Lock()
	after := vm.content
	h.mu.Unlock()
	time.Sleep(h.latency(vm) + h.latency(peer))
	arrived := time.Now()
	for ctx.Err() == nil && time.Now().Before(deadline) {
		h.mu.Lock()
		content, confirmed := peer.content, peer.confirmed
		h.mu.Unlock()
		known := !confirmed.IsZero() && !h.suffers(peer, frozen, time.Now())
		if known && (time.Since(arrived) >= wait || h.changedSince(after, content)) {
			u := h.update(after, content)
			u.Age = time.Since(confirmed)
			waited := time.Since(arrived)
			time.Sleep(h.latency(vm) + h.latency(peer))
			for h.suffers(peer, frozen, time.Now()) && time.Now().Before(deadline) {
				time.Sleep(tick)
			}
			if time.Now().After(deadline) {
				break
			}
			return u, waited, nil
		}
		time.Sleep(tick)
	}
	time.Sleep(time.Until(deadline))
	return replicator.Update{}, 0, errNoAnswer
}

// update returns the update from a content to a later one.
func (h *history) update(after, content time.Time) replicator.Update {
	u := replicator.Update{Revision: uint64(content.UnixNano())}
	if h.changedSince(after, content) {
		u.Items = []replicator.Item{{}}
	}
	return u
}
