// Package recorder is an in-memory key-value store with a revision for each change, a history
// of changes, and leases. Simulated key-value services with different APIs can be built on it.
// It can inject faults: drop its history, revoke leases early, hide keys and return to a copy.
//
// # Usage
//
//	s := recorder.New()
//	s.Set("zones/a", []byte("out"))
//	changes := s.ChangesSince("zones/", 0)
//	<-changes.Changed // closed by the next change
package recorder

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key and its value or, in a history, one change or removal of a key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change, Created that of the key's first write.
	Revision, Created uint64
	// Lease is the lease whose end removes the key; 0 means none.
	Lease   uint64
	Removed bool
}

// Store holds keys, their history and leases. Its methods may be called from several goroutines.
type Store struct {
	// Rewrite, if it is set, is applied to each value that Put stores. It must be set before
	// the first call of a method.
	Rewrite func(value []byte) []byte

	mu       sync.Mutex
	revision uint64
	// era is how often the store returned to a copy.
	era     uint64
	items   map[string]Item
	history []Item
	// historyStart is the revision after which the history is complete.
	historyStart uint64
	leaseExpiry  map[uint64]time.Time
	leaseTTL     map[uint64]time.Duration
	// changed is closed and replaced at each change.
	changed chan struct{}
	// hiddenPrefix is the prefix of the keys that are not shown; empty means that all are.
	hiddenPrefix string
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		items:       make(map[string]Item),
		leaseExpiry: make(map[uint64]time.Time),
		leaseTTL:    make(map[uint64]time.Duration),
		changed:     make(chan struct{}),
	}
}

// put writes a key, or removes it if value is nil. The caller holds the lock.
func (s *Store) put(key string, value []byte, lease uint64) {
	old, exists := s.items[key]
	if value == nil && !exists {
		return
	}
	s.revision++
	i := Item{Key: key, Value: value, Revision: s.revision, Created: old.Created, Lease: lease, Removed: value == nil}
	if !exists {
		i.Created = s.revision
	}
	if i.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Set writes a key without a lease, or removes the key if value is nil. It returns the time
// at which the change took effect.
func (s *Store) Set(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return time.Now()
}

// Put writes all items, or none if an item names a lease that doesn't exist. It returns the
// revision of the store and whether the items were written.
func (s *Store) Put(items []Item) (revision uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		if _, exists := s.leaseExpiry[i.Lease]; i.Lease != 0 && !exists {
			return s.revision, false
		}
	}
	for _, i := range items {
		value := append([]byte{}, i.Value...)
		if s.Rewrite != nil {
			value = s.Rewrite(value)
		}
		s.put(i.Key, value, i.Lease)
	}
	return s.revision, true
}

// List returns up to limit items whose keys begin with prefix and sort after the key after,
// in the order of keys. It also returns whether there are more, and the store's revision.
func (s *Store) List(prefix, after string, limit int) (items []Item, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after && !s.isHidden(key) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items[:min(len(items), limit)], len(items) > limit, s.revision
}

// Changes holds the changes after a revision.
type Changes struct {
	Items []Item
	// Compacted says that a part of this history was dropped, or that the store doesn't have
	// the revision, so that Items may be incomplete.
	Compacted bool
	Revision  uint64
	// Changed is closed by the next change.
	Changed <-chan struct{}
}

// ChangesSince returns the changes after a revision to keys that begin with prefix.
func (s *Store) ChangesSince(prefix string, after uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Compacted: after < s.historyStart || after > s.revision, Revision: s.revision, Changed: s.changed}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) && !s.isHidden(i.Key) {
			c.Items = append(c.Items, i)
		}
	}
	return c
}

func (s *Store) isHidden(key string) bool {
	return s.hiddenPrefix != "" && strings.HasPrefix(key, s.hiddenPrefix)
}

// Hide hides keys that begin with prefix from List and ChangesSince; "" shows all keys.
func (s *Store) Hide(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenPrefix = prefix
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
}

// GrantLease creates a lease and returns its ID, which is a new revision.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leaseTTL[s.revision] = ttl
	s.leaseExpiry[s.revision] = time.Now().Add(ttl)
	return s.revision
}

// RenewLease renews a lease. It returns the lease's time to live and whether it exists.
func (s *Store) RenewLease(lease uint64) (ttl time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leaseExpiry[lease]; !ok {
		return 0, false
	}
	s.leaseExpiry[lease] = time.Now().Add(s.leaseTTL[lease])
	return s.leaseTTL[lease], true
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(lease uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoke(lease)
}

// revoke ends a lease and removes its keys. The caller holds the lock.
func (s *Store) revoke(lease uint64) {
	delete(s.leaseExpiry, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.put(key, nil, 0)
		}
	}
}

// RevokeAllLeases ends all leases and removes their keys.
func (s *Store) RevokeAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease := range s.leaseExpiry {
		s.revoke(lease)
	}
}

// ExpireLeases ends the leases that have expired by now and removes their keys.
func (s *Store) ExpireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease, at := range s.leaseExpiry {
		if now.After(at) {
			s.revoke(lease)
		}
	}
}
