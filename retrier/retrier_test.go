package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/retrier"
)

var begin = time.Unix(1000, 0)

// funded returns a Retrier with budget for some retries.
func funded(c retrier.Config) *retrier.Retrier {
	r := retrier.New(c)
	for range 1000 {
		r.Began()
	}
	return r
}

func TestVerdicts(t *testing.T) {
	soon := begin.Add(50 * time.Millisecond)
	cases := []struct {
		name    string
		attempt retrier.Attempt
		reason  retrier.Reason
	}{
		{"answered", retrier.Attempt{Number: 1, Outcome: retrier.Answered, Idempotent: true}, retrier.KeptAnswered},
		{"not run", retrier.Attempt{Number: 1, Outcome: retrier.NotRun}, retrier.RetriedNotRun},
		{"unknown, idempotent", retrier.Attempt{Number: 1, Idempotent: true}, retrier.RetriedIdempotent},
		{"unknown", retrier.Attempt{Number: 1}, retrier.KeptMayHaveRun},
		{"last attempt", retrier.Attempt{Number: 3, Outcome: retrier.NotRun}, retrier.KeptAttempts},
		{"deadline", retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: soon}, retrier.KeptDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(funded(retrier.Config{}).Decide(begin, c.attempt).Reason().String(), c.reason.String())
		})
	}
}

func TestDelayGrowsUpToItsBound(t *testing.T) {
	is := is.New(t)
	r := funded(retrier.Config{Attempts: 20, Jitter: func() float64 { return 0 }})
	is.Equal(r.Decide(begin, retrier.Attempt{Number: 1, Outcome: retrier.NotRun}).Delay(), retrier.DefaultDelay/2)
	is.Equal(r.Decide(begin, retrier.Attempt{Number: 2, Outcome: retrier.NotRun}).Delay(), retrier.DefaultDelay)
	is.Equal(r.Decide(begin, retrier.Attempt{Number: 19, Outcome: retrier.NotRun}).Delay(), retrier.DefaultMaxDelay/2)
}

// overload sends requests at twice what is served; each attempt beyond that is
// refused as not run. It returns the attempts for each request.
func overload(r *retrier.Retrier, requests int) float64 {
	attempts := 0
	capacity := 0.0
	for range requests {
		r.Began()
		for number := 1; ; number++ {
			attempts++
			capacity += 0.5
			outcome := retrier.NotRun
			if capacity >= 1 {
				capacity--
				outcome = retrier.Answered
			}
			if !r.Decide(begin, retrier.Attempt{Number: number, Outcome: outcome}).Retry() {
				break
			}
		}
	}
	return float64(attempts) / float64(requests)
}

// maxAmplification is the bound that issue 4 states.
const maxAmplification = 1.1

func TestRetriesDoNotAmplifyOverload(t *testing.T) {
	is := is.New(t)
	bounded := overload(retrier.New(retrier.Config{}), 100000)
	unbounded := overload(funded(retrier.Config{Share: 1, Reserve: 1e9}), 100000)
	t.Logf("attempts for each request at twice the capacity: %.3f with the budget, %.3f without", bounded, unbounded)
	is.True(bounded <= maxAmplification)
	is.True(unbounded > maxAmplification)
}

func TestNoUnsafeRetryAndNoOverspending(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := retrier.New(retrier.Config{})
		begun, retried := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begins") {
				r.Began()
				begun++
				continue
			}
			a := retrier.Attempt{
				Number:     rapid.IntRange(1, 4).Draw(t, "number"),
				Outcome:    retrier.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
			}
			if !r.Decide(begin, a).Retry() {
				continue
			}
			retried++
			if a.Outcome == retrier.Answered || (a.Outcome == retrier.Unknown && !a.Idempotent) {
				t.Fatalf("unsafe retry of %+v", a)
			}
		}
		if float64(retried) > retrier.DefaultShare*float64(begun)+1e-6 {
			t.Fatalf("%d retries for %d requests", retried, begun)
		}
	})
}
