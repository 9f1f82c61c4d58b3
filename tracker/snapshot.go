package tracker

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// BucketState is a tracked bucket in a snapshot.
type BucketState struct {
	_       struct{} `cbor:",toarray"`
	Bucket  uint16
	Base    planner.TargetID
	Changed uint64
	Rebased bool
}

// ServiceState is one service in a snapshot.
type ServiceState struct {
	_       struct{} `cbor:",toarray"`
	Service planner.ServiceID
	Buckets []BucketState
	Records []FlowState
}

// FlowState is a record in a snapshot.
type FlowState struct {
	_      struct{} `cbor:",toarray"`
	Flow   uint64
	Target planner.TargetID
}

// FreshState is a freshly started target in a snapshot.
type FreshState struct {
	_      struct{} `cbor:",toarray"`
	Target planner.TargetID
	// AgeMilliseconds is how long the target has taken flows.
	AgeMilliseconds int64
}

// Snapshot is the state that a joining balancer takes over.
type Snapshot struct {
	Services []ServiceState `cbor:"services"`
	Fresh    []FreshState   `cbor:"fresh"`
}

// SnapshotFor returns what another balancer needs: the records that it is to keep
// alone.
func (t *Tracker) SnapshotFor(now time.Time, m MemberID) Snapshot {
	snap := t.Snapshot(now)
	for i := range snap.Services {
		s := &snap.Services[i]
		s.Records = slices.DeleteFunc(s.Records, func(f FlowState) bool {
			return !keeps(&t.ranks, slotOf(s.Service, planner.BucketOf(f.Flow)), m)
		})
	}
	return snap
}

// Snapshot returns the tracked state of this balancer.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	var snap Snapshot
	for id, s := range t.services {
		if len(s.tracked) > 0 {
			snap.Services = append(snap.Services, s.state(id))
		}
	}
	for id, since := range t.fresh {
		age := now.Sub(since).Milliseconds()
		snap.Fresh = append(snap.Fresh, FreshState{Target: id, AgeMilliseconds: age})
	}
	return snap
}

func (s *service) state(id planner.ServiceID) ServiceState {
	state := ServiceState{Service: id}
	for i, b := range s.tracked {
		state.Buckets = append(state.Buckets, BucketState{
			Bucket:  uint16(i),
			Base:    b.base,
			Changed: b.changed,
			Rebased: b.rebased,
		})
	}
	for flow, r := range s.records {
		state.Records = append(state.Records, FlowState{Flow: flow, Target: r.target})
	}
	return state
}

// Restore merges the snapshot of another balancer into this one's state.
func (t *Tracker) Restore(now time.Time, snap Snapshot) {
	for _, state := range snap.Services {
		s := t.services[state.Service]
		if s == nil {
			continue
		}
		s.restoreBuckets(now, state.Buckets)
		for _, f := range state.Records {
			t.Learn(now, []Record{{Service: state.Service, Flow: f.Flow, Target: f.Target}})
		}
	}
	for _, f := range snap.Fresh {
		since := now.Add(-time.Duration(f.AgeMilliseconds) * time.Millisecond)
		if t.active != nil && t.active.Target(f.Target) != nil {
			t.fresh[f.Target] = since
		}
	}
}

func (s *service) restoreBuckets(now time.Time, states []BucketState) {
	for _, state := range states {
		if int(state.Bucket) >= planner.Buckets {
			continue
		}
		b := s.trackBucket(now, int(state.Bucket))
		if state.Changed < b.changed || (state.Changed == b.changed && b.rebased) {
			// Once one balancer has rebased the bucket, its former base has no flows.
			continue
		}
		b.base = state.Base
		b.changed = state.Changed
		b.rebased = state.Rebased
		b.since = now
		b.lastBase = now
	}
}

// Adopt rebuilds the state of a balancer that joins, or comes back after it could
// not follow the others: the plan in force elsewhere, then the snapshots of those
// that were ready. Records that it still holds stay unless the others know better:
// what they decided was in force meanwhile.
func (t *Tracker) Adopt(now time.Time, p *planner.Plan, snapshots []Snapshot) {
	kept := t.services
	t.services = make(map[planner.ServiceID]*service)
	t.active = p
	t.prepared = nil
	t.preparedByAll = false
	for id, plan := range p.Services() {
		t.services[id] = newService(now, plan)
	}
	clear(t.open)
	clear(t.fresh)
	for _, snap := range snapshots {
		t.Restore(now, snap)
	}
	t.learnEarly(now)
	for id, s := range t.services {
		if earlier := kept[id]; earlier != nil {
			t.keepUnknown(s, earlier.records)
		}
	}
}

func (t *Tracker) keepUnknown(s *service, earlier map[uint64]record) {
	for flow, r := range earlier {
		if _, known := s.records[flow]; !known {
			s.records[flow] = r
			t.open[r.target]++
		}
	}
}
