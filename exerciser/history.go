package exerciser

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
	// measuredService carries all flows; the other one must get none of them.
	measuredService = "booking-desk"
	otherService    = "ticket-window"
	otherTargets    = 2
	zones           = 3
)

// history holds all accepted documents.
type history struct {
	records  []coordinator.Record
	accepted []time.Time
	plans    []*planner.Plan
	died     map[planner.TargetID]time.Time
	out      map[planner.TargetID]time.Time
	wasOut   map[planner.TargetID]time.Time
	draining map[planner.TargetID]time.Time
	targets  int
}

func newHistory(size Size) *history {
	h := &history{
		died:     make(map[planner.TargetID]time.Time),
		out:      make(map[planner.TargetID]time.Time),
		wasOut:   make(map[planner.TargetID]time.Time),
		draining: make(map[planner.TargetID]time.Time),
	}
	h.append(time.Time{}, firstDocument(size))
	h.targets = size.Targets
	return h
}

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
		d.Targets[targetName(i)] = targetOf(measuredService, i)
	}
	for i := range otherTargets {
		d.Targets[fmt.Sprintf("tw-%d", i)] = targetOf(otherService, 1000+i)
	}
	return d
}

func zoneName(i int) string { return fmt.Sprintf("ne-%c", 'a'+rune(i%zones)) }

func targetName(i int) string { return fmt.Sprintf("bd-%03d", i) }

func targetOf(service string, i int) operator.Target {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return operator.Target{
		Service: service, AvailabilityZone: zoneName(i), Address: netip.AddrPortFrom(address, 6081),
		State: operator.TargetActive, Weight: 2,
	}
}

func (h *history) latest() *operator.Document { return h.records[len(h.records)-1].Document }

func (h *history) newest() coordinator.Record { return h.records[len(h.records)-1] }

func (h *history) record(revision uint64) coordinator.Record {
	if revision == 0 || revision > uint64(len(h.records)) {
		return coordinator.Record{}
	}
	return h.records[revision-1]
}

// append accepts a document.
func (h *history) append(now time.Time, d *operator.Document) {
	revision := uint64(len(h.records) + 1)
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // The documents are made here.
	}
	h.records = append(h.records, coordinator.Record{
		Revision: revision, Document: d, Encoded: encoded(revision, len(text)),
	})
	h.accepted = append(h.accepted, now)
	p := planner.New(revision, d)
	h.plans = append(h.plans, p)
	h.note(now, p)
}

func (h *history) note(now time.Time, p *planner.Plan) {
	for id, t := range p.Targets() {
		mark(h.out, id, t.Out(), now)
		if t.Out() {
			h.wasOut[id] = now
		}
		mark(h.draining, id, !t.TakesFlows(), now)
	}
}

// mark remembers since when something holds.
func mark(since map[planner.TargetID]time.Time, id planner.TargetID, holds bool, now time.Time) {
	if _, known := since[id]; !holds {
		delete(since, id)
	} else if !known {
		since[id] = now
	}
}

// change returns a copy of the latest document to be changed.
func (h *history) change() *operator.Document {
	d := *h.latest()
	d.AvailabilityZones = maps.Clone(d.AvailabilityZones)
	d.Targets = maps.Clone(d.Targets)
	return &d
}

// at returns the plan that was accepted at a time.
func (h *history) at(t time.Time) *planner.Plan {
	found := h.plans[0]
	for i, p := range h.plans {
		if !h.accepted[i].After(t) {
			found = p
		}
	}
	return found
}

func (h *history) plan() *planner.Plan { return h.plans[len(h.plans)-1] }
