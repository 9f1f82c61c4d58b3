// Package replicator holds a balancer's replica of keys in the platform's store,
// and computes the update that a peer with an older replica needs.
//
// Every item carries the store revision at which its key last changed. For each
// key the highest revision wins, in whatever order and from whichever source
// updates arrive. A replica therefore never reverts to an older value.
//
// The store may come back from an older copy and give out revisions again. Its era rises
// then. An update of an earlier era than the replica's is ignored, and a full update of a
// newer era replaces the content. For a while, Merge does not report what the older copy
// lacks as removed: it may be written again (see RewriteGrace).
//
// # Usage
//
//	var r replicator.Replica
//	changed := r.Merge(update, now)
//	age, known := r.Age(now)
//	forPeer := r.Since(peerRevision, now)
//
// A Replica reads no clock: the caller passes the current time. It is not safe for
// concurrent use.
package replicator

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/compressor"
)

// maxRemovals is the maximum number of removed keys that a replica remembers. It
// covers a rolling replacement of a tenth of the 9,800 servers that the system is
// designed for.
const maxRemovals = 1024

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// Value is compressed if Compressed is set; see Decompress.
	Value      []byte
	Compressed bool
	// Revision is the store revision of the key's last change.
	Revision uint64
	// Removed is true if the key was removed at Revision.
	Removed bool
}

// minCompressBytes is the size in bytes from which values are compressed. A
// registration has 200 bytes, and compressing it saves nothing.
const minCompressBytes = 1024

// maxValueBytes is the maximum size in bytes of a decompressed value. The store
// accepts values of up to 1 MB.
const maxValueBytes = 4 << 20

// Compress returns the item with its value compressed, or unchanged if the value is
// shorter than minCompressBytes. A value is compressed once for all the peers that
// it is sent to. A configuration of 400 routes shrinks from 100 KB to about a tenth.
func (i Item) Compress() (Item, error) {
	if i.Compressed || len(i.Value) < minCompressBytes {
		return i, nil
	}
	compressed, err := compressor.Compress(i.Value)
	if err != nil {
		return i, err
	}
	i.Value = compressed
	i.Compressed = true
	return i, nil
}

// Decompress returns the item with its value decompressed. It fails if the compressed
// value is malformed or decompresses to more than 4 MB.
func (i Item) Decompress() (Item, error) {
	if !i.Compressed {
		return i, nil
	}
	value, err := compressor.Decompress(i.Value, maxValueBytes)
	if err != nil {
		return i, err
	}
	i.Value = value
	i.Compressed = false
	return i, nil
}

// Update holds the changes that a source, the store or a peer, has after a revision.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Items are the changed keys, or all existing keys if Full is set.
	Items []Item
	// Revision is the store revision up to which the update is complete.
	Revision uint64
	// Full is true if a key that is missing from Items does not exist at Revision.
	Full bool
	// Age is the time since the store last confirmed the update to its source.
	Age time.Duration
	// Era is the store's era, or 0 if the source doesn't know it. Peers exchange it and
	// EraAge outside the encoded update, because earlier releases decode only the fields above.
	Era uint64 `cbor:"-"`
	// EraAge is the time since the source learned of the era; it is at most the time since
	// the era began.
	EraAge time.Duration `cbor:"-"`
}

// Replica is a local copy of keys of the store. The zero value is an empty replica
// at revision 0.
type Replica struct {
	items map[string]Item
	// removals holds the removals of keys.
	removals map[string]removal
	revision uint64
	// removalsFrom is a revision: every removal after it is in removals.
	removalsFrom uint64
	// confirmedAt is when the store last confirmed the replica's content.
	confirmedAt time.Time
	era         eraState
}

// removal is the removal of a key.
type removal struct {
	// revision is that of the removal, and last the item before it, if it was known.
	revision uint64
	last     Item
}

