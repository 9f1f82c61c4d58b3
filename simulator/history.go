package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

const (
	// Callers send only to measuredService. No flow may reach a target of
	// otherService.
	measuredService = "booking-desk"
	otherService    = "ticket-window"
	otherTargets    = 2
	zones           = 3
)

// documentHistory holds all accepted documents, and since when targets have been in
// which state.
type documentHistory struct {
	records  []coordinator.Record
	accepted []time.Time
	plans    []*planner.Plan
	// removedAt is when a target that died was removed from the document.
	removedAt map[planner.TargetID]time.Time
	// outSince is since when a target has been out; only targets that are out now
	// are in it. lastOut is when a document with the target out was last accepted.
	outSince map[planner.TargetID]time.Time
	lastOut  map[planner.TargetID]time.Time
	// drainingSince is since when a target has taken no new flows.
	drainingSince map[planner.TargetID]time.Time
	// nextTarget is the index of the next added target.
	nextTarget int
}

func newDocumentHistory(size Size) *documentHistory {
	h := &documentHistory{
		removedAt:     make(map[planner.TargetID]time.Time),
		outSince:      make(map[planner.TargetID]time.Time),
		lastOut:       make(map[planner.TargetID]time.Time),
		drainingSince: make(map[planner.TargetID]time.Time),
	}
	h.append(time.Time{}, firstDocument(size))
	h.nextTarget = size.Targets
	return h
}

// firstDocument returns the document that a run starts with.
func firstDocument(size Size) *operator.Document {
	d := &operator.Document{
		AvailabilityZones: make(map[string]operator.AvailabilityZone),
		Services: map[string]operator.Service{
			measuredService: {
				Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
				Protocol:  operator.ProtocolQUIC, IdleTimeout: operator.Duration(size.IdleTimeout),
			},
			otherService: {
				Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.11:443")},
				Protocol:  operator.ProtocolTCP,
			},
		},
		Targets: make(map[string]operator.Target),
	}
	for i := range zones {
		d.AvailabilityZones[zoneName(i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	for i := range size.Targets {
		d.Targets[targetName(i)] = newTarget(measuredService, i)
	}
	for i := range otherTargets {
		d.Targets[fmt.Sprintf("tw-%d", i)] = newTarget(otherService, 1000+i)
	}
	return d
}

func zoneName(i int) string { return fmt.Sprintf("ne-%c", 'a'+rune(i%zones)) }

func targetName(i int) string { return fmt.Sprintf("bd-%03d", i) }

// newTarget returns an active target of a service, with an address made from the
// index.
func newTarget(service string, i int) operator.Target {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return operator.Target{
		Service: service, AvailabilityZone: zoneName(i), Address: netip.AddrPortFrom(address, 6081),
		State: operator.TargetActive, Weight: 2,
	}
}

func (h *documentHistory) latestDocument() *operator.Document {
	return h.records[len(h.records)-1].Document
}

func (h *documentHistory) latestRecord() coordinator.Record { return h.records[len(h.records)-1] }

// record returns the record of a revision, or an empty one if the revision was
// never accepted.
func (h *documentHistory) record(revision uint64) coordinator.Record {
	if revision == 0 || revision > uint64(len(h.records)) {
		return coordinator.Record{}
	}
	return h.records[revision-1]
}

// append adds a document as the next revision.
func (h *documentHistory) append(now time.Time, d *operator.Document) {
	revision := uint64(len(h.records) + 1)
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // Documents made by this package can always be encoded.
	}
	h.records = append(h.records, coordinator.Record{
		Revision: revision, Document: d, Encoded: encodeRevision(revision, len(text)),
	})
	h.accepted = append(h.accepted, now)
	p := planner.New(revision, d)
	h.plans = append(h.plans, p)
	h.recordTargetStates(now, p)
}

// recordTargetStates records which targets are out or draining in a plan accepted
// at now.
func (h *documentHistory) recordTargetStates(now time.Time, p *planner.Plan) {
	for id, t := range p.Targets() {
		recordSince(h.outSince, id, t.ZoneOut(), now)
		if t.ZoneOut() {
			h.lastOut[id] = now
		}
		recordSince(h.drainingSince, id, !t.AcceptsNewFlows(), now)
	}
}

// recordSince sets the time from which a condition holds for a target, and deletes
// it when the condition no longer holds.
func recordSince(since map[planner.TargetID]time.Time, id planner.TargetID, holds bool, now time.Time) {
	if _, known := since[id]; !holds {
		delete(since, id)
	} else if !known {
		since[id] = now
	}
}

// copyLatestDocument returns a copy of the latest document whose availability zones
// and targets may be changed.
func (h *documentHistory) copyLatestDocument() *operator.Document {
	d := *h.latestDocument()
	d.AvailabilityZones = maps.Clone(d.AvailabilityZones)
	d.Targets = maps.Clone(d.Targets)
	return &d
}

// planAt returns the plan of the latest document accepted by a time.
func (h *documentHistory) planAt(t time.Time) *planner.Plan {
	plan := h.plans[0]
	for i, p := range h.plans {
		if !h.accepted[i].After(t) {
			plan = p
		}
	}
	return plan
}

func (h *documentHistory) latestPlan() *planner.Plan { return h.plans[len(h.plans)-1] }
