package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// Load pattern: three of a zone's five targets crash at once, and their hosts answer packets
// with resets. Callers then don't retransmit their opening packets, so the only sign of the
// failure is that no packet follows. After a second, no flow may go to these targets. On
// recorded day inc-d73c it took 1.3 s until the registrations lapsed, and 105 requests
// failed that were tried three times.
func TestTargetsOfUnansweredOpeningsAreChecked(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	sendRequests(d, start, 3, 30)
	crashed := map[string]bool{"t-3": true, "t-6": true, "t-9": true}
	late := 0
	for n := range 60 { // 2 s
		now := start.Add(3*time.Second + time.Duration(n)*time.Second/30)
		decision := d.Decide(now, opening(5000+n, 0))
		switch {
		case !crashed[decision.Target.Name]:
			d.Decide(now.Add(10*time.Millisecond), data(5000+n, board, decision.Token, 1, 1))
		case n >= 30:
			late++
		}
		for _, c := range d.TakeChecks() {
			verdict := director.Reachable
			if crashed[c.Name] {
				verdict = director.Unreachable
			}
			d.RecordVerdict(now.Add(30*time.Millisecond), c, verdict)
		}
	}
	is.Equal(late, 0)
}

// Targets that answer opening packets aren't checked. A target whose opening packet is
// retransmitted isn't checked by this rule either, but by decideRetransmittedOpening.
func TestAnsweredOpeningsCauseNoChecks(t *testing.T) {
	is := is.New(t)
	d := newDirectorWithZones()
	sendRequests(d, start, 5, 30)
	is.Equal(len(d.TakeChecks()), 0)
}
