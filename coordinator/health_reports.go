package coordinator

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// maxHealthReports is how many health reports a balancer holds before it ignores
// all health reports that peers send.
const maxHealthReports = 16384

// datedReport is the newest health report on a target, and when the report was
// made. It is kept after it has ended, so that an older copy from a peer cannot replace it.
type datedReport struct {
	detector.HealthReport
	since time.Time
}

// reportInForce says whether a health report calls for a restriction of its target. The
// report of a cold target ends with the cold-start ramp.
func (c *Coordinator) reportInForce(now time.Time, r datedReport) bool {
	if r.Condition == detector.Cold {
		return now.Sub(r.since) < c.rampOf(r.Target)
	}
	return r.Condition == detector.Down
}

// mergeReports stores the health reports of another balancer that are newer than those held.
func (c *Coordinator) mergeReports(now time.Time, reports []detector.HealthReport) {
	for _, r := range reports {
		held, known := c.healthReports[r.Target]
		if known && !r.Newer(held.HealthReport) {
			continue
		}
		if c.acceptsReportsOf(r.Target) {
			c.storeReport(now, r)
		}
	}
}

// acceptsReportsOf says whether peers' health reports on a target are stored. A
// joining balancer accepts reports on any target, since it may not have the active
// plan yet.
func (c *Coordinator) acceptsReportsOf(target planner.TargetID) bool {
	if len(c.healthReports) >= maxHealthReports {
		return false
	}
	return c.detector.State() == detector.Joining || c.knowsTarget(target)
}

// knowsTarget reports whether a target is in the active or the prepared plan.
func (c *Coordinator) knowsTarget(target planner.TargetID) bool {
	for _, p := range [...]*planner.Plan{c.tracker.Active(), c.tracker.Prepared()} {
		if p != nil && p.Target(target) != nil {
			return true
		}
	}
	return false
}

// storeReport stores a health report and applies it. The target's buckets become tracked
// even if the report only withdraws one that never reached this balancer: the
// balancers that received the withdrawn report track these buckets until they
// settle.
func (c *Coordinator) storeReport(now time.Time, r detector.HealthReport) {
	held := datedReport{HealthReport: r, since: now.Add(-time.Duration(r.AgeMilliseconds) * time.Millisecond)}
	c.healthReports[r.Target] = held
	c.applyReport(now, held)
	c.Count("target-"+r.Condition.String(), 1)
	c.Log("target changed", "target", c.targetName(r.Target), "condition", r.Condition.String(), "version", r.Version)
}

// applyReport makes the buckets of the report's target tracked. If the target is
// cold, it also starts the target's cold-start limit anew.
func (c *Coordinator) applyReport(now time.Time, r datedReport) {
	c.tracker.TrackTarget(now, r.Target)
	if r.Condition == detector.Cold && c.reportInForce(now, r) {
		c.tracker.SetFresh(r.Target, r.since)
		c.limiter.StopRamp(r.Target)
		c.limiter.StartRamp(now, r.Target, c.rampOf(r.Target))
	}
}

// applyReports applies all health reports in force again, after Tracker.Adopt has rebuilt
// the state.
func (c *Coordinator) applyReports(now time.Time) {
	for _, r := range c.healthReports {
		if c.reportInForce(now, r) {
			c.applyReport(now, r)
		}
	}
}

// dropStaleReports drops the health reports of targets that are in neither the active nor
// the prepared plan.
func (c *Coordinator) dropStaleReports() {
	if c.detector.State() == detector.Joining {
		return
	}
	for id := range c.healthReports {
		if !c.knowsTarget(id) {
			delete(c.healthReports, id)
		}
	}
}

// rampOf returns the length of a target's cold-start ramp, or 0 if its service
// has none.
func (c *Coordinator) rampOf(target planner.TargetID) time.Duration {
	service := c.serviceOf(target)
	if service == nil || service.ColdStart().Flows == 0 {
		return 0
	}
	return time.Duration(service.ColdStart().Ramp)
}

func (c *Coordinator) serviceOf(target planner.TargetID) *planner.Service {
	active := c.tracker.Active()
	if active == nil || active.Target(target) == nil {
		return nil
	}
	return active.ServiceByID(active.Target(target).Service())
}

func (c *Coordinator) targetName(target planner.TargetID) string {
	if active := c.tracker.Active(); active != nil && active.Target(target) != nil {
		return active.Target(target).Name()
	}
	return "unknown"
}

// currentReports returns all health reports with their present age, ordered by target. They
// are sent to balancers that may lack some.
func (c *Coordinator) currentReports(now time.Time) []detector.HealthReport {
	reports := make([]detector.HealthReport, 0, len(c.healthReports))
	for _, r := range c.healthReports {
		report := r.HealthReport
		report.AgeMilliseconds = uint32(min(now.Sub(r.since).Milliseconds(), math.MaxUint32))
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b detector.HealthReport) int { return cmp.Compare(a.Target, b.Target) })
	return reports
}

// appendReportKeys appends the part of the health reports that goes into the digest.
// Reports that have ended count too: a balancer that lacks one may not have tracked the
// buckets of its target.
func appendReportKeys(key []byte, reports []detector.HealthReport) []byte {
	for _, r := range reports {
		key = binary.BigEndian.AppendUint32(key, uint32(r.Target))
		key = binary.BigEndian.AppendUint64(key, uint64(r.StartedUnixMs))
		key = binary.BigEndian.AppendUint32(key, r.Version)
		key = append(key, byte(r.Condition))
	}
	return key
}

func digestOf(key []byte) uint32 { return uint32(xxhash.Sum64(key)) }

// openingHolds returns how openings are held back from each target with a health
// report. In each service, only the reports that assessor.Enforced returns hold openings back. A
// target that is still fresh keeps its limit after its report has ended.
func (c *Coordinator) openingHolds(now time.Time) map[planner.TargetID]tracker.Hold {
	all := make(map[planner.TargetID]tracker.Hold)
	byService := make(map[*planner.Service][]detector.HealthReport)
	for id, r := range c.healthReports {
		service := c.serviceOf(id)
		if service == nil {
			continue
		}
		_, fresh := c.tracker.FreshSince(id)
		switch {
		case !c.reportInForce(now, r) && fresh:
			all[id] = tracker.HoldToLimit
		case !c.reportInForce(now, r):
		case c.tracker.Active().Target(id).AcceptsNewFlows():
			all[id] = tracker.NoHold
			byService[service] = append(byService[service], r.HealthReport)
		default:
			all[id] = tracker.NoHold
		}
	}
	for service, reports := range byService {
		for _, r := range assessor.Enforced(len(service.Active()), reports) {
			all[r.Target] = holdFor(r.Condition)
		}
	}
	return all
}

// holdFor returns how openings are held back from a target whose health
// report is enforced.
func holdFor(condition detector.Condition) tracker.Hold {
	if condition == detector.Down {
		return tracker.HoldAll
	}
	return tracker.HoldToLimit
}
