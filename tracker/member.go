package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/planner"
)

// copiesOfRecord is on how many balancers beside its resolver a record is kept.
const copiesOfRecord = 2

// MemberID identifies a balancer by the hash of its name; 0 stands for none.
type MemberID uint32

// NewMemberID returns the identifier of the balancer with that name.
func NewMemberID(name string) MemberID {
	id := MemberID(xxhash.Sum64String(name))
	if id == 0 {
		id = 1
	}
	return id
}

// Member is a balancer as this one sees it.
type Member struct {
	ID MemberID
	// Resolves is false for a balancer that is joining, leaving or suspected: it
	// gets copies of records but no packets to resolve.
	Resolves bool
	// Asks is true for a balancer that is joining: it gets the records that are
	// older than its request with the answer.
	Asks bool
	// Keeps is false for a balancer that is leaving.
	Keeps bool
}

// ranks holds, for each slot, the resolver and the balancers that keep records.
// Services share the slots at different offsets.
type ranks struct {
	resolvers [planner.Buckets]MemberID
	keepers   [planner.Buckets][copiesOfRecord + 1]MemberID
	members   int
	asking    map[MemberID]bool
}

func slotOf(s planner.ServiceID, bucket int) int {
	return (bucket + int(s)) % planner.Buckets
}

func (r *ranks) resolver(slot int) MemberID {
	if r.members == 0 {
		return 0
	}
	return r.resolvers[slot]
}

// nextTo returns the first keeper of a slot besides self, or 0.
func (r *ranks) nextTo(slot int, self MemberID) MemberID {
	for _, m := range r.keepers[slot] {
		if m != self {
			return m
		}
	}
	return 0
}

// keepersOf returns who keeps the records of a slot besides self.
func (r *ranks) keepersOf(slot int, self MemberID) []MemberID {
	kept := make([]MemberID, 0, copiesOfRecord)
	for _, m := range r.keepers[slot] {
		if m != 0 && m != self && len(kept) < copiesOfRecord {
			kept = append(kept, m)
		}
	}
	return kept
}

func newRanks(members []Member) ranks {
	r := ranks{members: len(members), asking: make(map[MemberID]bool)}
	for _, m := range members {
		if m.Asks {
			r.asking[m.ID] = true
		}
	}
	for slot := range planner.Buckets {
		r.rank(slot, members)
	}
	return r
}

func (r *ranks) rank(slot int, members []Member) {
	var best uint64
	var scores [copiesOfRecord + 1]uint64
	for _, m := range members {
		score := scoreOf(m.ID, slot)
		if m.Resolves && (r.resolvers[slot] == 0 || score > best) {
			best = score
			r.resolvers[slot] = m.ID
		}
		if m.Keeps {
			insert(&r.keepers[slot], &scores, m.ID, score)
		}
	}
}

func insert(ids *[copiesOfRecord + 1]MemberID, scores *[copiesOfRecord + 1]uint64, id MemberID, score uint64) {
	for i := range ids {
		if ids[i] == 0 || score > scores[i] {
			ids[i], id = id, ids[i]
			scores[i], score = score, scores[i]
		}
		if id == 0 {
			return
		}
	}
}

func scoreOf(m MemberID, slot int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], uint32(m))
	binary.BigEndian.PutUint32(key[4:], uint32(slot))
	return xxhash.Sum64(key[:])
}

// SetMembers takes a new view of the live balancers, this one included. Records
// that this balancer resolves are copied to balancers that newly keep them.
func (t *Tracker) SetMembers(members []Member) {
	before := t.ranks
	t.ranks = newRanks(members)
	t.noteGained(&before)
	for id, s := range t.services {
		if len(s.tracked) > 0 {
			t.copyToNewKeepers(id, s, &before)
		}
	}
}

// noteGained remembers the slots that this balancer resolves from now on.
func (t *Tracker) noteGained(before *ranks) {
	if len(t.services) == 0 {
		return
	}
	for slot := range planner.Buckets {
		if t.ranks.resolver(slot) == t.self && before.resolver(slot) != t.self {
			t.gained[slot] = true
		}
	}
}

// takeOver starts the idle times of what this balancer newly resolves: it has not
// seen the packets that its predecessor resolved.
func (t *Tracker) takeOver(now time.Time) {
	if len(t.gained) == 0 {
		return
	}
	for id, s := range t.services {
		for i, b := range s.tracked {
			if t.gained[slotOf(id, i)] {
				b.lastBase = now
			}
		}
		for flow, r := range s.records {
			if t.gained[slotOf(id, planner.BucketOf(flow))] {
				r.seen = seconds(now)
				s.records[flow] = r
			}
		}
	}
	clear(t.gained)
}

func (t *Tracker) copyToNewKeepers(id planner.ServiceID, s *service, before *ranks) {
	for flow, r := range s.records {
		slot := slotOf(id, planner.BucketOf(flow))
		if !t.speaksFor(slot) {
			continue
		}
		for _, m := range t.ranks.keepersOf(slot, t.self) {
			if !keeps(before, slot, m) && !t.ranks.asking[m] {
				t.copyTo(m, id, flow, r.target)
			}
		}
	}
}

// speaksFor reports whether this balancer copies the records of a slot: as its
// resolver, or as one that kept them where the resolver may be new to them.
func (t *Tracker) speaksFor(slot int) bool {
	if t.ranks.resolver(slot) == t.self {
		return true
	}
	for _, m := range t.ranks.keepers[slot] {
		if m == t.self {
			return true
		}
	}
	return false
}

func keeps(r *ranks, slot int, member MemberID) bool {
	for _, m := range r.keepers[slot] {
		if m == member {
			return true
		}
	}
	return false
}
