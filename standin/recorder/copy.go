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
// revisions and leases are given out again.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.historyStart = c.revision, c.historyStart
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leaseExpiry, s.leaseTTL = maps.Clone(c.leaseExpiry), maps.Clone(c.leaseTTL)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the number of the store's era. It is 1 in a new store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era + 1
}
