package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/retrier"
)

var startTime = time.Unix(1000, 0)

// newFundedRetrier returns a Retrier whose budget has grown by 1000 first attempts.
func newFundedRetrier(c retrier.Config) *retrier.Retrier {
	r := retrier.New(c)
	for range 1000 {
		r.RecordFirstAttempt()
	}
	return r
}

func TestDecisions(t *testing.T) {
	soon := startTime.Add(50 * time.Millisecond)
	cases := []struct {
		name    string
		attempt retrier.Attempt
		reason  retrier.Reason
	}{
		{"answered", retrier.Attempt{Number: 1, Outcome: retrier.Answered, Idempotent: true}, retrier.NotRetriedAnswered},
		{"not run", retrier.Attempt{Number: 1, Outcome: retrier.NotRun}, retrier.RetriedNotRun},
		{"unknown, idempotent", retrier.Attempt{Number: 1, Idempotent: true}, retrier.RetriedIdempotent},
		{"unknown", retrier.Attempt{Number: 1}, retrier.NotRetriedMayHaveRun},
		{"last attempt", retrier.Attempt{Number: 3, Outcome: retrier.NotRun}, retrier.NotRetriedAttempts},
		{"deadline", retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: soon}, retrier.NotRetriedDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(newFundedRetrier(retrier.Config{}).Decide(startTime, c.attempt).Reason().String(), c.reason.String())
		})
	}
}

func TestDelayGrowsUpToItsBound(t *testing.T) {
	is := is.New(t)
	r := newFundedRetrier(retrier.Config{MaxAttempts: 20, Jitter: func() float64 { return 0 }})
	is.Equal(r.Decide(startTime, retrier.Attempt{Number: 1, Outcome: retrier.NotRun}).Delay(), retrier.DefaultBaseDelay/2)
	is.Equal(r.Decide(startTime, retrier.Attempt{Number: 2, Outcome: retrier.NotRun}).Delay(), retrier.DefaultBaseDelay)
	is.Equal(r.Decide(startTime, retrier.Attempt{Number: 19, Outcome: retrier.NotRun}).Delay(), retrier.DefaultMaxDelay/2)
}

// simulateOverload sends attempts at twice the capacity of the servers: half of them
// are answered, and the rest are refused without being run. It returns the mean number
// of attempts per request.
func simulateOverload(r *retrier.Retrier, requests int) float64 {
	attempts := 0
	capacity := 0.0
	for range requests {
		r.RecordFirstAttempt()
		for number := 1; ; number++ {
			attempts++
			capacity += 0.5
			outcome := retrier.NotRun
			if capacity >= 1 {
				capacity--
				outcome = retrier.Answered
			}
			if !r.Decide(startTime, retrier.Attempt{Number: number, Outcome: outcome}).Retry() {
				break
			}
		}
	}
	return float64(attempts) / float64(requests)
}

// maxAmplification bounds the attempts per request under overload (issue 4).
const maxAmplification = 1.1

func TestRetriesDoNotAmplifyOverload(t *testing.T) {
	is := is.New(t)
	bounded := simulateOverload(retrier.New(retrier.Config{}), 100000)
	unbounded := simulateOverload(newFundedRetrier(retrier.Config{BudgetRatio: 1, MaxBudget: 1e9}), 100000)
	t.Logf("attempts per request at twice the capacity: %.3f with the budget, %.3f without", bounded, unbounded)
	is.True(bounded <= maxAmplification)
	is.True(unbounded > maxAmplification)
}

func TestNoUnsafeRetryAndNoOverspending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := retrier.New(retrier.Config{})
		firstAttempts, retried := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begins") {
				r.RecordFirstAttempt()
				firstAttempts++
				continue
			}
			a := retrier.Attempt{
				Number:     rapid.IntRange(1, 4).Draw(t, "number"),
				Outcome:    retrier.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
			}
			if !r.Decide(startTime, a).Retry() {
				continue
			}
			retried++
			if a.Outcome == retrier.Answered || (a.Outcome == retrier.Unknown && !a.Idempotent) {
				t.Fatalf("unsafe retry of %+v", a)
			}
		}
		if float64(retried) > retrier.DefaultBudgetRatio*float64(firstAttempts)+1e-6 {
			t.Fatalf("%d retries for %d first attempts exceed the budget", retried, firstAttempts)
		}
	})
}
