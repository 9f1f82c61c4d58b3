package rater

import (
	"math"
	"time"
)

const (
	// memory is the weight of the evidence of earlier windows at the end of a window.
	memory = 0.4
	// longMemory is the same for the evidence of what is usual for the service, whose
	// median has to be that of the means of many requests.
	longMemory = 0.9
	// variation is the coefficient of variation of the time per request: a spread of 0.5
	// and 3% of requests that take 7 times as long give 1.1, several kinds of requests more.
	variation = 1.2
	// confidence is the number of standard errors that chance explains, confirmedConfidence
	// the number if the mean time in each of the last two windows with requests was at least
	// severalTimes the usual time.
	confidence          = 5.0
	confirmedConfidence = 2.25
	severalTimes        = 2.0
	// tolerance is the factor between mean times that targets of equal speed may have
	// because kinds of requests are mixed unevenly over them.
	tolerance = 1.5
	// minTimed is the number of timed requests below which a target isn't found slow.
	minTimed = 5.0
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
	// minBegun is the number of requests below which there is no evidence of hanging.
	minBegun = 0.5
)

// rating is the evidence about one target, and its speed.
type rating struct {
	service                      string
	begun, answered, timed, time float64
	longTimed, longTime          float64
	sampledAt                    time.Time
	speed                        float64
	// window is the newest sample, until it is rated, and above the number of windows in a
	// row whose mean time was several times the usual time.
	window Sample
	above  int
}

// age reduces the weight of the evidence after a window.
func (t *rating) age() {
	t.begun, t.answered, t.timed, t.time = memory*t.begun, memory*t.answered, memory*t.timed, memory*t.time
	t.longTimed, t.longTime = longMemory*t.longTimed, longMemory*t.longTime
}

func (t *rating) add(now time.Time, s Sample) {
	t.begun += float64(s.Begun)
	t.answered += float64(s.Answered)
	t.timed += float64(s.Timed)
	t.time += s.Time.Seconds()
	t.longTimed += float64(s.Timed)
	t.longTime += s.Time.Seconds()
	t.sampledAt, t.window = now, s
}

// forgetLong reduces the long evidence to that of the last windows.
func (t *rating) forgetLong() { t.longTimed, t.longTime = t.timed, t.time }

func (t *rating) mean() float64 { return t.time / t.timed }

// rate sets the speed by the evidence, in relation to the service.
//
// Load patterns: a target slows several times, and its callers wait while others have free
// slots; and a target hangs, so that its requests have no time at all.
func (t *rating) rate(ref reference) {
	t.countAbove(ref.time)
	speed := min(t.rateTime(ref.time), t.rateAnswers(ref))
	speed = min(max(speed, t.speed*MaxFall, MinSpeed), t.speed*MaxRise)
	if speed >= fullSpeed {
		speed = 1
		if t.speed < 1 {
			t.forgetLong()
		}
	}
	t.speed = speed
}

// countAbove counts the windows in a row whose mean time was several times the usual time.
func (t *rating) countAbove(usual float64) {
	switch {
	case t.window.Timed == 0:
	case t.window.Time.Seconds() > severalTimes*usual*float64(t.window.Timed):
		t.above++
	default:
		t.above = 0
	}
	t.window = Sample{}
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
	errors := confidence
	if t.above >= 2 {
		errors = confirmedConfidence
	}
	if t.timed < minTimed || slowdown <= tolerance*(1+errors*variation/math.Sqrt(t.timed)) {
		return 1
	}
	return 1 / (1 + (slowdown-1)*t.timed/(t.timed+priorTimed))
}

// rateAnswers returns the speed by the part of the requests that is answered. Requests that
// take as long as usual may be under way, so a target whose requests usually take more than
// one and a half seconds isn't found to hang.
func (t *rating) rateAnswers(ref reference) float64 {
	expected := ref.answered * t.begun
	if t.begun < minBegun || t.answered >= minAnswered*expected {
		return 1
	}
	underWay := (1 - memory) * t.begun * ref.time
	if expected-t.answered <= 2*math.Sqrt(t.begun)+1+underWay {
		// Few requests don't show that a target hangs, nor that it has recovered.
		return t.speed
	}
	return t.answered / expected
}
