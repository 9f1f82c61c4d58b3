package director_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/replicator"
	"trefoilspring.example/trefoilspring/standin/recorder"
)

// A run of a target that was draining gets no new flow when an older copy says that it is ready,
// also if its registration was removed meanwhile. The next run does.
func TestDrainingRunStaysDraining(t *testing.T) {
	for _, removed := range []bool{false, true} {
		is := is.New(t)
		d := newDirector(0)
		drains := target(1)
		drains.Draining = true
		d.SetTarget(start, drains)
		if removed {
			d.RemoveTarget(start, drains.Name)
		}
		d.SetReturn(start.Add(time.Second))
		d.SetTarget(start, target(1))
		is.Equal(d.Decide(start, opening(1, 0)).Action, director.Drop)
		next := target(1)
		next.Started++
		d.SetTarget(start, next)
		is.Equal(d.Decide(start, opening(2, 0)).Action, director.Forward)
	}
}

// Guards against a balancer that concludes from what an older copy of the store lacks, or that
// goes back to what it says: whenever the store returns, several times in a row, and however
// far the balancers lag, hear it from each other or begin anew.
func TestStoreThatReturnsBreaksNothingInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &returnHistory{t: t, now: start, store: recorder.New(), truth: make(map[string]string)}
		h.store.Set("always", []byte("x"))
		h.copies = append(h.copies, h.store.Copy())
		h.write("op/config", "1")
		for _, name := range []string{"t-1", "t-2", "t-3"} {
			h.write(name, "1 ready")
		}
		for range rapid.IntRange(1, 3).Draw(t, "balancers") {
			h.balancers = append(h.balancers, newReturnBalancer())
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			h.step()
		}
	})
}

// evacuatedZone is the zone of t-2 alone. Target t-1 runs all the time.
const evacuatedZone = "c"

// returnHistory plays a store that returns to copies, its writers and balancers, in virtual time.
type returnHistory struct {
	t      *rapid.T
	now    time.Time
	store  *recorder.Store
	copies []recorder.Copy
	// truth is what the writers want the store to hold; they write it again until rewriteBy.
	truth     map[string]string
	rewriteBy time.Time
	version   int
	// outChanges holds the numbers of copies at the changes of the zone.
	outChanges []int
	balancers  []*returnBalancer
	callers    int
	flows      []historyFlow
}

type returnBalancer struct {
	*director.Director
	replica *replicator.Replica
	// draining holds the runs that were seen draining.
	draining map[string]bool
	// out reports whether the zone is out, and outSeen whether the operator's last two changes
	// of it were seen, changesSeen how many there were then. A balancer that begins anew doesn't
	// know of a removal before.
	out, outSeen bool
	changesSeen  int
	version      uint64
}

func newReturnBalancer() *returnBalancer {
	return &returnBalancer{Director: director.New(1, "entry"), replica: &replicator.Replica{}, draining: make(map[string]bool)}
}

func (h *returnHistory) draw(what string, most int) int {
	return rapid.IntRange(0, most).Draw(h.t, what)
}

// write writes a key as its writer wants it; an empty value removes it.
func (h *returnHistory) write(key, value string) {
	h.truth[key] = value
	if value == "" {
		h.store.Set(key, nil)
		return
	}
	h.store.Set(key, []byte(value))
}

// rewrite writes what the store has lost again.
func (h *returnHistory) rewrite() {
	stored := make(map[string]string)
	items, _, _ := h.store.List("", "", math.MaxInt)
	for _, item := range items {
		stored[item.Key] = string(item.Value)
	}
	for _, key := range []string{"op/config", "t-1", "t-2", "t-3", "out"} {
		if stored[key] != h.truth[key] {
			h.write(key, h.truth[key])
		}
	}
}

func (h *returnHistory) step() {
	h.copies = append(h.copies, h.store.Copy())
	h.now = h.now.Add(time.Duration(1+h.draw("ms", 500)) * time.Millisecond)
	if !h.now.Before(h.rewriteBy) {
		h.rewrite()
	}
	b := h.balancers[h.draw("balancer", len(h.balancers)-1)]
	switch h.draw("step", 13) {
	case 0:
		h.version++
		h.write("op/config", fmt.Sprint(1+h.version))
	case 1, 2:
		name := fmt.Sprint("t-", 2+h.draw("target", 1))
		h.write(name, nextState(h.truth[name], h.version))
		h.version++
	case 3:
		out := map[string]string{"": "x", "x": ""}[h.truth["out"]]
		h.write("out", out)
		h.outChanges = append(h.outChanges, len(h.copies))
		h.forgetOut()
	case 4:
		h.copies = h.copies[:1+rapid.IntRange(max(0, len(h.copies)-8), len(h.copies)-1).Draw(h.t, "copy")]
		h.store.Return(h.copies[len(h.copies)-1])
		// A zone that went out, in, out and in within the lost seconds may be out for a moment.
		if n := len(h.outChanges); n > 1 && len(h.copies) <= h.outChanges[n-2] {
			h.forgetOut()
		}
		h.rewriteBy = h.now.Add(2 * time.Second)
	case 5:
		*b = *newReturnBalancer()
	case 6:
		if peer := h.balancers[h.draw("peer", len(h.balancers)-1)]; peer != b && peer.replica.Revision() > 0 {
			h.merge(b, peer.replica.Since(peer.replica.AfterFor(b.replica.Era(), b.replica.After()), h.now))
		}
	case 7, 8, 9:
		h.ask(b)
	case 10, 11:
		h.open(b)
	default:
		if len(h.flows) > 0 {
			f := h.flows[h.draw("flow", len(h.flows)-1)]
			if decision := b.Decide(h.now, data(f.caller, board, f.token, 1, 1)); decision.Action == director.Reset {
				h.t.Fatalf("a flow of a target that runs was reset: %s", decision.Reason)
			}
		}
	}
	for _, b := range h.balancers {
		b.Tick(h.now)
		b.TakeChecks()
	}
}

