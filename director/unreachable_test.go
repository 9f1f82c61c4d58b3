package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// completeRequest opens flow 1, has its target answer a request and returns the flow's
// token. The caller's next packet has sequence number 100 and acknowledgement number 50.
func completeRequest(d *director.Director, now time.Time) tokenizer.Token {
	const n = 1
	token := d.Decide(now, opening(n, 0)).Token
	d.Decide(now, data(n, board, token, 1, 1))
	d.Decide(now, &director.Packet{Source: caller(n), Destination: board, Token: token, Sequence: 100, Acknowledged: 50})
	return token
}

// sendUnansweredTwice sends a request on flow 1 and retransmits it after 300 ms, as the target
// doesn't answer. It returns the decision on the retransmission.
func sendUnansweredTwice(d *director.Director, now time.Time, token tokenizer.Token) director.Decision {
	d.Decide(now, data(1, board, token, 100, 50))
	return d.Decide(now.Add(300*time.Millisecond), data(1, board, token, 100, 50))
}

// Load pattern: a zone is cut off while callers wait for answers of its targets on open
// flows. The test guards against all these callers waiting until their deadlines.
func TestFlowsOfAnUnreachableTargetAreReset(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := completeRequest(d, start)
	now := start.Add(time.Second)
	is.Equal(sendUnansweredTwice(d, now, token).Action, director.Forward)
	checks := d.TakeChecks()
	is.Equal(len(checks), 1)
	reset := d.RecordVerdict(now.Add(600*time.Millisecond), checks[0], director.Unreachable)
	is.Equal(len(reset), 1)
	is.Equal(reset[0].Source, caller(1))
	is.Equal(reset[0].Acknowledged, uint32(50))
	// The next request on any flow of this target is reset at once.
	next := d.Decide(now.Add(700*time.Millisecond), data(2, board, token, 1, 1))
	is.Equal(next.Reason, director.ReasonTargetUnreachable)
	// A packet that only acknowledges carries no request, and may still reach the target.
	is.Equal(d.Decide(now, &director.Packet{Source: caller(3), Destination: board, Token: token, Acknowledged: 9}).Action, director.Forward)
}

// A request that may run only once is never reset, since its answer may still arrive.
func TestNonIdempotentRequestIsNotReset(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := tokenizer.Of(1)
	d.Decide(start, data(1, holds, token, 1, 1))
	d.Decide(start.Add(300*time.Millisecond), data(1, holds, token, 1, 1))
	now := start.Add(time.Second)
	is.Equal(len(d.RecordVerdict(now, d.TakeChecks()[0], director.Unreachable)), 0)
	is.Equal(d.Decide(now, data(1, holds, token, 1, 1)).Action, director.Forward)
}

func TestReachableTargetKeepsItsFlows(t *testing.T) {
	for _, v := range []director.Verdict{director.Reachable, director.Inconclusive} {
		is := is.New(t)
		d := newDirector(1)
		token := completeRequest(d, start)
		now := start.Add(time.Second)
		sendUnansweredTwice(d, now, token)
		is.Equal(len(d.RecordVerdict(now, d.TakeChecks()[0], v)), 0)
		is.Equal(d.Decide(now, data(1, board, token, 200, 50)).Action, director.Forward)
	}
}

// While a target answers other flows, a retransmission on one flow shows a packet loss and
// not a failure of the target.
func TestPacketLossCausesNoCheck(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := completeRequest(d, start)
	now := start.Add(time.Second)
	d.Decide(now, data(1, board, token, 100, 50))
	d.Decide(now.Add(200*time.Millisecond), data(7, board, token, 1, 1)) // another flow's first acknowledgement
	d.Decide(now.Add(300*time.Millisecond), data(1, board, token, 100, 50))
	is.Equal(len(d.TakeChecks()), 0)
}

// When one target is found unreachable, the other targets of its zone are checked before
// requests on them fail. A later check that succeeds brings all of them back.
func TestNeighboursAreCheckedAndComeBack(t *testing.T) {
	is := is.New(t)
	d := newDirector(9)
	token := tokenizer.Of(1) // targets 1, 4 and 7 are in the same zone
	d.Decide(start, data(1, board, token, 1, 1))
	d.Decide(start.Add(300*time.Millisecond), data(1, board, token, 1, 1))
	now := start.Add(time.Second)
	d.RecordVerdict(now, d.TakeChecks()[0], director.Unreachable)
	neighbours := d.TakeChecks()
	is.Equal(len(neighbours), 2)
	for _, c := range neighbours {
		d.RecordVerdict(now, c, director.Unreachable)
	}
	for n := 100; n < 300; n++ {
		is.True(d.Decide(now, opening(n, 0)).Target.AvailabilityZone != "b")
	}
	now = now.Add(3 * time.Second)
	d.Tick(now)
	for _, c := range d.TakeChecks() {
		d.RecordVerdict(now, c, director.Reachable)
	}
	back := false
	for n := 400; n < 600; n++ {
		back = back || d.Decide(now, opening(n, 0)).Target.AvailabilityZone == "b"
	}
	is.True(back)
}

