package tracker

import (
	"cmp"
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Record holds the target that a flow opened on.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Service planner.ServiceID
	Flow    uint64
	Target  planner.TargetID
}

// RecordBatch holds records to send to one balancer.
type RecordBatch struct {
	member  MemberID
	records []Record
}

// Member returns the balancer to send the records to.
func (b *RecordBatch) Member() MemberID { return b.member }

// Records returns the records to send.
func (b *RecordBatch) Records() []Record { return b.records }

// TakeRecordBatches returns the queued records for other balancers, one batch for each
// balancer in order of their identifiers, and empties the queue.
func (t *Tracker) TakeRecordBatches() []*RecordBatch {
	if len(t.batches) == 0 {
		return nil
	}
	all := make([]*RecordBatch, 0, len(t.batches))
	for _, b := range t.batches {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *RecordBatch) int { return cmp.Compare(a.member, b.member) })
	clear(t.batches)
	return all
}

// MergeRecords stores records that another balancer sent. If a flow already has a record
// here, and the target of the record may still receive packets, that record stays: the
// first decision on a flow is final. Records that arrive before the first plan are buffered.
func (t *Tracker) MergeRecords(now time.Time, records []Record) {
	if t.active == nil {
		t.bufferEarlyRecords(records)
		return
	}
	for _, r := range records {
		s := t.services[r.Service]
		if s == nil {
			continue
		}
		held, known := s.records[r.Flow]
		if known && t.mayReceive(r.Service, held.target) {
			held.lastSeen = unixSeconds(now)
			s.records[r.Flow] = held
			continue
		}
		t.storeRecord(now, s, r.Flow, r.Target)
	}
}

// maxEarlyRecords is the maximum number of records that are buffered before the first
// plan.
const maxEarlyRecords = 1 << 16

// bufferEarlyRecords keeps records that reach a joining balancer before the plan and the
// snapshots that it requested. Their flows opened after the snapshots were taken.
func (t *Tracker) bufferEarlyRecords(records []Record) {
	free := maxEarlyRecords - len(t.earlyRecords)
	t.earlyRecords = append(t.earlyRecords, records[:min(free, len(records))]...)
}

// mergeEarlyRecords stores the buffered records.
func (t *Tracker) mergeEarlyRecords(now time.Time) {
	early := t.earlyRecords
	t.earlyRecords = nil
	t.MergeRecords(now, early)
}

// ResendRecords queues copies of all records of which a balancer is a keeper, after
// copies sent earlier may have been lost.
func (t *Tracker) ResendRecords(m MemberID) {
	for id, s := range t.services {
		for flow, r := range s.records {
			slot := slotOf(id, planner.BucketOf(flow))
			if t.sendsCopies(slot) && isKeeper(&t.assigned, slot, m) {
				t.queueRecord(m, id, flow, r.target)
			}
		}
	}
}

// OpenFlows returns the number of recorded flows of a target on this balancer.
func (t *Tracker) OpenFlows(target planner.TargetID) int { return t.openFlows[target] }

// Records returns the number of records that this balancer holds.
func (t *Tracker) Records() int {
	n := 0
	for _, s := range t.services {
		n += len(s.records)
	}
	return n
}

// recordFlow stores the record of a flow and queues copies for the keepers.
func (t *Tracker) recordFlow(now time.Time, s *service, index int, flow uint64, target planner.TargetID) {
	t.storeRecord(now, s, flow, target)
	t.queueForKeepers(s.plan.ID(), index, flow, target)
}

// queueForKeepers queues copies of a record for the keepers of its slot.
func (t *Tracker) queueForKeepers(id planner.ServiceID, index int, flow uint64, target planner.TargetID) {
	for _, m := range t.assigned.keepersExcept(slotOf(id, index), t.self) {
		t.queueRecord(m, id, flow, target)
	}
}

// storeRecord stores the record of a flow, in place of any earlier record.
func (t *Tracker) storeRecord(now time.Time, s *service, flow uint64, target planner.TargetID) {
	if held, known := s.records[flow]; known {
		t.openFlows[held.target]--
	}
	s.records[flow] = record{target: target, lastSeen: unixSeconds(now), lastCopied: unixSeconds(now)}
	t.openFlows[target]++
}

// deleteRecord deletes the record r of a flow.
func (t *Tracker) deleteRecord(s *service, flow uint64, r record) {
	delete(s.records, flow)
	t.openFlows[r.target]--
	if t.openFlows[r.target] <= 0 {
		delete(t.openFlows, r.target)
	}
}

// queueRecord queues a record for one balancer.
func (t *Tracker) queueRecord(m MemberID, id planner.ServiceID, flow uint64, target planner.TargetID) {
	b := t.batches[m]
	if b == nil {
		b = &RecordBatch{member: m}
		t.batches[m] = b
	}
	b.records = append(b.records, Record{Service: id, Flow: flow, Target: target})
}