// forgetOut forgets who has seen the operator's last change of the zone.
func (h *returnHistory) forgetOut() {
	for _, b := range h.balancers {
		b.outSeen = false
	}
}

// nextState returns the next state of a target: it drains, leaves, and runs again.
func nextState(state string, run int) string {
	switch {
	case strings.HasSuffix(state, " ready"):
		return strings.Replace(state, "ready", "draining", 1)
	case state != "":
		return ""
	}
	return fmt.Sprint(run+2, " ready")
}

// ask lets a balancer ask the store.
func (h *returnHistory) ask(b *returnBalancer) {
	changes := h.store.ChangesSince("", b.replica.After())
	u := replicator.Update{Era: h.store.Era(), Revision: changes.Revision, Full: b.replica.After() == 0 || changes.Compacted}
	if u.Full {
		changes.Items, _, _ = h.store.List("", "", math.MaxInt)
	}
	for _, i := range changes.Items {
		u.Items = append(u.Items, replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	u.Age = time.Duration(h.draw("age", 50)) * time.Millisecond
	h.merge(b, u)
}

// merge does as a balancer does with an update.
func (h *returnHistory) merge(b *returnBalancer, u replicator.Update) {
	if age, known := b.replica.Age(h.now); known && age > 2*time.Second {
		b.SetOutage(h.now.Add(2500 * time.Millisecond))
	}
	era, first := b.replica.Era(), b.replica.Revision() == 0
	changed := b.replica.Merge(u, h.now)
	if b.replica.Era() != era && b.replica.InGrace() {
		b.SetReturn(b.replica.GraceEnd())
		if !first {
			b.SetOutage(b.replica.GraceEnd())
		}
	}
	for _, item := range changed {
		h.apply(b, item)
	}
	if age, known := b.replica.Age(h.now); known {
		b.SetConfirmed(h.now.Add(-age))
	}
	wanted := h.truth["out"] != ""
	if b.outSeen && b.out != wanted {
		h.t.Fatalf("the zone is out: %v, though it was seen %v and its operator wants no other", b.out, wanted)
	}
	if u.Era == h.store.Era() && u.Revision == h.store.ChangesSince("", u.Revision).Revision {
		sawBefore := b.changesSeen >= len(h.outChanges)-1
		b.changesSeen = len(h.outChanges)
		b.outSeen = b.outSeen || sawBefore && b.out == wanted && slices.ContainsFunc(changed, func(i replicator.Item) bool { return i.Key == "out" })
	}
	if version, _ := b.Version(); version < b.version {
		h.t.Fatalf("the configuration went back from version %d to %d", b.version, version)
	}
	b.version, _ = b.Version()
}

func (h *returnHistory) apply(b *returnBalancer, item replicator.Item) {
	var run int
	var state string
	_, _ = fmt.Sscan(string(item.Value), &run, &state)
	switch {
	case item.Key == "op/config":
		b.SetConfiguration(configuration(uint64(run)))
	case item.Key == "out":
		b.SetZoneOut(evacuatedZone, !item.Removed)
		b.out = !item.Removed
	case item.Removed:
		b.RemoveTarget(h.now, item.Key)
	case item.Key != "always":
		t := target(int(item.Key[2] - '0'))
		t.Started, t.Draining = int64(run), state == "draining"
		b.SetTarget(h.now, t)
		if t.Draining {
			b.draining[fmt.Sprint(t.Name, run)] = true
		}
	}
}

func (h *returnHistory) open(b *returnBalancer) {
	h.callers++
	decision := b.Decide(h.now, opening(h.callers, 0))
	switch {
	case decision.Action == director.Reset:
		h.t.Fatalf("an opening was reset (%s) though t-1 runs", decision.Reason)
	case decision.Action == director.Drop:
		return
	case b.draining[fmt.Sprint(decision.Target.Name, decision.Target.Started)]:
		h.t.Fatalf("%s got a new flow after it was seen draining", decision.Target.Name)
	case decision.Target.Name == "t-1":
		h.flows = append(h.flows, historyFlow{caller: h.callers, token: decision.Token, target: "t-1", openedAt: h.now})
	}
}
