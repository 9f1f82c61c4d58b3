package rater

import (
	"math"
	"time"
)

const (
	// memory is the weight of the evidence of earlier windows at the end of a window.
	memory = 0.4
	// variation is the coefficient of variation of the time per request: a spread of 0.5
	// and 3% of requests that take 7 times as long give 1.1, several kinds of requests more.
	variation = 1.2
	// confidence is the number of standard errors that chance explains.
	confidence = 3.0
	// tolerance is the factor between mean times that targets of equal speed may have
	// because kinds of requests are mixed unevenly over them.
	tolerance = 1.5
	// minTimed is the number of timed requests below which a target isn't found slow.
	minTimed = 4.0
	// priorTimed is the number of timed requests whose evidence equals that of the speed
	// rated before.
	priorTimed = 2.0
	// relaxation is the factor by which a speed rises in a window, against the evidence for
	// slowness. A target without requests has speed 1 again within 25 windows.
	relaxation = 1.1
	// fullSpeed is the speed from which a target isn't slow any more.
	fullSpeed = 0.9
	// minAnswered is the answered part of the requests, relative to the service, below which
	// a target may be hanging. Random losses and requests under way explain more.
	minAnswered = 0.5
)

// rating is the evidence about one target, and its speed.
type rating struct {
	service                      string
	begun, answered, timed, time float64
	sampledAt                    time.Time
	speed                        float64
}

// age reduces the weight of the evidence after a window.
func (t *rating) age() {
	t.begun, t.answered, t.timed, t.time = memory*t.begun, memory*t.answered, memory*t.timed, memory*t.time
}

func (t *rating) add(now time.Time, s Sample) {
	t.begun += float64(s.Begun)
	t.answered += float64(s.Answered)
	t.timed += float64(s.Timed)
	t.time += s.Time.Seconds()
	t.sampledAt = now
}

func (t *rating) mean() float64 { return t.time / t.timed }

// rate sets the speed by the evidence, in relation to the service.
//
// Load patterns: a target slows several times, and its callers wait while others have free
// slots; and a target hangs, so that its requests have no time at all.
func (t *rating) rate(ref reference) {
	speed := min(t.rateTime(ref.time), t.rateAnswers(ref.answered))
	speed = min(max(speed, t.speed*MaxFall, MinSpeed), t.speed*MaxRise)
	if speed >= fullSpeed {
		speed = 1
	}
	t.speed = speed
}

// rateTime returns the speed by the time per request.
func (t *rating) rateTime(usual float64) float64 {
	slowdown := 1.0
	if t.timed > 0 && usual > 0 {
		slowdown = t.mean() / usual
	}
	if t.speed < 1 {
		if slowdown < tolerance {
			slowdown = 1
		}
		trust := t.timed / (t.timed + priorTimed)
		return math.Pow(relaxation*t.speed, 1-trust) * math.Pow(1/slowdown, trust)
	}
	if t.timed < minTimed || slowdown <= tolerance*(1+confidence*variation/math.Sqrt(t.timed)) {
		return 1
	}
	return 1 / (1 + (slowdown-1)*t.timed/(t.timed+priorTimed))
}

// rateAnswers returns the speed by the part of the requests that is answered.
func (t *rating) rateAnswers(usual float64) float64 {
	expected := usual * t.begun
	if t.answered >= minAnswered*expected {
		return 1
	}
	if expected-t.answered <= 2*math.Sqrt(t.begun)+1 {
		// Few requests don't show that a target hangs, nor that it has recovered.
		return t.speed
	}
	return t.answered / expected
}
