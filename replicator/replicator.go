// Package replicator keeps a balancer's copy of the keys in the platform's store
// that matter to it, and says what a peer with an older copy lacks.
//
// Every key carries the store's revision of its last change. The newest revision
// of a key wins, whatever the order in which updates arrive and wherever they come
// from, so a copy never goes back.
//
// # Usage
//
//	var r replicator.Replica
//	changed := r.Merge(update, now)
//	age, known := r.Age(now)
//	forPeer := r.Since(after, now)
//
// A Replica reads no clock and is not safe for use from several goroutines.
package replicator

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/compressor"
)

// maxRemovals bounds the removed keys that are remembered. At the size to design
// for, 9,800 servers, a rolling replacement of a tenth of them fits.
const maxRemovals = 1024

// Item is one key of the store.
type Item struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Value is packed if Packed is set; see Unpack.
	Value    []byte
	Packed   bool
	Revision uint64
	// Removed says that the key was removed at Revision.
	Removed bool
}

// packBytes is the size of a value from which on it is packed. A registration has
// 200 bytes and gains nothing.
const packBytes = 1024

// maxValueBytes bounds what a packed value may unpack to; the store takes 1 MB.
const maxValueBytes = 4 << 20

// Pack packs the item's value if it is large, once for all who are told of it. A
// configuration of 400 routes shrinks from 100 KB to about a tenth.
func (i Item) Pack() (Item, error) {
	if i.Packed || len(i.Value) < packBytes {
		return i, nil
	}
	packed, err := compressor.Pack(i.Value)
	if err != nil {
		return i, err
	}
	i.Value = packed
	i.Packed = true
	return i, nil
}

// Unpack returns the item with its value as it was written.
func (i Item) Unpack() (Item, error) {
	if !i.Packed {
		return i, nil
	}
	value, err := compressor.Unpack(i.Value, maxValueBytes)
	if err != nil {
		return i, err
	}
	i.Value = value
	i.Packed = false
	return i, nil
}

// Update is what a source knows beyond a revision.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Items are the changed keys, or all of them if Full is set.
	Items []Item
	// Revision is the store's revision up to which the update is complete.
	Revision uint64
	// Full says that a key which is missing in Items does not exist at Revision.
	Full bool
	// Age is how long ago the store confirmed the update, as its source knows.
	Age time.Duration
}

// Replica is a copy of the keys. The zero value is empty and knows nothing.
type Replica struct {
	items    map[string]Item
	removed  map[string]uint64
	revision uint64
	// floor is the revision from which on all removals are remembered.
	floor     uint64
	confirmed time.Time
}

// Merge takes over what is new in the update and returns it, in the order of the
// revisions. A key that a full update lacks is returned as removed.
func (r *Replica) Merge(u Update, now time.Time) []Item {
	if r.items == nil {
		r.items = make(map[string]Item)
		r.removed = make(map[string]uint64)
	}
	var changed []Item
	for _, item := range u.Items {
		if r.take(item) {
			changed = append(changed, item)
		}
	}
	if u.Full {
		changed = append(changed, r.dropMissing(u)...)
	}
	if r.revision == 0 {
		// An empty copy can't tell what was removed before.
		r.floor = u.Revision
	}
	r.revision = max(r.revision, u.Revision)
	if confirmed := now.Add(-u.Age); confirmed.After(r.confirmed) {
		r.confirmed = confirmed
	}
	slices.SortStableFunc(changed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

func (r *Replica) take(item Item) bool {
	if item.Revision <= r.items[item.Key].Revision || item.Revision <= r.removed[item.Key] {
		return false
	}
	if !item.Removed {
		delete(r.removed, item.Key)
		r.items[item.Key] = item
		return true
	}
	delete(r.items, item.Key)
	r.remember(item.Key, item.Revision)
	return true
}

func (r *Replica) remember(key string, revision uint64) {
	r.removed[key] = revision
	if len(r.removed) <= maxRemovals {
		return
	}
	oldest := key
	for k, rev := range r.removed {
		if rev < r.removed[oldest] {
			oldest = k
		}
	}
	r.floor = max(r.floor, r.removed[oldest])
	delete(r.removed, oldest)
}

// dropMissing removes the keys that a full update lacks. A key that was written
// after the update's revision may be missing only because the update is older.
func (r *Replica) dropMissing(u Update) []Item {
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = !item.Removed
	}
	var gone []Item
	for key, item := range r.items {
		if present[key] || item.Revision > u.Revision {
			continue
		}
		gone = append(gone, Item{Key: key, Revision: u.Revision, Removed: true})
		delete(r.items, key)
		r.remember(key, u.Revision)
	}
	return gone
}

// Since returns what a copy that is complete up to revision after lacks.
func (r *Replica) Since(after uint64, now time.Time) Update {
	u := Update{Revision: r.revision, Full: after == 0 || after < r.floor}
	u.Age, _ = r.Age(now)
	for _, item := range r.items {
		if u.Full || item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	if u.Full {
		return u
	}
	for key, revision := range r.removed {
		if revision > after {
			u.Items = append(u.Items, Item{Key: key, Revision: revision, Removed: true})
		}
	}
	return u
}

// Changed reports whether any key changed after a revision.
func (r *Replica) Changed(after uint64) bool {
	if after == 0 || after < r.floor {
		return true
	}
	for _, item := range r.items {
		if item.Revision > after {
			return true
		}
	}
	for _, revision := range r.removed {
		if revision > after {
			return true
		}
	}
	return false
}

// Revision returns the store's revision up to which the copy is complete; 0 means
// that it is empty.
func (r *Replica) Revision() uint64 { return r.revision }

// Keep puts the packed form of an item in the place of the item, if that is still the
// newest of its key.
func (r *Replica) Keep(packed Item) {
	if r.items[packed.Key].Revision == packed.Revision {
		r.items[packed.Key] = packed
	}
}

// Find returns a key's item.
func (r *Replica) Find(key string) (Item, bool) {
	item, ok := r.items[key]
	return item, ok
}

// Age returns how long ago the store last confirmed the copy, and whether it ever
// has.
func (r *Replica) Age(now time.Time) (time.Duration, bool) {
	if r.confirmed.IsZero() {
		return 0, false
	}
	return max(now.Sub(r.confirmed), 0), true
}
