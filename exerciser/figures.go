package exerciser

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Figures is what a run has shown.
type Figures struct {
	Way   string `json:"way"`
	Size  Size   `json:"size"`
	Trace string `json:"trace"`
	// FlowsOpened counts all flows, FlowsBroken those that had to survive and
	// reached a second target, FlowsExcused those whose target died or was taken
	// out.
	FlowsOpened     int `json:"flows_opened"`
	FlowsBroken     int `json:"flows_broken"`
	LongFlowsBroken int `json:"long_flows_broken"`
	// BrokenByOpening counts those of FlowsBroken whose second target got no more
	// than the opening, sent again.
	BrokenByOpening  int `json:"broken_by_opening"`
	FlowsExcused     int `json:"flows_excused"`
	WrongService     int `json:"wrong_service"`
	LateToOut        int `json:"late_to_zone_out"`
	LateToDraining   int `json:"late_to_draining"`
	RevisionsReverse int `json:"revisions_reverted"`
	// FirstBroken is when the first flow broke, from the start of the trace.
	FirstBroken time.Duration `json:"first_broken_ns"`
	// ImbalanceMean and ImbalanceP99 are of max/mean openings by weight, over
	// windows of 10 s in which no target changed.
	ImbalanceMean float64 `json:"imbalance_mean"`
	ImbalanceP99  float64 `json:"imbalance_p99"`
	// ControlBytes is sent a second and balancer, on average and at most.
	ControlBytes    float64 `json:"control_bytes_per_second"`
	ControlBytesMax float64 `json:"control_bytes_per_second_max"`
	// ControlBytesByKind splits ControlBytes.
	ControlBytesByKind map[string]float64 `json:"control_bytes_by_kind"`
	HandedOnShare      float64            `json:"handed_on_share"`
	LostShare          float64            `json:"lost_share"`
	// RecordsPerFlow is summed over all balancers at the end of the run.
	RecordsPerFlow float64 `json:"records_per_flow"`
	Records        int     `json:"records"`
}

func (r *Run) figures(t Trace) Figures {
	m := r.meter
	f := Figures{
		Way: r.way.Name, Size: r.size, Trace: t.Name,
		FlowsOpened: m.opened, FlowsBroken: m.broken, LongFlowsBroken: m.brokenLong, BrokenByOpening: m.brokenByOpening, FlowsExcused: m.spared,
		WrongService: m.wrongService, LateToOut: m.lateToOut, LateToDraining: m.lateToDrained,
		RevisionsReverse: m.reverted, FirstBroken: m.firstBroken,
		HandedOnShare: share(m.handedOn, m.packets), LostShare: share(m.lost, m.packets),
	}
	seconds := r.now.Sub(m.started).Seconds()
	total := int64(0)
	for _, n := range m.bytes {
		total += n
		f.ControlBytesMax = max(f.ControlBytesMax, float64(n)/seconds)
	}
	f.ControlBytes = float64(total) / seconds / float64(r.size.Balancers)
	f.ControlBytesByKind = make(map[string]float64)
	for kind, n := range m.byKind {
		f.ControlBytesByKind[kind] = float64(n) / seconds / float64(r.size.Balancers)
	}
	for _, n := range r.nodes {
		if n.alive {
			f.Records += n.decider.Records()
		}
	}
	open := r.size.LongFlows + 6*r.size.OpeningsPerSecond
	f.RecordsPerFlow = share(f.Records, open)
	f.ImbalanceMean, f.ImbalanceP99 = r.imbalance()
	return f
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Run) imbalance() (mean, p99 float64) {
	var all []float64
	for slot, openings := range r.meter.openings {
		from := r.meter.started.Add(time.Duration(slot) * window)
		if r.steady(from) {
			all = append(all, r.unevenness(from, openings))
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(len(all)), all[(len(all)*99-1)/100]
}

// steady reports whether the whole window lies in the run and no target changed
// in it or right before.
func (r *Run) steady(from time.Time) bool {
	if from.Add(window).After(r.now) {
		return false
	}
	for _, changed := range r.meter.changed {
		if changed.After(from.Add(-drainDeadline)) && changed.Before(from.Add(window)) {
			return false
		}
	}
	return true
}

func (r *Run) unevenness(at time.Time, openings map[planner.TargetID]int) float64 {
	plan := r.plans.at(at)
	most, sum, weights := 0.0, 0, 0
	for _, id := range plan.ServiceByID(measuredID).Active() {
		weight := plan.Target(id).Weight()
		sum += openings[id]
		weights += weight
		most = max(most, float64(openings[id])/float64(weight))
	}
	if sum == 0 {
		return 0
	}
	return most * float64(weights) / float64(sum)
}
