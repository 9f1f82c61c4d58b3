package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/replicator"
)

// rewriteTime is the time after a return of the store in which its writers write again what
// it lost. It is the platform's stated time.
const rewriteTime = 2 * time.Second

// Guards against a balancer that takes what an older copy of the store lacks for removed, that
// ignores what is written after a return since its revision is low, or that keeps a removed
// key: whenever the store returns, and whichever answers are late, lost or of a peer.
func TestReplicasFollowAStoreThatReturnsInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newEraHistory(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			h.step()
		}
		h.settle()
	})
}

// Earlier releases decode an update of four fields.
func TestEncodedUpdateLacksTheEra(t *testing.T) {
	is := is.New(t)
	u := update(7, writtenItem("a", 7))
	plain, err := cbor.Marshal(u)
	is.NoErr(err)
	u.Era, u.EraAge = 3, time.Second
	encoded, err := cbor.Marshal(u)
	is.NoErr(err)
	is.Equal(encoded, plain)
}

// copiedStore is a store that can return to an earlier state.
type copiedStore struct {
	era, revision uint64
	items         map[string]replicator.Item
	// events holds the changes that led to the state.
	events []replicator.Item
	// eraStart is the revision from which keys were written in this era.
	eraStart uint64
}

func (s *copiedStore) write(item replicator.Item) {
	s.revision++
	item.Revision = s.revision
	s.events = append(s.events, item)
	if item.Removed {
		delete(s.items, item.Key)
		return
	}
	s.items[item.Key] = item
}

// returnBy goes back by a number of changes.
func (s *copiedStore) returnBy(n int) {
	events := slices.Clone(s.events[:len(s.events)-n])
	*s = copiedStore{era: s.era + 1, items: make(map[string]replicator.Item)}
	for _, e := range events {
		s.write(e)
	}
	s.eraStart = s.revision
}

// fetch answers a watch, or a listing if the revision is unknown.
func (s *copiedStore) fetch(after uint64) replicator.Update {
	u := replicator.Update{Era: s.era, Revision: s.revision, Full: after == 0 || after > s.revision}
	for _, item := range s.items {
		if u.Full {
			u.Items = append(u.Items, item)
		}
	}
	for _, e := range s.events {
		if !u.Full && e.Revision > after {
			u.Items = append(u.Items, e)
		}
	}
	return u
}

type modelReplica struct {
	*replicator.Replica
	// shown is what Merge has reported.
	shown map[string]string
}

type lateAnswer struct {
	update replicator.Update
	sent   time.Time
}

type eraHistory struct {
	t     *rapid.T
	now   time.Time
	store copiedStore
	// truth is what the writers want the store to hold. They write it again until
	// rewriteBy, if the store has lost it.
	truth     map[string]string
	rewriteBy time.Time
	replicas  []*modelReplica
	late      []lateAnswer
	writes    int
}

// lasting keys are written at the start and are never removed by their writers.
var (
	lasting  = []string{"lasting-a", "lasting-b"}
	changing = []string{"a", "b", "c", "d"}
)

func newEraHistory(t *rapid.T) *eraHistory {
	h := &eraHistory{t: t, now: start, truth: make(map[string]string)}
	h.store = copiedStore{era: 1, items: make(map[string]replicator.Item)}
	h.write("always") // no copy is empty
	for _, key := range lasting {
		h.write(key)
	}
	for range rapid.IntRange(1, 3).Draw(t, "replicas") {
		h.replicas = append(h.replicas, &modelReplica{Replica: &replicator.Replica{}, shown: make(map[string]string)})
	}
	return h
}

func (h *eraHistory) write(key string) {
	h.writes++
	h.truth[key] = fmt.Sprint(h.writes)
	h.store.write(replicator.Item{Key: key, Value: []byte(h.truth[key])})
}

