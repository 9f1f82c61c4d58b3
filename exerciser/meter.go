package exerciser

import (
	"time"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
)

// The times after acceptance from which promises hold.
const (
	outDeadline   = 5 * time.Second
	drainDeadline = 6 * time.Second
	// window is the time over which openings are compared between targets.
	window = 10 * time.Second
)

var measuredID = planner.NewServiceID(measuredService)

// meter counts what a run shows.
type meter struct {
	started    time.Time
	packets    int
	decided    int
	forwarded  int
	handedOn   int
	lost       int
	broken     int
	brokenLong int
	// brokenByOpening counts the broken flows whose opening, sent again, went to a
	// second target. A caller that takes only the first answer loses nothing by it.
	brokenByOpening int
	spared          int
	wrongService    int
	lateToOut       int
	lateToDrained   int
	reverted        int
	bytes           map[int]int64
	byKind          map[string]int64
	changed         []time.Time
	openings        map[int]map[planner.TargetID]int
	firstBroken     time.Duration
	opened          int
}

func newMeter() *meter {
	return &meter{bytes: make(map[int]int64), byKind: make(map[string]int64), openings: make(map[int]map[planner.TargetID]int)}
}

// begin forgets what starting has cost.
func (m *meter) begin(now time.Time) {
	*m = *newMeter()
	m.started = now
}

func (m *meter) control(from int, body any) {
	size := int64(sizeOf(body) + headerBytes)
	m.bytes[from] += size
	m.byKind[kindOf(body)] += size
}

// judge holds a delivery against the promises.
func (r *Run) judge(p packet, target planner.TargetID) {
	h, m, f := r.plans, r.meter, p.flow
	if t := h.plan().Target(target); t != nil && t.Service() != measuredID {
		m.wrongService++
	}
	if since, out := h.out[target]; out && r.now.Sub(since) > outDeadline {
		m.lateToOut++
	}
	if f.target == 0 {
		r.opened(f, target)
		return
	}
	idle := r.now.Sub(f.seen) > r.size.IdleTimeout
	f.seen = r.now
	if f.target == target || f.ended {
		return
	}
	f.ended = true
	if idle || r.excused(f) {
		m.spared++
		return
	}
	if m.broken == 0 {
		m.firstBroken = r.now.Sub(m.started)
	}
	m.broken++
	if f.long {
		m.brokenLong++
	}
	if p.mark == parser.MarkOpening {
		m.brokenByOpening++
	}
}

func (r *Run) opened(f *flow, target planner.TargetID) {
	f.target = target
	f.since = r.now
	f.seen = r.now
	m := r.meter
	m.opened++
	if since, draining := r.plans.draining[target]; draining && r.now.Sub(since) > drainDeadline {
		m.lateToDrained++
	}
	if f.long {
		return
	}
	slot := int(r.now.Sub(m.started) / window)
	if m.openings[slot] == nil {
		m.openings[slot] = make(map[planner.TargetID]int)
	}
	m.openings[slot][target]++
}

// excused reports whether a flow need not survive: its target died or was taken
// out since it opened.
func (r *Run) excused(f *flow) bool {
	return takenSince(r.plans.died, f) || takenSince(r.plans.wasOut, f)
}

// takenSince counts in what opened before all balancers could know.
func takenSince(taken map[planner.TargetID]time.Time, f *flow) bool {
	at, ok := taken[f.target]
	return ok && f.since.Before(at.Add(drainDeadline))
}
