package simulator

import (
	"slices"
	"time"

	"trefoilspring.example/trefoilspring/planner"
)

// Results holds the results of a run.
type Results struct {
	Strategy string `json:"way"`
	Size     Size   `json:"size"`
	Trace    string `json:"trace"`
	// FlowsOpened counts all flows that reached a target. FlowsBroken counts those
	// that had to stay on their target and reached a second one. FlowsExcused
	// counts those that reached a second target after an idle timeout, or after
	// their target was removed or taken out.
	FlowsOpened     int `json:"flows_opened"`
	FlowsBroken     int `json:"flows_broken"`
	LongFlowsBroken int `json:"long_flows_broken"`
	// BrokenByOpening counts the flows in FlowsBroken whose first packet to a second
	// target was a repeated opening.
	BrokenByOpening int `json:"broken_by_opening"`
	FlowsExcused    int `json:"flows_excused"`
	// WrongService counts packets that reached a target of another service.
	WrongService int `json:"wrong_service"`
	// LateToOut counts packets that a target got more than 5 s after it was taken
	// out.
	LateToOut int `json:"late_to_zone_out"`
	// LateToDraining counts flows that opened on a target more than 6 s after it
	// began to drain.
	LateToDraining int `json:"late_to_draining"`
	// RevisionsReverted counts how often a balancer went back to an earlier
	// revision.
	RevisionsReverted int `json:"revisions_reverted"`
	// FirstBroken is the time from the start of the trace to the first broken flow.
	FirstBroken time.Duration `json:"first_broken_ns"`
	// ImbalanceMean and ImbalanceP99 are the mean and the 99th percentile of the
	// imbalance: the most openings per weight of any target over the average of all
	// targets. It is taken in windows of 10 s in which no target changed.
	ImbalanceMean float64 `json:"imbalance_mean"`
	ImbalanceP99  float64 `json:"imbalance_p99"`
	// ControlBytes is the number of control bytes sent per second by a balancer on
	// average, ControlBytesMax that of the balancer that sent most.
	ControlBytes    float64 `json:"control_bytes_per_second"`
	ControlBytesMax float64 `json:"control_bytes_per_second_max"`
	// ControlBytesByKind splits ControlBytes by kind of message.
	ControlBytesByKind map[string]float64 `json:"control_bytes_by_kind"`
	// HandedOnShare and LostShare are fractions of the packets that callers sent.
	HandedOnShare float64 `json:"handed_on_share"`
	LostShare     float64 `json:"lost_share"`
	// RecordsPerFlow is the number of flow records on all balancers at the end of
	// the run, for each open flow. Records is their total.
	RecordsPerFlow float64 `json:"records_per_flow"`
	Records        int     `json:"records"`
}

// results computes the results of the run at its end.
func (r *Run) results(t Trace) Results {
	m := r.meter
	results := Results{
		Strategy: r.strategy.Name, Size: r.size, Trace: t.Name,
		FlowsOpened: m.opened, FlowsBroken: m.broken, LongFlowsBroken: m.brokenLong, BrokenByOpening: m.brokenByOpening, FlowsExcused: m.excused,
		WrongService: m.wrongService, LateToOut: m.lateToOut, LateToDraining: m.lateToDraining,
		RevisionsReverted: m.revisionsReverted, FirstBroken: m.firstBroken,
		HandedOnShare: ratio(m.handedOn, m.packets), LostShare: ratio(m.lost, m.packets),
	}
	seconds := r.now.Sub(m.started).Seconds()
	total := int64(0)
	for _, n := range m.controlBytes {
		total += n
		results.ControlBytesMax = max(results.ControlBytesMax, float64(n)/seconds)
	}
	results.ControlBytes = float64(total) / seconds / float64(r.size.Balancers)
	results.ControlBytesByKind = make(map[string]float64)
	for kind, n := range m.controlBytesByKind {
		results.ControlBytesByKind[kind] = float64(n) / seconds / float64(r.size.Balancers)
	}
	for _, n := range r.nodes {
		if n.alive {
			results.Records += n.decider.Records()
		}
	}
	// A short flow sends its last packet up to 6 s after its opening.
	open := r.size.LongFlows + 6*r.size.OpeningsPerSecond
	results.RecordsPerFlow = ratio(results.Records, open)
	results.ImbalanceMean, results.ImbalanceP99 = r.imbalance()
	return results
}

// ratio returns part over whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// imbalance returns the mean and the 99th percentile of the imbalance over all
// windows without changes, or zeros if there are none.
func (r *Run) imbalance() (mean, p99 float64) {
	var all []float64
	for index, openings := range r.meter.openingsByWindow {
		from := r.meter.started.Add(time.Duration(index) * imbalanceWindow)
		if r.unchangedWindow(from) {
			all = append(all, r.maxOverMean(from, openings))
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

// unchangedWindow reports whether the window from a time lies within the run, and
// no document changed in the window or within drainDeadline before it.
func (r *Run) unchangedWindow(from time.Time) bool {
	if from.Add(imbalanceWindow).After(r.now) {
		return false
	}
	for _, changed := range r.meter.changeTimes {
		if changed.After(from.Add(-drainDeadline)) && changed.Before(from.Add(imbalanceWindow)) {
			return false
		}
	}
	return true
}

// maxOverMean returns the most openings per weight of any active target over the
// mean of all, or 0 if there were no openings.
func (r *Run) maxOverMean(at time.Time, openings map[planner.TargetID]int) float64 {
	plan := r.history.planAt(at)
	most, sum, weights := 0.0, 0, 0
	for _, id := range plan.ServiceByID(measuredServiceID).Active() {
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
