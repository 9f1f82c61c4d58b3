package aggregator

import (
	"math"
	"time"
)

const (
	// maxWindow and minWindow bound the length of a window. A balancer ends a window about
	// once a second, and later if its requests for the view take longer.
	maxWindow = 10 * time.Second
	minWindow = 100 * time.Millisecond
	// MaxReportClasses limits the classes of a Report.
	MaxReportClasses = 64
	// MaxReportTargets limits the targets of a Report. A balancer of a large site sees 200 in a
	// second.
	MaxReportTargets = 400
	// maxCountPerSecond is more than a balancer can forward: 100,000 packets a second take a
	// core each.
	maxCountPerSecond = 100_000
	// maxAnswerTime limits the mean time of answers. Callers give up a request after a few
	// seconds.
	maxAnswerTime = 30 * time.Second
	// maxNameBytes limits the length of names in messages.
	maxNameBytes = 128
	// maxUrgency limits the urgency of a class; 0 is the most urgent.
	maxUrgency = 1000
)

// ClassCount is what a balancer counted of one class in a window.
type ClassCount struct {
	_     struct{} `cbor:",toarray"`
	Class Class
	// Openings is the number of new flows offered, including those that were turned away,
	// and Rejected the number of those turned away.
	Openings uint32
	Rejected uint32
	// Requests is the number of requests that began, Answered the number that were answered,
	// Timed the number of answers whose time is known, and Time the sum of these times.
	Requests uint32
	Answered uint32
	Timed    uint32
	Time     time.Duration
}

// TargetCount is what a balancer counted of one target in a window.
type TargetCount struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	// Service is an index of Report.Services.
	Service  uint32
	Begun    uint32
	Answered uint32
	Timed    uint32
	Time     time.Duration
}

// Report is what one balancer observed in one window of time.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Balancer         string
	AvailabilityZone string
	// Window is the length of the window.
	Window time.Duration
	// Clock is the last time that the receiver stated to the sender by its own clock, in
	// nanoseconds, or 0 if there is none. Held is the time from the sender's receipt of Clock
	// to the end of the window.
	Clock   int64
	Held    time.Duration
	Classes []ClassCount
	// Services holds the names of the targets' services.
	Services []string
	Targets  []TargetCount
}

// InvalidError reports a message that is not used.
type InvalidError struct{ reason string }

// Reasons of InvalidError.
const (
	ReasonTooLarge    = "too-large"
	ReasonNewerFormat = "newer-format"
	ReasonMalformed   = "malformed"
	ReasonImpossible  = "impossible"
	ReasonTooMany     = "too-many-entries"
	ReasonTooOld      = "too-old"
)

// Reason returns why the message isn't used, in kebab case.
func (e *InvalidError) Reason() string { return e.reason }

func (e *InvalidError) Error() string { return "load report not used: " + e.reason }

// Validate returns an *InvalidError if the report's numbers are impossible or its entries too
// many.
func (r *Report) Validate() error {
	switch {
	case len(r.Classes) > MaxReportClasses || len(r.Targets) > MaxReportTargets || len(r.Services) > MaxReportTargets:
		return &InvalidError{ReasonTooMany}
	case r.Balancer == "" || len(r.Balancer) > maxNameBytes || len(r.AvailabilityZone) > maxNameBytes:
		return &InvalidError{ReasonMalformed}
	case r.Window < minWindow || r.Window > maxWindow || r.Held < 0:
		return &InvalidError{ReasonImpossible}
	}
	most := uint32(maxCountPerSecond * r.Window.Seconds())
	seen := make(map[Class]bool, len(r.Classes))
	for i := range r.Classes {
		c := &r.Classes[i]
		if !c.Class.valid() || seen[c.Class] || c.Rejected > c.Openings || max(c.Openings, c.Requests, c.Answered) > most || !validTimes(c.Answered, c.Timed, c.Time) {
			return &InvalidError{ReasonImpossible}
		}
		seen[c.Class] = true
	}
	return r.validateTargets(most)
}

func (r *Report) validateTargets(most uint32) error {
	for _, name := range r.Services {
		if len(name) > maxNameBytes {
			return &InvalidError{ReasonMalformed}
		}
	}
	seen := make(map[uint64]bool, len(r.Targets))
	for i := range r.Targets {
		t := &r.Targets[i]
		if int(t.Service) >= len(r.Services) || seen[t.Target] || max(t.Begun, t.Answered) > most || !validTimes(t.Answered, t.Timed, t.Time) {
			return &InvalidError{ReasonImpossible}
		}
		seen[t.Target] = true
	}
	return nil
}

// valid reports whether a class may come from a configuration.
func (c Class) valid() bool {
	return c.Service != "" && len(c.Service) <= maxNameBytes && c.Urgency >= 0 && c.Urgency <= maxUrgency
}

// validTimes reports whether the sum of the times of timed answers is possible.
func validTimes(answered, timed uint32, total time.Duration) bool {
	return timed <= answered && total >= 0 && total <= time.Duration(min(int64(timed), math.MaxInt64/int64(maxAnswerTime)))*maxAnswerTime
}
