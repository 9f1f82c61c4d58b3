package director

import "time"

const (
	// suspectDuration is how long a target ranks last after it left an opening packet
	// unanswered. On our users' platform a registration lapses after three missed
	// heartbeats, 2.3 s, so a target that died is deregistered before this time ends.
	suspectDuration = 2500 * time.Millisecond
	// maxSuspectDuration bounds suspectDuration times the number of unanswered openings.
	maxSuspectDuration = 10 * time.Second
	// checkInterval is the least time between two checks of a target that does not
	// answer. Checks have a cost, and each takes up to 0.4 s.
	checkInterval = 500 * time.Millisecond
	// recheckInterval is the least time between two checks of a target that was found
	// unreachable.
	recheckInterval = 2 * time.Second
	// answerTimeout is how long a target may leave all its flows unanswered before a
	// retransmitted packet is taken as a sign of its failure, and not of packet loss.
	// It is the time after which callers retransmit.
	answerTimeout = 200 * time.Millisecond
)

// targetHealth is what this balancer itself has observed of a target: answered and
// unanswered packets, and checks. Load pattern: targets die or are cut off while their
// registrations still say that they are ready.
type targetHealth struct {
	lastAnswer         time.Time
	suspectUntil       time.Time
	unansweredOpenings int
	// unreachable reports whether the last check that was conclusive failed.
	unreachable bool
	// checkPending reports whether a check was requested and has no verdict yet.
	checkPending bool
	checkedAt    time.Time
}

// recordAnswer records that the target answered a packet.
func (h *targetHealth) recordAnswer(now time.Time) {
	h.lastAnswer = now
	if h.unreachable {
		// The answer may have been sent before the target became unreachable, so only a
		// check ends this state.
		return
	}
	h.suspectUntil = time.Time{}
	h.unansweredOpenings = 0
}

// recordUnansweredOpening records that an opening packet was retransmitted before the
// target answered it.
func (h *targetHealth) recordUnansweredOpening(now time.Time) {
	h.unansweredOpenings++
	h.suspectUntil = now.Add(min(suspectDuration*time.Duration(h.unansweredOpenings), maxSuspectDuration))
}

// answeredSince reports whether the target answered any flow after t.
func (h *targetHealth) answeredSince(t time.Time) bool { return h.lastAnswer.After(t) }

// isSuspect reports whether the target is unreachable or left an opening packet unanswered
// recently.
func (h *targetHealth) isSuspect(now time.Time) bool {
	return h.unreachable || now.Before(h.suspectUntil)
}

// checkDue reports whether a check of the target may start now.
func (h *targetHealth) checkDue(now time.Time) bool {
	pause := checkInterval
	if h.unreachable {
		pause = recheckInterval
	}
	return !h.checkPending && now.Sub(h.checkedAt) >= pause
}