func (h *eraHistory) step() {
	key := rapid.SampledFrom(changing).Draw(h.t, "key")
	r := rapid.SampledFrom(h.replicas).Draw(h.t, "replica")
	switch rapid.IntRange(0, 10).Draw(h.t, "step") {
	case 0:
		h.write(rapid.SampledFrom(append(lasting, changing...)).Draw(h.t, "written"))
	case 1:
		if h.truth[key] != "" {
			delete(h.truth, key)
			h.store.write(replicator.Item{Key: key, Removed: true})
		}
	case 2:
		h.store.returnBy(rapid.IntRange(0, min(6, len(h.store.events)-1)).Draw(h.t, "lost"))
		h.rewriteBy = h.now.Add(rewriteTime)
	case 3:
		*r.Replica, r.shown = replicator.Replica{}, make(map[string]string)
	case 4:
		h.late = append(h.late, lateAnswer{h.store.fetch(r.After()), h.now})
	case 5:
		if len(h.late) > 0 {
			// Answers of the store arrive in any order, or never.
			a := h.late[rapid.IntRange(0, len(h.late)-1).Draw(h.t, "answer")]
			a.update.Age = h.now.Sub(a.sent)
			if a.update.Full && a.update.Era == r.Era() && a.update.Revision < r.Revision() {
				return // a balancer makes one query at a time, so no later answer came before
			}
			if !a.update.Full {
				a.update = replicator.Update{Era: a.update.Era, Revision: r.Revision(), Age: a.update.Age}
			}
			h.merge(r, a.update)
		}
	case 6:
		peer := rapid.SampledFrom(h.replicas).Draw(h.t, "peer")
		if peer.Revision() > 0 {
			u := peer.Since(peer.AfterFor(r.Era(), r.After()), h.now)
			h.merge(r, u)
		}
	case 7:
		h.pass(time.Duration(rapid.IntRange(50, 1900).Draw(h.t, "ms")) * time.Millisecond)
	case 8:
		h.rewrite()
	default:
		h.ask(r)
	}
}

// pass lets time pass. The writers write again what is lost before their time is over.
func (h *eraHistory) pass(d time.Duration) {
	h.now = h.now.Add(d)
	if !h.now.Before(h.rewriteBy) {
		h.rewrite()
	}
}

func (h *eraHistory) rewrite() {
	for _, key := range append(append([]string{"always"}, lasting...), changing...) {
		item, exists := h.store.items[key]
		switch want := h.truth[key]; {
		case want == "" && exists:
			h.store.write(replicator.Item{Key: key, Removed: true})
		case want != "" && string(item.Value) != want:
			h.store.write(replicator.Item{Key: key, Value: []byte(want)})
		}
	}
}

// ask lets a replica ask the store until it has the content of its era.
func (h *eraHistory) ask(r *modelReplica) {
	for range 2 {
		h.merge(r, h.store.fetch(r.After()))
	}
	for key, item := range h.store.items {
		if item.Revision > h.store.eraStart && r.shown[key] != string(item.Value) {
			h.t.Fatalf("%s was written after the return: shown %q, store %q", key, r.shown[key], item.Value)
		}
	}
}

func (h *eraHistory) merge(r *modelReplica, u replicator.Update) {
	era := r.Era()
	for _, item := range r.Merge(u, h.now) {
		if item.Removed && slices.Contains(lasting, item.Key) {
			h.t.Fatalf("%s was reported as removed", item.Key)
		}
		r.shown[item.Key] = string(item.Value)
		if item.Removed {
			delete(r.shown, item.Key)
		}
	}
	if r.Era() < era {
		h.t.Fatalf("the era went back from %d to %d", era, r.Era())
	}
}

// settle lets the grace pass. Each replica then holds and shows what the store does.
func (h *eraHistory) settle() {
	h.rewrite()
	for range 3 {
		h.now = h.now.Add(2 * time.Second)
		for _, r := range h.replicas {
			h.ask(r)
		}
	}
	for _, r := range h.replicas {
		for _, key := range append(append([]string{}, lasting...), changing...) {
			item, held := r.Find(key)
			if got := r.shown[key]; got != h.truth[key] || held != (got != "") || string(item.Value) != got {
				h.t.Fatalf("%s: shown %q, held %q, want %q", key, got, item.Value, h.truth[key])
			}
		}
	}
}
