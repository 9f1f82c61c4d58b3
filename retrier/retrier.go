// Package retrier decides whether a caller may send a request again.
//
// A request is sent again only where it can't run twice: it is idempotent, or the
// answer says that it did not run. Retries are paid from a budget that grows with
// first attempts, so that under overload they add a bounded share of load, and
// none begins that the caller's deadline leaves no time for.
//
// # Usage
//
//	r := retrier.New(retrier.Config{})
//	r.Began()
//	…
//	v := r.Decide(now, retrier.Attempt{Number: 1, Outcome: retrier.NotRun, Deadline: deadline})
//	if v.Retry() {
//		time.Sleep(v.Delay())
//	}
//	counters.Add(v.Reason().String(), 1)
//
// A Retrier reads no clock. It may be used from several goroutines.
package retrier

import (
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultShare keeps the load at 1.1 times the first attempts at most.
	DefaultShare    = 0.1
	DefaultAttempts = 3
	DefaultDelay    = 100 * time.Millisecond
	DefaultMaxDelay = 2 * time.Second
	// DefaultReserve bounds the retries that are saved up in quiet times.
	DefaultReserve = 20
)

// Config is the policy. Zero values stand for the defaults.
type Config struct {
	// Share is how many retries each first attempt pays for, above 0 and up to 1.
	Share float64
	// Reserve is the largest number of retries that are saved up.
	Reserve float64
	// Attempts bounds the attempts of one request, the first included.
	Attempts int
	// Delay is waited before the first retry; it doubles up to MaxDelay.
	Delay    time.Duration
	MaxDelay time.Duration
	// Jitter returns a number from 0 to 1, which spreads the delay from half of it
	// to the whole. Without it the whole delay is waited.
	Jitter func() float64
}

// Outcome is what came of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that no answer came: the request may have run.
	Unknown Outcome = iota
	// NotRun means that the answer says that the request did not run.
	NotRun
	// Answered means that the request ran.
	Answered
)

// Attempt is an attempt that has ended.
type Attempt struct {
	// Number counts the attempts of the request from 1.
	Number     int
	Outcome    Outcome
	Idempotent bool
	// Deadline is when the caller gives up; zero stands for never.
	Deadline time.Time
}

// Reason says why a request is sent again, or why not.
type Reason uint8

// The reasons.
const (
	RetriedNotRun Reason = iota
	RetriedIdempotent
	KeptAnswered
	KeptMayHaveRun
	KeptAttempts
	KeptDeadline
	KeptBudget
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

// Reasons lists all reasons.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}

// Verdict is the decision on one attempt.
type Verdict struct {
	reason Reason
	delay  time.Duration
}

// Retry reports whether the request is sent again.
func (v Verdict) Retry() bool { return v.reason <= RetriedIdempotent }

// Delay returns how long to wait before it is sent again.
func (v Verdict) Delay() time.Duration { return v.delay }

// Reason returns why.
func (v Verdict) Reason() Reason { return v.reason }

// Retrier holds the budget of one caller.
type Retrier struct {
	config Config

	mu     sync.Mutex
	budget float64
}

// New returns a Retrier whose budget is empty.
func New(c Config) *Retrier {
	if c.Share == 0 {
		c.Share = DefaultShare
	}
	if c.Reserve == 0 {
		c.Reserve = DefaultReserve
	}
	if c.Attempts == 0 {
		c.Attempts = DefaultAttempts
	}
	if c.Delay == 0 {
		c.Delay = DefaultDelay
	}
	if c.MaxDelay == 0 {
		c.MaxDelay = DefaultMaxDelay
	}
	return &Retrier{config: c}
}

// Began pays the budget for the first attempt of a request.
func (r *Retrier) Began() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = min(r.budget+r.config.Share, r.config.Reserve)
}

// Decide says whether the request of an attempt is sent again.
func (r *Retrier) Decide(now time.Time, a Attempt) Verdict {
	reason := safe(a)
	if reason > RetriedIdempotent {
		return Verdict{reason: reason}
	}
	if a.Number >= r.config.Attempts {
		return Verdict{reason: KeptAttempts}
	}
	delay := r.delay(a.Number)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Verdict{reason: KeptDeadline}
	}
	if !r.spend() {
		return Verdict{reason: KeptBudget}
	}
	return Verdict{reason: reason, delay: delay}
}

// safe returns the reason for a retry that can't run the request twice.
func safe(a Attempt) Reason {
	switch {
	case a.Outcome == Answered:
		return KeptAnswered
	case a.Outcome == NotRun:
		return RetriedNotRun
	case a.Idempotent:
		return RetriedIdempotent
	default:
		return KeptMayHaveRun
	}
}

func (r *Retrier) delay(attempt int) time.Duration {
	delay := r.config.Delay
	for i := 1; i < attempt && delay < r.config.MaxDelay; i++ {
		delay *= 2
	}
	delay = min(delay, r.config.MaxDelay)
	if r.config.Jitter == nil {
		return delay
	}
	return delay/2 + time.Duration(float64(delay/2)*r.config.Jitter())
}

func (r *Retrier) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}
