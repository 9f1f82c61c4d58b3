package replicator_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/replicator"
)

var start = time.Unix(1_700_000_000, 0)

func written(key string, revision uint64) replicator.Item {
	return replicator.Item{Key: key, Revision: revision, Value: fmt.Appendf(nil, "%s at %d", key, revision)}
}

func removed(key string, revision uint64) replicator.Item {
	return replicator.Item{Key: key, Revision: revision, Removed: true}
}

func update(revision uint64, items ...replicator.Item) replicator.Update {
	return replicator.Update{Revision: revision, Items: items}
}

func TestNewestRevisionWinsInAnyOrder(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	is.Equal(len(r.Merge(update(5, written("a", 5)), start)), 1)
	is.Equal(len(r.Merge(update(4, written("a", 4)), start)), 0)
	is.Equal(len(r.Merge(update(3, removed("a", 3)), start)), 0)
	item, ok := r.Find("a")
	is.True(ok)
	is.Equal(item.Revision, uint64(5))
	is.Equal(r.Revision(), uint64(5))
	is.Equal(len(r.Merge(update(6, removed("a", 6)), start)), 1)
	is.Equal(len(r.Merge(update(5, written("a", 5)), start)), 0) // a removed key stays removed
	_, ok = r.Find("a")
	is.True(!ok)
}

// Pages of a listing aren't a snapshot: a key that was written after the first
// page was read may be missing without being gone.
func TestFullUpdateRemovesOnlyWhatIsOlder(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	r.Merge(update(9, written("old", 3), written("kept", 4), written("new", 9)), start)
	changed := r.Merge(replicator.Update{Full: true, Revision: 7, Items: []replicator.Item{written("kept", 4)}}, start)
	is.Equal(len(changed), 1)
	is.Equal(changed[0].Key, "old")
	is.True(changed[0].Removed)
	_, ok := r.Find("new")
	is.True(ok)
}

func TestAgeCountsFromTheStoresWord(t *testing.T) {
	is := is.New(t)
	var r replicator.Replica
	_, known := r.Age(start)
	is.True(!known)
	u := update(1)
	u.Age = time.Second
	r.Merge(u, start)
	age, known := r.Age(start.Add(time.Second))
	is.True(known)
	is.Equal(age, 2*time.Second)
	u.Age = 5 * time.Second
	r.Merge(u, start.Add(time.Second)) // an older word takes nothing back
	age, _ = r.Age(start.Add(time.Second))
	is.Equal(age, 2*time.Second)
}

// A follower that takes what a reader knows beyond its own revision, whenever it
// asks, ends with what the reader holds.
func TestFollowerEndsWithWhatTheReaderHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, follower replicator.Replica
		revision := uint64(0)
		keys := rapid.SliceOfN(rapid.StringMatching("[a-f]"), 1, 60).Draw(t, "keys")
		for i, key := range keys {
			revision++
			item := written(key, revision)
			if rapid.Bool().Draw(t, "remove") {
				item = removed(key, revision)
			}
			full := rapid.IntRange(0, 9).Draw(t, "full") == 0
			if full {
				// The reader lists anew and misses what was removed.
				u := reader.Since(0, start)
				u.Full, u.Revision = true, revision
				reader.Merge(u, start)
			} else {
				reader.Merge(update(revision, item), start)
			}
			if i%3 == 0 {
				follower.Merge(reader.Since(follower.Revision(), start), start)
			}
		}
		follower.Merge(reader.Since(follower.Revision(), start), start)
		for _, key := range keys {
			want, wantOK := reader.Find(key)
			got, gotOK := follower.Find(key)
			if wantOK != gotOK || want.Revision != got.Revision {
				t.Fatalf("key %s: reader %v %v, follower %v %v", key, want.Revision, wantOK, got.Revision, gotOK)
			}
		}
	})
}

// The store forgets removed keys, and so does a replica: a peer that is further
// behind than what is remembered gets everything.
func TestPeerBehindTheRememberedRemovalsGetsAll(t *testing.T) {
	is := is.New(t)
	var r, peer replicator.Replica
	r.Merge(update(1, written("first", 1)), start)
	peer.Merge(r.Since(0, start), start)
	r.Merge(update(2, removed("first", 2)), start)
	for i := range 3000 {
		key := fmt.Sprint("key-", i)
		revision := uint64(3 + 2*i)
		r.Merge(update(revision, written(key, revision)), start)
		r.Merge(update(revision+1, removed(key, revision+1)), start)
	}
	u := r.Since(peer.Revision(), start)
	is.True(u.Full)
	peer.Merge(u, start)
	_, ok := peer.Find("first")
	is.True(!ok)
}

// An item is packed outside the lock that guards a copy, so a newer one may have come.
func TestPackedItemIsKeptUnlessThereIsANewerOne(t *testing.T) {
	is := is.New(t)
	large := replicator.Item{Key: "b", Value: bytes.Repeat([]byte("r"), 5000), Revision: 2}
	packed, err := large.Pack()
	is.NoErr(err)
	var r replicator.Replica
	r.Merge(replicator.Update{Items: []replicator.Item{large}, Revision: 2}, start)
	r.Keep(packed)
	kept, _ := r.Find("b")
	is.True(kept.Packed)
	newer := replicator.Item{Key: "b", Value: []byte("new"), Revision: 3}
	r.Merge(replicator.Update{Items: []replicator.Item{newer}, Revision: 3}, start)
	r.Keep(packed)
	kept, _ = r.Find("b")
	is.Equal(string(kept.Value), "new")
	r.Merge(replicator.Update{Items: []replicator.Item{{Key: "b", Revision: 4, Removed: true}}, Revision: 4}, start)
	r.Keep(packed)
	_, ok := r.Find("b")
	is.True(!ok)
}

func TestLargeValuesTravelPacked(t *testing.T) {
	is := is.New(t)
	small := replicator.Item{Key: "a", Value: []byte("short"), Revision: 1}
	packed, err := small.Pack()
	is.NoErr(err)
	is.True(!packed.Packed)
	large := replicator.Item{Key: "b", Value: bytes.Repeat([]byte(`{"name":"r-1"}`), 500), Revision: 2}
	packed, err = large.Pack()
	is.NoErr(err)
	is.True(packed.Packed)
	is.True(len(packed.Value) < len(large.Value)/10)
	again, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(again.Value, large.Value)
	packed.Value = packed.Value[:len(packed.Value)/2]
	_, err = packed.Unpack()
	is.True(err != nil)
}

// FuzzMerge takes any update that decodes from a peer; nothing may panic, and what
// is held stays consistent with its revisions.
func FuzzMerge(f *testing.F) {
	seed, err := cbor.Marshal(replicator.Update{Full: true, Revision: 3, Items: []replicator.Item{written("a", 2), removed("b", 3)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x84})
	f.Fuzz(func(t *testing.T, data []byte) {
		var u replicator.Update
		if cbor.Unmarshal(data, &u) != nil {
			return
		}
		var r replicator.Replica
		r.Merge(update(2, written("a", 2)), start)
		before := r.Revision()
		for _, item := range r.Merge(u, start) {
			_, _ = item.Unpack()
		}
		if r.Revision() < before {
			t.Fatal("the revision went back")
		}
		r.Since(1, start)
	})
}
