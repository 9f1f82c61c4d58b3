package coordinator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/activator"
	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/limiter"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	// probers is how many balancers probe each target.
	probers = 2
	// downHoldOff is how long after a health report that a target serves again this
	// balancer does not declare it down. Another balancer may have reached the
	// target, in which case only the path from this balancer is broken.
	downHoldOff = 10 * time.Second
)

// The bits of a digest that report the state of the balancer's limiter. The other
// bits are a hash of the holders of limit shares and of the health reports.
const (
	// majorityBit is set if limiter.Limiter.HasMajority is true.
	majorityBit = 1 << iota
	// agreedBit is set if limiter.Limiter.HasAgreed is true.
	agreedBit
	limiterBits = majorityBit | agreedBit
)

// agreement compares this balancer's digest with those of all other live
// balancers. Openings are diverted because of health reports only while all digests are
// the same. Shares of limits are used only if, in addition, every ready balancer
// has set majorityBit and agreedBit.
type agreement struct {
	digest       uint32
	sameDigest   bool
	majority     bool
	othersAgreed bool
	// unchangedSince is when the digest, or whether all digests are the same, last
	// changed.
	unchangedSince time.Time
}

// update compares the digest of this balancer with those of the other live ones.
func (a *agreement) update(now time.Time, digest uint32, members []detector.Member) {
	same, majority, agreed := true, digest&majorityBit != 0, true
	for _, m := range members {
		same = same && m.Digest()|limiterBits == digest|limiterBits
		if m.State() != detector.Ready {
			continue // A balancer that is not ready holds no share of a limit.
		}
		majority = majority && m.Digest()&majorityBit != 0
		agreed = agreed && m.Digest()&agreedBit != 0
	}
	if same != a.sameDigest || digest|limiterBits != a.digest|limiterBits {
		a.unchangedSince = now
	}
	*a = agreement{digest: digest, sameDigest: same, majority: majority, othersAgreed: agreed, unchangedSince: a.unchangedSince}
}

// stable reports whether all digests have been the same for
// activator.AgreementTime. Until then, openings on targets with a hold are dropped.
// If such an opening is retransmitted after that time, its first copy was therefore
// dropped as well, and not forwarded to the target.
func (a *agreement) stable(now time.Time) bool {
	return a.sameDigest && now.Sub(a.unchangedSince) >= activator.AgreementTime
}

// updateAgreement recomputes the digest of the holders of shares and the health reports,
// compares it with those of the other balancers, and tells the limiter and the
// tracker the result.
func (c *Coordinator) updateAgreement(now time.Time) {
	ready := c.detector.State() == detector.Ready && c.detector.MayDecide(now)
	members := c.detector.Members(now)
	holders := limiter.Holders(c.self, ready, members)
	reports := c.currentReports(now)
	key := binary.BigEndian.AppendUint32(nil, limiter.Digest(holders))
	c.limiter.SetHolders(now, holders)
	digest := digestOf(appendReportKeys(key, reports)) &^ limiterBits
	if c.limiter.HasMajority(now) {
		digest |= majorityBit
	}
	if c.limiter.HasAgreed() {
		digest |= agreedBit
	}
	c.detector.SetDigest(digest)
	c.detector.SetHealthReports(reports)
	c.agreement.update(now, digest, members)
	c.limiter.SetAgreement(now, ready && c.agreement.sameDigest && c.agreement.majority, c.agreement.othersAgreed)
	c.tracker.SetHolds(c.openingHolds(now), c.agreement.stable(now))
}

// TargetsToProbe returns the targets that this balancer must probe, ordered by
// identifier. Only a ready balancer probes.
func (c *Coordinator) TargetsToProbe(now time.Time) []*planner.Target {
	active := c.tracker.Active()
	if active == nil || c.detector.State() != detector.Ready {
		return nil
	}
	holders := limiter.Holders(c.self, true, c.detector.Members(now))
	var mine []*planner.Target
	for id, target := range active.Targets() {
		if target.AcceptsNewFlows() && target.HealthAddress().IsValid() && isProber(c.self, id, holders) {
			mine = append(mine, target)
		}
	}
	slices.SortFunc(mine, func(a, b *planner.Target) int { return cmp.Compare(a.ID(), b.ID()) })
	return mine
}

// isProber reports whether self is one of the balancers that probe a target:
// those with the highest scores for it (rendezvous hashing).
func isProber(self tracker.MemberID, target planner.TargetID, holders []tracker.MemberID) bool {
	ahead := 0
	own := probeScore(self, target)
	for _, id := range holders {
		if probeScore(id, target) > own {
			ahead++
		}
	}
	return ahead < probers
}

func probeScore(id tracker.MemberID, target planner.TargetID) uint64 {
	key := binary.BigEndian.AppendUint32(nil, uint32(target))
	return xxhash.Sum64(binary.BigEndian.AppendUint32(key, uint32(id)))
}

// HandleProbe processes the result of a health probe.
func (c *Coordinator) HandleProbe(now time.Time, target planner.TargetID, p assessor.Probe) {
	health, established := c.assessor.Observe(target, p)
	if !established || c.detector.State() != detector.Ready || !c.knowsTarget(target) {
		return
	}
	held := c.healthReports[target]
	if condition, isNew := conditionFrom(now, held, health); isNew {
		c.addReport(now, held, target, condition, health.Started())
	}
}

// conditionFrom returns the condition of a target that follows from its health report and
// from what this balancer's probes have shown, and whether it calls for a new
// report. The report may come from another balancer that has seen more than this one.
func conditionFrom(now time.Time, held datedReport, h assessor.Health) (detector.Condition, bool) {
	started := unixMilli(h.Started())
	switch {
	case h.Condition() == detector.Down:
		heldOff := held.isRecovery() && now.Sub(held.since) < downHoldOff
		return detector.Down, held.Condition != detector.Down && !heldOff
	case held.Version == 0:
		return h.Condition(), h.Condition() == detector.Cold
	case started > held.StartedUnixMs:
		return detector.Cold, true
	case held.Condition != detector.Down:
		return held.Condition, false
	case started != 0 && started == held.StartedUnixMs:
		return detector.Serving, true
	default:
		// The target answers again, but its start time does not show whether it was
		// restarted.
		return detector.Cold, true
	}
}

// isRecovery says whether the health report tells that the target serves again, and
// thereby withdraws an earlier report.
func (r datedReport) isRecovery() bool { return r.Version > 0 && r.Condition == detector.Serving }

// addReport creates and stores the next version of the health report on a target.
func (c *Coordinator) addReport(now time.Time, held datedReport, target planner.TargetID, condition detector.Condition, started time.Time) {
	c.storeReport(now, detector.HealthReport{
		Target:        target,
		StartedUnixMs: max(unixMilli(started), held.StartedUnixMs),
		Version:       held.Version + 1,
		Condition:     condition,
	})
	c.updateAgreement(now)
}

// unixMilli returns the Unix time in milliseconds, or 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// startRampLimits starts the limits of the targets that begin to accept new flows
// with a newly prepared plan. It must be called before any balancer can activate the
// plan.
func (c *Coordinator) startRampLimits(now time.Time, before *planner.Plan, prepared *planner.Plan) {
	if before == nil {
		return
	}
	for id, target := range prepared.Targets() {
		earlier := before.Target(id)
		service := prepared.ServiceByID(target.Service())
		if service != nil && target.AcceptsNewFlows() && (earlier == nil || !earlier.AcceptsNewFlows()) {
			c.limiter.StartRamp(now, id, time.Duration(service.ColdStart().Ramp))
		}
	}
}