// Merge applies the items of the update that are newer than the replica's, and
// returns them in order of revision. A key that is missing from a full update is
// returned as removed, but not during the grace of a new era (see RewriteGrace).
func (r *Replica) Merge(u Update, now time.Time) []Item {
	if r.items == nil {
		r.items = make(map[string]Item)
		r.removals = make(map[string]removal)
	}
	if !r.admit(u) {
		return nil
	}
	var changed []Item
	if era := r.eraOf(u); era > r.era.number {
		changed = r.beginEra(u, era, now)
	} else {
		changed = r.mergeUpdate(u)
	}
	if confirmedAt := now.Add(-u.Age); confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
	changed = append(changed, r.endGrace()...)
	slices.SortStableFunc(changed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// mergeUpdate merges an update of the replica's era, and returns the changes.
func (r *Replica) mergeUpdate(u Update) []Item {
	var changed []Item
	for _, item := range u.Items {
		hidden := r.era.hidden[item.Key]
		if r.mergeItem(item) && (!hidden || !item.Removed) {
			changed = append(changed, item)
		}
	}
	if u.Full {
		changed = append(changed, r.removeMissing(u)...)
	}
	if r.revision == 0 {
		// An empty replica holds no removals from before its first update.
		r.removalsFrom = u.Revision
	}
	r.revision = max(r.revision, u.Revision)
	return changed
}

// mergeItem applies the item if it is newer than the replica's state of the key, and
// reports whether it did.
func (r *Replica) mergeItem(item Item) bool {
	if item.Revision <= r.items[item.Key].Revision || item.Revision <= r.removals[item.Key].revision {
		return false
	}
	delete(r.era.retained, item.Key)
	delete(r.era.hidden, item.Key)
	if !item.Removed {
		delete(r.removals, item.Key)
		r.items[item.Key] = item
		return true
	}
	last := r.items[item.Key]
	delete(r.items, item.Key)
	r.recordRemoval(item.Key, removal{revision: item.Revision, last: last})
	return true
}

// recordRemoval remembers that a key was removed. Beyond maxRemovals it forgets the
// removal with the lowest revision.
func (r *Replica) recordRemoval(key string, rem removal) {
	r.removals[key] = rem
	if len(r.removals) <= maxRemovals {
		return
	}
	oldest := key
	for k, other := range r.removals {
		if other.revision < r.removals[oldest].revision {
			oldest = k
		}
	}
	r.removalsFrom = max(r.removalsFrom, r.removals[oldest].revision)
	delete(r.removals, oldest)
}

// removeMissing removes the keys that are missing from a full update, and returns
// the removals. It keeps keys that were written after the update's revision: the
// update is older than these keys.
func (r *Replica) removeMissing(u Update) []Item {
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		present[item.Key] = !item.Removed
	}
	var removed []Item
	for key, item := range r.items {
		if present[key] || item.Revision > u.Revision {
			continue
		}
		if !r.era.hidden[key] {
			removed = append(removed, Item{Key: key, Revision: u.Revision, Removed: true})
		}
		delete(r.era.hidden, key)
		delete(r.items, key)
		r.recordRemoval(key, removal{revision: u.Revision, last: item})
	}
	return removed
}

// Since returns the update that brings a replica at revision after up to date. The
// update is full if after is 0 or older than the remembered removals.
func (r *Replica) Since(after uint64, now time.Time) Update {
	u := Update{Revision: r.revision, Full: after == 0 || after < r.removalsFrom}
	u.Age, _ = r.Age(now)
	u.Era, u.EraAge = r.era.number, r.eraAge(now)
	for _, item := range r.items {
		if u.Full || item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	if u.Full {
		return u
	}
	for key, rem := range r.removals {
		if rem.revision > after {
			u.Items = append(u.Items, Item{Key: key, Revision: rem.revision, Removed: true})
		}
	}
	return u
}

// ChangedSince reports whether Since(after) may return any items: a key changed after
// that revision, or the update would be full.
func (r *Replica) ChangedSince(after uint64) bool {
	if after == 0 || after < r.removalsFrom {
		return true
	}
	for _, item := range r.items {
		if item.Revision > after {
			return true
		}
	}
	for _, rem := range r.removals {
		if rem.revision > after {
			return true
		}
	}
	return false
}

// Revision returns the store revision up to which the replica is complete. It is 0
// for an empty replica.
func (r *Replica) Revision() uint64 { return r.revision }

// ReplaceWithCompressed replaces an item of an era by its compressed form, unless the era or
// the key has changed since the item was read.
func (r *Replica) ReplaceWithCompressed(era uint64, compressed Item) {
	if era == r.era.number && r.items[compressed.Key].Revision == compressed.Revision {
		r.items[compressed.Key] = compressed
	}
}

// Find returns the item of a key, and whether the store has the key in the current era.
func (r *Replica) Find(key string) (Item, bool) {
	item, ok := r.items[key]
	return item, ok
}

// Age returns the time since the store last confirmed the replica's content, and
// whether it ever has.
func (r *Replica) Age(now time.Time) (time.Duration, bool) {
	if r.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(r.confirmedAt), 0), true
}
