// Package retrier decides whether a caller may retry a request.
//
// A request is retried only if that is safe: it is idempotent, or the answer says that
// it did not run. Each retry is paid from a retry budget, which grows with each first
// attempt, so that retries add only a bounded fraction of load under overload. No
// retry is allowed that would begin at or after the caller's deadline.
//
// # Usage
//
//	r := retrier.New(retrier.Config{})
//	r.RecordFirstAttempt()
//	…
//	d := r.Decide(now, retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: deadline})
//	if d.Retry() {
//		time.Sleep(d.Delay())
//	}
//	counters.Add(d.Reason().String(), 1)
//
// A Retrier reads no clock. It is safe for use from several goroutines.
package retrier

import (
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultBudgetRatio bounds the load to 1.1 times the first attempts.
	DefaultBudgetRatio = 0.1
	DefaultMaxAttempts = 3
	DefaultBaseDelay   = 100 * time.Millisecond
	DefaultMaxDelay    = 2 * time.Second
	// DefaultMaxBudget bounds the retries that accumulate while few are needed.
	DefaultMaxBudget = 20
)

// Config is the retry policy. A zero field other than Jitter stands for its default.
type Config struct {
	// BudgetRatio is how much each first attempt adds to the retry budget, in retries.
	// It is above 0 and at most 1.
	BudgetRatio float64
	// MaxBudget is the largest retry budget that can accumulate, in retries.
	MaxBudget float64
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts int
	// BaseDelay is the delay before the first retry. It doubles with each further retry,
	// up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Jitter returns a number from 0 to 1, which sets the delay between half of its full
	// value and the full value. If Jitter is nil, the delay has its full value.
	Jitter func() float64
}

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Unknown means that no answer arrived, so the request may have run.
	Unknown Outcome = iota
	// NotRun means that the answer says that the request did not run.
	NotRun
	// Answered means that an answer arrived and that the request ran.
	Answered
)

// Attempt is an attempt that has ended.
type Attempt struct {
	// Number is the number of the attempt within its request, from 1.
	Number     int
	Outcome    Outcome
	Idempotent bool
	// Deadline is when the caller gives up on the request; zero means never.
	Deadline time.Time
}

// Reason says why a request is or is not retried.
type Reason uint8

// The reasons for a decision. Those for a retry come first.
const (
	// RetriedNotRun means that the answer says that the request did not run.
	RetriedNotRun Reason = iota
	// RetriedIdempotent means that the request may have run, but is idempotent.
	RetriedIdempotent
	// NotRetriedAnswered means that the request ran and was answered.
	NotRetriedAnswered
	// NotRetriedMayHaveRun means that the request may have run and is not idempotent.
	NotRetriedMayHaveRun
	// NotRetriedAttempts means that the request has reached MaxAttempts.
	NotRetriedAttempts
	// NotRetriedDeadline means that the retry would not begin before the deadline.
	NotRetriedDeadline
	// NotRetriedBudget means that the retry budget is exhausted.
	NotRetriedBudget
	reasonCount
)

var reasonNames = [reasonCount]string{
	"retried-not-run",
	"retried-idempotent",
	"not-retried-answered",
	"not-retried-may-have-run",
	"not-retried-attempts",
	"not-retried-deadline",
	"not-retried-budget",
}

func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}

// Decision says whether a request is retried after an attempt.
type Decision struct {
	reason Reason
	delay  time.Duration
}

// Retry reports whether the request is retried.
func (d Decision) Retry() bool { return d.reason <= RetriedIdempotent }

// Delay returns how long to wait before the retry; it is 0 without a retry.
func (d Decision) Delay() time.Duration { return d.delay }

// Reason returns why the request is or is not retried.
func (d Decision) Reason() Reason { return d.reason }

// Retrier holds the retry policy and the retry budget of one caller.
type Retrier struct {
	config Config

	mu sync.Mutex
	// budget is the number of retries that may be sent now.
	budget float64
}

// New returns a Retrier with an empty retry budget.
func New(c Config) *Retrier {
	if c.BudgetRatio == 0 {
		c.BudgetRatio = DefaultBudgetRatio
	}
	if c.MaxBudget == 0 {
		c.MaxBudget = DefaultMaxBudget
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.BaseDelay == 0 {
		c.BaseDelay = DefaultBaseDelay
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = DefaultMaxDelay
	}
	return &Retrier{config: c}
}

// RecordFirstAttempt adds the BudgetRatio to the retry budget. Call it once for the first
// attempt of each request.
func (r *Retrier) RecordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = min(r.budget+r.config.BudgetRatio, r.config.MaxBudget)
}

// Decide decides whether to retry a request after the attempt a, which has ended. A
// retry is taken from the retry budget.
func (r *Retrier) Decide(now time.Time, a Attempt) Decision {
	reason := safetyReason(a)
	if reason > RetriedIdempotent {
		return Decision{reason: reason}
	}
	if a.Number >= r.config.MaxAttempts {
		return Decision{reason: NotRetriedAttempts}
	}
	delay := r.backoff(a.Number)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{reason: NotRetriedDeadline}
	}
	if !r.spendBudget() {
		return Decision{reason: NotRetriedBudget}
	}
	return Decision{reason: reason, delay: delay}
}

// safetyReason returns the reason why a retry can't run the request twice, or why it
// must not be sent.
func safetyReason(a Attempt) Reason {
	switch {
	case a.Outcome == Answered:
		return NotRetriedAnswered
	case a.Outcome == NotRun:
		return RetriedNotRun
	case a.Idempotent:
		return RetriedIdempotent
	default:
		return NotRetriedMayHaveRun
	}
}

// backoff returns the delay before the retry that follows an attempt, with jitter.
func (r *Retrier) backoff(attempt int) time.Duration {
	delay := r.config.BaseDelay
	for i := 1; i < attempt && delay < r.config.MaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, r.config.MaxDelay)
	if r.config.Jitter == nil {
		return delay
	}
	return delay/2 + time.Duration(float64(delay/2)*r.config.Jitter())
}

// spendBudget takes one retry from the budget, and reports whether the budget had one.
func (r *Retrier) spendBudget() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}