// If all targets are suspect, opening packets are forwarded as if none were.
func TestOpeningsGoOnWhenAllAreUnreachable(t *testing.T) {
	is := is.New(t)
	d := newDirector(4)
	for id := 1; id <= 4; id++ {
		token := tokenizer.Of(uint64(id))
		d.Decide(start, data(id, board, token, 1, 1))
		d.Decide(start.Add(300*time.Millisecond), data(id, board, token, 1, 1))
	}
	now := start.Add(time.Second)
	for _, c := range d.TakeChecks() {
		d.RecordVerdict(now, c, director.Unreachable)
	}
	is.Equal(d.Decide(now, opening(99, 0)).Action, director.Forward)
}

// Flows of a removed target that was draining are reset at once. A target whose registration
// lapsed may still run, so its flows go on for a while.
func TestFlowsOfRemovedTargets(t *testing.T) {
	is := is.New(t)
	d := newDirector(3)
	left := target(1)
	left.Draining = true
	d.SetTarget(start, left)
	d.RemoveTarget(start, "t-1")
	is.Equal(d.Decide(start, data(1, board, tokenizer.Of(1), 1, 1)).Reason, director.ReasonTargetGone)

	d.RemoveTarget(start, "t-2")
	is.Equal(d.Decide(start, data(2, board, tokenizer.Of(2), 1, 1)).Reason, director.ReasonTargetLapsed)
	d.SetConfirmed(start.Add(afterLapseGrace))
	is.Equal(d.Decide(start.Add(afterLapseGrace), data(2, board, tokenizer.Of(2), 1, 1)).Reason, director.ReasonTargetGone)
	d.SetTarget(start.Add(afterLapseGrace), target(2)) // it was still running
	is.Equal(d.Decide(start.Add(afterLapseGrace), data(2, board, tokenizer.Of(2), 1, 1)).Reason, director.ReasonFlow)
}

// Load pattern: the registrations of a zone's targets lapse while callers wait for answers on
// their flows. A lapsed target is checked at once, and the verdict counts after its removal.
func TestLapsedTargetIsChecked(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := completeRequest(d, start)
	d.RemoveTarget(start, "t-1")
	checks := d.TakeChecks()
	is.Equal(len(checks), 1)
	now := start.Add(300 * time.Millisecond)
	d.RecordVerdict(now, checks[0], director.Unreachable)
	is.Equal(d.Decide(now, data(1, board, token, 100, 50)).Action, director.Reset)
	is.Equal(d.Decide(now, data(1, holds, token, 100, 50)).Reason, director.ReasonTargetLapsed)
}

// Load pattern: the store was down and all registrations lapsed. No target is removed before
// it had time to register again.
func TestOutageDelaysRemovals(t *testing.T) {
	is := is.New(t)
	d := newDirector(3)
	back := start.Add(2500 * time.Millisecond)
	d.SetOutage(back)
	for _, name := range []string{"t-1", "t-2", "t-3"} {
		d.RemoveTarget(start, name)
	}
	is.Equal(d.Decide(start, opening(1, 0)).Action, director.Forward)
	d.SetTarget(start.Add(time.Second), target(2))
	d.SetConfirmed(back)
	d.Tick(back)
	is.Equal(d.Targets(), 1)
	for n := range 50 {
		is.Equal(d.Decide(back, opening(100+n, 0)).Target.Name, "t-2")
	}
}

// Load pattern: a target starts in the middle of a busy day. All balancers together send it
// no more new flows per second than its ColdRate allows.
func TestColdTargetGetsItsShareOverAllBalancers(t *testing.T) {
	is := is.New(t)
	const balancers = 20
	const rate = 4 // ColdRate in the configuration
	fleet := make([]*director.Director, balancers)
	cold := target(4)
	cold.ColdFor = 3 * time.Second
	for i := range fleet {
		fleet[i] = director.New(uint64(i)*7919+1, "entry")
		fleet[i].SetConfiguration(configuration(1))
		fleet[i].SetBalancerCounts(balancers, balancers)
		for id := 1; id <= 3; id++ {
			fleet[i].SetTarget(start, target(id))
		}
		fleet[i].SetTarget(start, cold)
	}
	perSecond := make(map[int]int)
	for n := range 6000 { // 1,500 openings a second over 4 s
		now := start.Add(time.Duration(n) * 4 * time.Second / 6000)
		d := fleet[n%balancers].Decide(now, opening(n, 0))
		is.Equal(d.Action, director.Forward)
		if d.Target.Name == "t-4" {
			perSecond[int(now.Sub(start)/time.Second)]++
		}
	}
	for second := range 3 {
		is.True(perSecond[second] <= rate*3/2+5)
	}
	is.True(perSecond[3] > 250) // warm: a quarter of 1,500
}

// A verdict on a target that has restarted since, under the same name, is ignored.
func TestVerdictOnAnEarlierRunIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := completeRequest(d, start)
	sendUnansweredTwice(d, start.Add(time.Second), token)
	checks := d.TakeChecks()
	again := target(1)
	again.Started = 2
	d.SetTarget(start.Add(time.Second), again)
	is.Equal(len(d.RecordVerdict(start.Add(2*time.Second), checks[0], director.Unreachable)), 0)
	is.Equal(d.Decide(start.Add(2*time.Second), data(1, board, token, 200, 50)).Action, director.Forward)
}
