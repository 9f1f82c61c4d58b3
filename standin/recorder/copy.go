package recorder

import (
	"maps"
	"slices"
	"time"
)

// Copy is the state of a store at one moment, to which it can return.
type Copy struct {
	revision, historyStart uint64
	items                  map[string]Item
	history                []Item
	leaseExpiry            map[uint64]time.Time
	leaseTTL               map[uint64]time.Duration
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision, historyStart: s.historyStart, items: maps.Clone(s.items), history: slices.Clone(s.history),
		leaseExpiry: maps.Clone(s.leaseExpiry), leaseTTL: maps.Clone(s.leaseTTL),
	}
}

// Return goes back to a copy, and raises the era by one. What was written since is lost, and its
// revisions and leases are given out again. Return returns what the store held before.
func (s *Store) Return(c Copy) map[string]Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.items
	s.era++
	s.revision, s.historyStart = c.revision, c.historyStart
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leaseExpiry, s.leaseTTL = maps.Clone(c.leaseExpiry), maps.Clone(c.leaseTTL)
	close(s.changed)
	s.changed = make(chan struct{})
	return before
}

// SetUnlessChanged writes a key as Set does, unless the key has changed since the copy.
func (s *Store) SetUnlessChanged(c Copy, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Revision == c.items[key].Revision {
		s.put(key, value, 0)
	}
}

// Lost returns the keys that differ between a copy and what the store held before it returned
// to it, with their values before, or nil for a key that was removed.
func (c Copy) Lost(before map[string]Item) map[string][]byte {
	lost := make(map[string][]byte)
	for key, i := range before {
		if c.items[key].Revision != i.Revision {
			lost[key] = i.Value
		}
	}
	for key := range c.items {
		if _, existed := before[key]; !existed {
			lost[key] = nil
		}
	}
	return lost
}

// Era returns the number of the store's era. It is 1 in a new store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era + 1
}
