package simulator

import (
	"time"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
)

const (
	// outDeadline is how long a target may still get packets after the acceptance of
	// a document that takes it out.
	outDeadline = 5 * time.Second
	// drainDeadline is how long a target may still get new flows after the acceptance
	// of a document that drains it.
	drainDeadline = 6 * time.Second
	// imbalanceWindow is the time over which the openings of targets are compared.
	imbalanceWindow = 10 * time.Second
)

var measuredServiceID = planner.NewServiceID(measuredService)

// meter counts the events of a run.
type meter struct {
	started    time.Time
	packets    int
	decided    int
	forwarded  int
	handedOn   int
	lost       int
	broken     int
	brokenLong int
	// brokenByOpening counts the broken flows whose first packet to a second target
	// was a repeated opening. A caller that accepts only the first answer loses
	// nothing by this.
	brokenByOpening   int
	excused           int
	wrongService      int
	lateToOut         int
	lateToDraining    int
	revisionsReverted int
	// controlBytes is the number of control bytes sent, by index of the balancer.
	controlBytes       map[int]int64
	controlBytesByKind map[string]int64
	// changeTimes are the times of all changes of the document.
	changeTimes []time.Time
	// openingsByWindow counts the short flows opened on each target, by index of
	// the imbalanceWindow.
	openingsByWindow map[int]map[planner.TargetID]int
	firstBroken      time.Duration
	opened           int
}

func newMeter() *meter {
	return &meter{controlBytes: make(map[int]int64), controlBytesByKind: make(map[string]int64), openingsByWindow: make(map[int]map[planner.TargetID]int)}
}

// reset starts the counts again, so that they leave out the start of the group.
func (m *meter) reset(now time.Time) {
	*m = *newMeter()
	m.started = now
}

// countMessage counts the bytes of a message between balancers.
func (m *meter) countMessage(from int, body any) {
	size := int64(encodedSize(body) + headerBytes)
	m.controlBytes[from] += size
	m.controlBytesByKind[messageKind(body)] += size
}

// checkDelivery counts a packet that reached a target, and any guarantee that it
// breaks.
func (r *Run) checkDelivery(p packet, target planner.TargetID) {
	h, m, f := r.history, r.meter, p.flow
	if t := h.latestPlan().Target(target); t != nil && t.Service() != measuredServiceID {
		m.wrongService++
	}
	if since, out := h.outSince[target]; out && r.now.Sub(since) > outDeadline {
		m.lateToOut++
	}
	if f.target == 0 {
		r.countOpening(f, target)
		return
	}
	idle := r.now.Sub(f.lastDelivery) > r.size.IdleTimeout
	f.lastDelivery = r.now
	if f.target == target || f.counted {
		return
	}
	f.counted = true
	if idle || r.mayBreak(f) {
		m.excused++
		return
	}
	if m.broken == 0 {
		m.firstBroken = r.now.Sub(m.started)
	}
	m.broken++
	if f.long {
		m.brokenLong++
	}
	if p.flowEvent == parser.FlowOpens {
		m.brokenByOpening++
	}
}

// countOpening counts a flow whose first packet reached a target.
func (r *Run) countOpening(f *flow, target planner.TargetID) {
	f.target = target
	f.openedAt = r.now
	f.lastDelivery = r.now
	m := r.meter
	m.opened++
	if since, draining := r.history.drainingSince[target]; draining && r.now.Sub(since) > drainDeadline {
		m.lateToDraining++
	}
	if f.long {
		return
	}
	index := int(r.now.Sub(m.started) / imbalanceWindow)
	if m.openingsByWindow[index] == nil {
		m.openingsByWindow[index] = make(map[planner.TargetID]int)
	}
	m.openingsByWindow[index][target]++
}

// mayBreak reports whether a flow may leave its target, because the target was
// removed or taken out after the flow opened.
func (r *Run) mayBreak(f *flow) bool {
	return goneSinceOpening(r.history.removedAt, f) || goneSinceOpening(r.history.lastOut, f)
}

// goneSinceOpening reports whether the target of a flow is in gone with a time
// after the flow opened. It includes flows that opened up to drainDeadline after
// that time, before every balancer knew of the change.
func goneSinceOpening(gone map[planner.TargetID]time.Time, f *flow) bool {
	at, ok := gone[f.target]
	return ok && f.openedAt.Before(at.Add(drainDeadline))
}
