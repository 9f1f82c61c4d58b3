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

func TestOneLostProbeIsNoVerdict(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	a.Observe(target, answer(start))
	_, complete := a.Observe(target, assessor.Probe{})
	is.True(!complete)
	verdict, complete := a.Observe(target, assessor.Probe{})
	is.True(complete)
	is.Equal(verdict.Condition(), detector.Down)
	is.Equal(verdict.Started(), start)
}

func TestSameIncarnationIsBackAfterTwoAnswers(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	a.Observe(target, assessor.Probe{})
	a.Observe(target, assessor.Probe{})
	_, complete := a.Observe(target, answer(start))
	is.True(!complete)
	verdict, complete := a.Observe(target, answer(start))
	is.True(complete)
	is.Equal(verdict.Condition(), detector.Serving)
}

func TestLaterStartTimeIsCold(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	verdict, complete := a.Observe(target, answer(start.Add(time.Minute)))
	is.True(complete)
	is.Equal(verdict.Condition(), detector.Cold)
	is.Equal(verdict.Started(), start.Add(time.Minute))
}

func TestLaggingAndImpossibleStartTimesSayNothing(t *testing.T) {
	is := is.New(t)
	a := assessor.New()
	a.Observe(target, answer(start))
	for _, started := range []time.Time{start.Add(-time.Minute), start.Add(2 * time.Hour), {}} {
		verdict, _ := a.Observe(target, answer(started))
		is.Equal(verdict.Condition(), detector.Serving)
		is.Equal(verdict.Started(), start)
	}
}

func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "targets")
		unhealthy := rapid.IntRange(0, n).Draw(t, "unhealthy")
		var notes []detector.Note
		for i := range unhealthy {
			c := rapid.SampledFrom([]detector.Condition{detector.Down, detector.Cold}).Draw(t, "condition")
			notes = append(notes, detector.Note{Target: planner.TargetID(i + 1), Condition: c})
		}
		effective := assessor.Effective(n, notes)
		if len(effective) >= n || len(effective) > (n+2)/3 {
			t.Fatalf("%d of %d targets are held back", len(effective), n)
		}
		if unhealthy*2 > n && len(effective) > 0 {
			t.Fatalf("targets are held back though most are unhealthy")
		}
		if unhealthy <= n/3 && len(effective) != unhealthy {
			t.Fatalf("%d of %d unhealthy targets are held back", len(effective), unhealthy)
		}
		shuffled := rapid.Permutation(notes).Draw(t, "order")
		for i, note := range assessor.Effective(n, shuffled) {
			if note.Target != effective[i].Target {
				t.Fatalf("the order of the notes matters")
			}
		}
	})
}
