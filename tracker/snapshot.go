package tracker

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// BucketState is the state of a tracked bucket in a snapshot.
type BucketState struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint16
	Base   planner.TargetID
	// ChangedBy is the revision that last changed the bucket's target, or 0 if the bucket
	// was plain when TrackTarget made it tracked.
	ChangedBy uint64
	Rebased   bool
}

// ServiceState is the state of a service in a snapshot.
type ServiceState struct {
	_       struct{} `cbor:",toarray"`
	Service planner.ServiceID
	Buckets []BucketState
	Records []FlowState
}

// FlowState is the record of a flow in a snapshot.
type FlowState struct {
	_      struct{} `cbor:",toarray"`
	Flow   uint64
	Target planner.TargetID
}

// FreshState is a fresh target in a snapshot.
type FreshState struct {
	_      struct{} `cbor:",toarray"`
	Target planner.TargetID
	// AgeMilliseconds is the time since the target began to accept new flows.
	AgeMilliseconds int64
}

// Snapshot is the state that a balancer sends to a joining one.
type Snapshot struct {
	Services []ServiceState `cbor:"services"`
	Fresh    []FreshState   `cbor:"fresh"`
}

// SnapshotFor returns a snapshot for another balancer. Of the records, it contains only
// those of which that balancer is a keeper.
func (t *Tracker) SnapshotFor(now time.Time, m MemberID) Snapshot {
	snap := t.Snapshot(now)
	for i := range snap.Services {
		s := &snap.Services[i]
		s.Records = slices.DeleteFunc(s.Records, func(f FlowState) bool {
			return !isKeeper(&t.assigned, slotOf(s.Service, planner.BucketOf(f.Flow)), m)
		})
	}
	return snap
}

// Snapshot returns this balancer's tracked buckets, the records of services with tracked
// buckets, and the fresh targets.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	var snap Snapshot
	for id, s := range t.services {
		if len(s.tracked) > 0 {
			snap.Services = append(snap.Services, s.snapshot(id))
		}
	}
	for id, since := range t.fresh {
		age := now.Sub(since).Milliseconds()
		snap.Fresh = append(snap.Fresh, FreshState{Target: id, AgeMilliseconds: age})
	}
	return snap
}

// snapshot returns the tracked buckets and the records of the service.
func (s *service) snapshot(id planner.ServiceID) ServiceState {
	state := ServiceState{Service: id}
	for i, b := range s.tracked {
		state.Buckets = append(state.Buckets, BucketState{
			Bucket:    uint16(i),
			Base:      b.base,
			ChangedBy: b.changedBy,
			Rebased:   b.rebased,
		})
	}
	for flow, r := range s.records {
		state.Records = append(state.Records, FlowState{Flow: flow, Target: r.target})
	}
	return state
}

// Restore merges a snapshot of another balancer into this balancer's state.
func (t *Tracker) Restore(now time.Time, snap Snapshot) {
	for _, state := range snap.Services {
		s := t.services[state.Service]
		if s == nil {
			continue
		}
		s.restoreBuckets(now, state.Buckets)
		for _, f := range state.Records {
			t.MergeRecords(now, []Record{{Service: state.Service, Flow: f.Flow, Target: f.Target}})
		}
	}
	for _, f := range snap.Fresh {
		since := now.Add(-time.Duration(f.AgeMilliseconds) * time.Millisecond)
		if t.active != nil && t.active.Target(f.Target) != nil {
			t.fresh[f.Target] = since
		}
	}
}

// restoreBuckets merges the states of tracked buckets. For each bucket, the state with the
// later change wins, and a rebased state wins over others with the same change.
func (s *service) restoreBuckets(now time.Time, states []BucketState) {
	for _, state := range states {
		if int(state.Bucket) >= planner.Buckets {
			continue
		}
		b := s.trackBucket(now, int(state.Bucket))
		if state.ChangedBy < b.changedBy || (state.ChangedBy == b.changedBy && b.rebased) {
			// Once any balancer has rebased the bucket, no flows are left on its former
			// base.
			continue
		}
		b.base = state.Base
		b.changedBy = state.ChangedBy
		b.rebased = state.Rebased
		b.baseSince = now
		b.baseUsed = now
	}
}

// Adopt rebuilds the state of a balancer that joins, or that returns after it could not
// follow the other balancers. It takes the plan that is active on the others, and then
// merges the snapshots of balancers that were ready. A record that this balancer already
// held stays only if the snapshots and the buffered records have none for its flow: the
// decisions of the other balancers were in force in the meantime.
func (t *Tracker) Adopt(now time.Time, p *planner.Plan, snapshots []Snapshot) {
	former := t.services
	t.services = make(map[planner.ServiceID]*service)
	t.active = p
	t.prepared = nil
	t.preparedByAll = false
	for id, plan := range p.Services() {
		t.services[id] = newService(now, plan)
	}
	clear(t.openFlows)
	clear(t.fresh)
	for _, snap := range snapshots {
		t.Restore(now, snap)
	}
	t.mergeEarlyRecords(now)
	for id, s := range t.services {
		if earlier := former[id]; earlier != nil {
			t.restoreMissingRecords(s, earlier.records)
		}
	}
}

// restoreMissingRecords adds earlier records of flows that have no record.
func (t *Tracker) restoreMissingRecords(s *service, earlier map[uint64]record) {
	for flow, r := range earlier {
		if _, known := s.records[flow]; !known {
			s.records[flow] = r
			t.openFlows[r.target]++
		}
	}
}
