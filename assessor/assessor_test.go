package assessor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
)

const target = planner.TargetID(7)

var start = time.Unix(1000, 0)

func answer(started time.Time) assessor.Probe {
	return assessor.Probe{At: start.Add(time.Hour), Answered: true, Started: started}
}

func TestOneLostProbeIsNotDown(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	a.Observe(target, answer(start))
	_, established := a.Observe(target, assessor.Probe{})
	is.True(!established)
	health, established := a.Observe(target, assessor.Probe{})
	is.True(established)
	is.Equal(health.Condition(), detector.Down)
	is.Equal(health.Started(), start)
}

func TestTargetServesAgainAfterTwoAnswers(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	a.Observe(target, assessor.Probe{})
	a.Observe(target, assessor.Probe{})
	_, established := a.Observe(target, answer(start))
	is.True(!established)
	health, established := a.Observe(target, answer(start))
	is.True(established)
	is.Equal(health.Condition(), detector.Serving)
}

func TestTargetWithLaterStartTimeIsCold(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	health, established := a.Observe(target, answer(start.Add(time.Minute)))
	is.True(established)
	is.Equal(health.Condition(), detector.Cold)
	is.Equal(health.Started(), start.Add(time.Minute))
}

func TestOutdatedAndImpossibleStartTimesAreIgnored(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	for _, started := range []time.Time{start.Add(-time.Minute), start.Add(2 * time.Hour), {}} {
		health, _ := a.Observe(target, answer(started))
		is.Equal(health.Condition(), detector.Serving)
		is.Equal(health.Started(), start)
	}
}

func TestEnforcedReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "targets")
		unhealthy := rapid.IntRange(0, n).Draw(t, "unhealthy")
		var reports []detector.HealthReport
		for i := range unhealthy {
			c := rapid.SampledFrom([]detector.Condition{detector.Down, detector.Cold}).Draw(t, "condition")
			reports = append(reports, detector.HealthReport{Target: planner.TargetID(i + 1), Condition: c})
		}
		enforced := assessor.Enforced(n, reports)
		if len(enforced) >= n || len(enforced) > (n+2)/3 {
			t.Fatalf("%d health reports are enforced for %d targets", len(enforced), n)
		}
		if unhealthy*2 > n && len(enforced) > 0 {
			t.Fatalf("health reports are enforced although most targets are unhealthy")
		}
		if unhealthy <= n/3 && len(enforced) != unhealthy {
			t.Fatalf("%d health reports are enforced for %d unhealthy targets", len(enforced), unhealthy)
		}
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		for i, report := range assessor.Enforced(n, shuffled) {
			if report.Target != enforced[i].Target {
				t.Fatalf("the enforced health reports depend on the order of all health reports")
			}
		}
	})
}
