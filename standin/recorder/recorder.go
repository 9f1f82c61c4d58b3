// Package recorder keeps keys in memory with a revision for each change, the history of
// the changes, and leases: what stand-ins of a key-value service have in common, whatever
// they speak. It can also be made to misbehave: to forget its history, to end leases
// early and to hide keys.
//
// # Usage
//
//	s := recorder.New()
//	s.Set("zones/a", []byte("out"))
//	changes := s.Since("zones/", 0)
//	<-changes.More // closed by the next change
package recorder

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a key as it was written or, in a history, removed.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change, Created that of the first.
	Revision, Created uint64
	// Lease is the one whose end removes the key; 0 means none.
	Lease   uint64
	Removed bool
}

// Store holds keys. Its methods may be called from several goroutines.
type Store struct {
	// Rewrite, if it is set, returns what is kept in place of a value that Put gets. It
	// is set before the first call.
	Rewrite func(value []byte) []byte

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// first is the revision from which on the history is whole.
	first   uint64
	leases  map[uint64]time.Time
	ttls    map[uint64]time.Duration
	changed chan struct{}
	hidden  string
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		items:   make(map[string]Item),
		leases:  make(map[uint64]time.Time),
		ttls:    make(map[uint64]time.Duration),
		changed: make(chan struct{}),
	}
}

// put writes a key, or removes it if value is nil, under the lock.
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

// Set writes a key, or removes it if value is nil, without a lease. It returns when that
// took effect.
func (s *Store) Set(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return time.Now()
}

// Put writes all items or, if one names a lease that there isn't, none, and returns the
// revision and whether they were written.
func (s *Store) Put(items []Item) (revision uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range items {
		if _, exists := s.leases[i.Lease]; i.Lease != 0 && !exists {
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

// List returns up to most of the keys that begin with a prefix and come after another
// key, in their order, and whether there are more.
func (s *Store) List(prefix, after string, most int) (items []Item, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after && !s.hides(key) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items[:min(len(items), most)], len(items) > most, s.revision
}

// Changes are what happened after a revision.
type Changes struct {
	Items []Item
	// Lost says that a part of that history was forgotten.
	Lost     bool
	Revision uint64
	// More is closed by the next change.
	More <-chan struct{}
}

// Since returns what happened to keys with a prefix after a revision.
func (s *Store) Since(prefix string, after uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Lost: after < s.first, Revision: s.revision, More: s.changed}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) && !s.hides(i.Key) {
			c.Items = append(c.Items, i)
		}
	}
	return c
}

func (s *Store) hides(key string) bool { return s.hidden != "" && strings.HasPrefix(key, s.hidden) }

// Hide has keys under a prefix not shown from now on; an empty one shows all.
func (s *Store) Hide(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = prefix
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.first = nil, s.revision
}

// Lease makes a lease and returns its number, which is a revision.
func (s *Store) Lease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.ttls[s.revision] = ttl
	s.leases[s.revision] = time.Now().Add(ttl)
	return s.revision
}

// Keep renews a lease and returns its time to live, and whether it exists.
func (s *Store) Keep(lease uint64) (ttl time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return 0, false
	}
	s.leases[lease] = time.Now().Add(s.ttls[lease])
	return s.ttls[lease], true
}

// End ends a lease and removes its keys.
func (s *Store) End(lease uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(lease)
}

func (s *Store) end(lease uint64) {
	delete(s.leases, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.put(key, nil, 0)
		}
	}
}

// Revoke ends all leases at once.
func (s *Store) Revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease := range s.leases {
		s.end(lease)
	}
}

// Expire ends the leases that have run out.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease, at := range s.leases {
		if now.After(at) {
			s.end(lease)
		}
	}
}
