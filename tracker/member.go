package tracker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/planner"
)

// recordCopies is the number of balancers, besides the resolver, that hold a copy of a
// record.
const recordCopies = 2

// MemberID identifies a balancer by the hash of its name. 0 stands for no balancer.
type MemberID uint32

// NewMemberID returns the identifier of the balancer with a name.
func NewMemberID(name string) MemberID {
	id := MemberID(xxhash.Sum64String(name))
	if id == 0 {
		id = 1
	}
	return id
}

// Member is the state of a balancer, as this balancer knows it.
type Member struct {
	ID MemberID
	// Resolves is false for a balancer that is joining, leaving or suspected to have
	// failed. It decides on no packets of tracked buckets, but may get copies of
	// records.
	Resolves bool
	// RequestsSnapshot is true for a balancer that is joining and requests a snapshot.
	// It gets the records that are older than its request in the snapshot.
	RequestsSnapshot bool
	// KeepsRecords is false for a balancer that is leaving. It gets no copies of records.
	KeepsRecords bool
}

// assignments holds the resolver and the keepers of each slot, chosen by rendezvous
// hashing. The keepers of a slot are the balancers that hold its records. A slot is the
// index of a bucket, shifted by the identifier of its service. All services share the
// assignments, and the shift spreads buckets with the same index over the balancers.
type assignments struct {
	resolvers [planner.Buckets]MemberID
	keepers   [planner.Buckets][recordCopies + 1]MemberID
	members   int
	// requesting holds the members whose RequestsSnapshot is true.
	requesting map[MemberID]bool
}

// slotOf returns the slot of a service's bucket.
func slotOf(s planner.ServiceID, bucket int) int {
	return (bucket + int(s)) % planner.Buckets
}

// resolver returns the resolver of a slot, or 0 if there is none.
func (a *assignments) resolver(slot int) MemberID {
	if a.members == 0 {
		return 0
	}
	return a.resolvers[slot]
}

// firstKeeperExcept returns the highest-ranked keeper of a slot besides self, or 0 if
// there is none.
func (a *assignments) firstKeeperExcept(slot int, self MemberID) MemberID {
	for _, m := range a.keepers[slot] {
		if m != self {
			return m
		}
	}
	return 0
}

// keepersExcept returns up to recordCopies keepers of a slot besides self, in order of
// rank.
func (a *assignments) keepersExcept(slot int, self MemberID) []MemberID {
	keepers := make([]MemberID, 0, recordCopies)
	for _, m := range a.keepers[slot] {
		if m != 0 && m != self && len(keepers) < recordCopies {
			keepers = append(keepers, m)
		}
	}
	return keepers
}

// newAssignments assigns all slots to the members.
func newAssignments(members []Member) assignments {
	a := assignments{members: len(members), requesting: make(map[MemberID]bool)}
	for _, m := range members {
		if m.RequestsSnapshot {
			a.requesting[m.ID] = true
		}
	}
	for slot := range planner.Buckets {
		a.assign(slot, members)
	}
	return a
}

// assign chooses the resolver and the keepers of a slot: the members with the highest
// scores that resolve packets or keep records, respectively.
func (a *assignments) assign(slot int, members []Member) {
	var best uint64
	var scores [recordCopies + 1]uint64
	for _, m := range members {
		score := scoreOf(m.ID, slot)
		if m.Resolves && (a.resolvers[slot] == 0 || score > best) {
			best = score
			a.resolvers[slot] = m.ID
		}
		if m.KeepsRecords {
			insertByScore(&a.keepers[slot], &scores, m.ID, score)
		}
	}
}

// insertByScore inserts a member into a list that is sorted by descending score. A member
// that no longer fits into the list is dropped.
func insertByScore(ids *[recordCopies + 1]MemberID, scores *[recordCopies + 1]uint64, id MemberID, score uint64) {
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

// scoreOf returns the rendezvous score of a balancer for a slot.
func scoreOf(m MemberID, slot int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:], uint32(m))
	binary.BigEndian.PutUint32(key[4:], uint32(slot))
	return xxhash.Sum64(key[:])
}

// SetMembers sets the live balancers, which include this one, and assigns the slots
// anew. Copies of records are queued for balancers that become keepers of a slot.
func (t *Tracker) SetMembers(members []Member) {
	before := t.assigned
	t.assigned = newAssignments(members)
	t.addGainedSlots(&before)
	for id, s := range t.services {
		if len(s.tracked) > 0 {
			t.queueForNewKeepers(id, s, &before)
		}
	}
}

// addGainedSlots marks the slots of which this balancer becomes the resolver.
func (t *Tracker) addGainedSlots(before *assignments) {
	if len(t.services) == 0 {
		return
	}
	for slot := range planner.Buckets {
		if t.assigned.resolver(slot) == t.self && before.resolver(slot) != t.self {
			t.gainedSlots[slot] = true
		}
	}
}

// restartIdleTimes restarts the idle times of buckets and records in slots of which this
// balancer has become the resolver. It has not seen the packets that the previous
// resolver decided on.
func (t *Tracker) restartIdleTimes(now time.Time) {
	if len(t.gainedSlots) == 0 {
		return
	}
	for id, s := range t.services {
		for i, b := range s.tracked {
			if t.gainedSlots[slotOf(id, i)] {
				b.baseUsed = now
			}
		}
		for flow, r := range s.records {
			if t.gainedSlots[slotOf(id, planner.BucketOf(flow))] {
				r.lastSeen = unixSeconds(now)
				s.records[flow] = r
			}
		}
	}
	clear(t.gainedSlots)
}

// queueForNewKeepers queues the records of a service for balancers that have become
// keepers of a slot. It skips members that get the records in a snapshot.
func (t *Tracker) queueForNewKeepers(id planner.ServiceID, s *service, before *assignments) {
	for flow, r := range s.records {
		slot := slotOf(id, planner.BucketOf(flow))
		if !t.sendsCopies(slot) {
			continue
		}
		for _, m := range t.assigned.keepersExcept(slot, t.self) {
			if !isKeeper(before, slot, m) && !t.assigned.requesting[m] {
				t.queueRecord(m, id, flow, r.target)
			}
		}
	}
}

// sendsCopies reports whether this balancer sends copies of a slot's records: it is the
// slot's resolver or one of its keepers. Keepers send copies too because a new resolver
// may not have the records.
func (t *Tracker) sendsCopies(slot int) bool {
	if t.assigned.resolver(slot) == t.self {
		return true
	}
	for _, m := range t.assigned.keepers[slot] {
		if m == t.self {
			return true
		}
	}
	return false
}

// isKeeper reports whether a member is a keeper of a slot.
func isKeeper(a *assignments, slot int, member MemberID) bool {
	for _, m := range a.keepers[slot] {
		if m == member {
			return true
		}
	}
	return false
}
