package replicator_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/replicator"
	"trefoilspring.example/trefoilspring/standin/recorder"
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

// A release that doesn't know the era sends none. Its answers count as long as the store can't
// have returned.
func TestAnswersWithoutAnEra(t *testing.T) {
	is := is.New(t)
	full := func(era, revision uint64) replicator.Update {
		return replicator.Update{Era: era, Revision: revision, Full: true, Items: []replicator.Item{writtenItem("a", revision)}}
	}
	for _, c := range []struct {
		eras []uint64
		want bool
	}{
		{eras: nil, want: true},
		{eras: []uint64{0}, want: true},
		{eras: []uint64{1}, want: true},
		{eras: []uint64{2}, want: false},
		{eras: []uint64{0, 1}, want: false}, // the era of the first content is unknown
		{eras: []uint64{1, 2}, want: false},
	} {
		var r replicator.Replica
		for i, era := range c.eras {
			r.Merge(full(era, uint64(10-i)), start)
		}
		is.Equal(r.IsOutdated(full(0, 20)), !c.want)
		is.Equal(len(r.Merge(full(0, 20), start)) > 0, c.want)
	}
}

// Changes of a newer era lack the other keys of that era: only a full update is merged.
func TestChangesOfANewerEraLeadToAFullUpdate(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	r.Merge(replicator.Update{Era: 1, Revision: 9, Full: true, Items: []replicator.Item{writtenItem("a", 9)}}, start)
	is.Equal(len(r.Merge(replicator.Update{Era: 2, Revision: 10, Items: []replicator.Item{writtenItem("b", 10)}}, start)), 0)
	is.Equal(r.After(), uint64(0))
	age, _ := r.Age(start.Add(time.Second))
	is.Equal(age, time.Second) // neither changes of a newer era nor an earlier era confirm anything
	r.Merge(replicator.Update{Era: 2, Revision: 7, Full: true}, start.Add(time.Second))
	is.Equal(r.After(), uint64(7))
	is.Equal(r.Retained(), 1)
	is.True(r.IsOutdated(replicator.Update{Era: 1, Revision: 12}))
	is.True(r.Since(r.AfterFor(1, 9), start).Full)
	is.Equal(len(r.Since(r.AfterFor(3, 2), start).Items), 0)
}

// fetch answers a watch, or a listing if the store doesn't have the revision.
func fetch(s *recorder.Store, after uint64) replicator.Update {
	changes := s.ChangesSince("", after)
	u := replicator.Update{Era: s.Era(), Revision: changes.Revision, Full: after == 0 || changes.Compacted}
	items := changes.Items
	if u.Full {
		items, _, _ = s.List("", "", math.MaxInt)
	}
	for _, i := range items {
		u.Items = append(u.Items, replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
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
	store *recorder.Store
	// copies holds the states that the store may return to, and returned the revision that
	// it last returned to.
	copies   []recorder.Copy
	returned uint64
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
	h := &eraHistory{t: t, now: start, store: recorder.New(), truth: make(map[string]string)}
	h.write("always") // no copy is empty
	h.copies = append(h.copies, h.store.Copy())
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
	h.store.Set(key, []byte(h.truth[key]))
}

func (h *eraHistory) step() {
	h.copies = append(h.copies, h.store.Copy())
	key := rapid.SampledFrom(changing).Draw(h.t, "key")
	r := rapid.SampledFrom(h.replicas).Draw(h.t, "replica")
	switch rapid.IntRange(0, 10).Draw(h.t, "step") {
	case 0:
		h.write(rapid.SampledFrom(append(lasting, changing...)).Draw(h.t, "written"))
	case 1:
		if h.truth[key] != "" {
			delete(h.truth, key)
			h.store.Set(key, nil)
		}
	case 2:
		h.copies = h.copies[:1+rapid.IntRange(max(0, len(h.copies)-6), len(h.copies)-1).Draw(h.t, "copy")]
		h.store.Return(h.copies[len(h.copies)-1])
		h.returned = h.store.ChangesSince("", 0).Revision
		h.rewriteBy = h.now.Add(rewriteTime)
	case 3:
		*r.Replica, r.shown = replicator.Replica{}, make(map[string]string)
	case 4:
		h.late = append(h.late, lateAnswer{fetch(h.store, r.After()), h.now})
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
	stored := make(map[string]string)
	for _, item := range fetch(h.store, 0).Items {
		stored[item.Key] = string(item.Value)
	}
	for _, key := range append(append([]string{"always"}, lasting...), changing...) {
		switch want := h.truth[key]; want {
		case stored[key]:
		case "":
			h.store.Set(key, nil)
		default:
			h.store.Set(key, []byte(want))
		}
	}
}

// ask lets a replica ask the store until it has the content of its era.
func (h *eraHistory) ask(r *modelReplica) {
	for range 2 {
		h.merge(r, fetch(h.store, r.After()))
	}
	for _, item := range fetch(h.store, 0).Items {
		if item.Revision > h.returned && r.shown[item.Key] != string(item.Value) {
			h.t.Fatalf("%s was written after the return: shown %q, store %q", item.Key, r.shown[item.Key], item.Value)
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

// A balancer whose sources have sent no era, as earlier releases do, gives a peer that knows
// the era all changes after its revision.
func TestPeerGetsAllChangesFromAReplicaWithoutEra(t *testing.T) {
	is := is.New(t)
	var withoutEra, r replicator.Replica
	withoutEra.Merge(update(7, writtenItem("a", 7)), start)
	known := update(5, writtenItem("b", 5))
	known.Era, known.Full = 1, true
	r.Merge(known, start)
	r.Merge(withoutEra.Since(withoutEra.AfterFor(r.Era(), r.After()), start), start)
	_, found := r.Find("a")
	is.True(found)
}

// A value that was compressed while the store came back replaces no value of the newer era,
// which may have the same revision.
func TestCompressedItemOfAnEarlierEraReplacesNothing(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	before, after := update(7, writtenItem("a", 7)), update(7, writtenItem("a", 7))
	before.Full, before.Era, after.Full, after.Era = true, 1, true, 2
	before.Items[0].Value, after.Items[0].Value = make([]byte, 2048), []byte("new")
	r.Merge(before, start)
	compressed, err := before.Items[0].Compress()
	is.NoErr(err)
	r.Merge(after, start)
	r.ReplaceWithCompressed(before.Era, compressed)
	item, _ := r.Find("a")
	is.Equal(item, after.Items[0])
}

// A key that was removed before the store came back stays hidden in the grace also if a peer
// has made this balancer compress its value.
func TestRemovedKeyWithACompressedValueStaysHidden(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	copied := update(7, writtenItem("a", 7), writtenItem("b", 6))
	copied.Full, copied.Era = true, 1
	copied.Items[0].Value = make([]byte, 2048)
	r.Merge(copied, start)
	compressed, err := copied.Items[0].Compress()
	is.NoErr(err)
	r.ReplaceWithCompressed(1, compressed)
	removal := update(8, removedItem("a", 8))
	removal.Era = 1
	r.Merge(removal, start)
	copied.Era = 2
	is.Equal(len(r.Merge(copied, start)), 0)
}
