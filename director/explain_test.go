package director_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
)

// Explain returns the decision that Decide then makes, and changes nothing.
func TestExplainMatchesDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirector(rapid.IntRange(0, 12).Draw(t, "targets"))
		if rapid.Bool().Draw(t, "out") {
			d.SetZoneOut("b", true)
		}
		to := rapid.SampledFrom([]netip.AddrPort{board, holds, cards}).Draw(t, "route")
		p := opening(rapid.IntRange(0, 1000).Draw(t, "caller"), 0)
		p.Destination = to
		e := d.Explain(start, p)
		if d.TrackedFlows() != 0 {
			t.Fatal("Explain added a tracked flow")
		}
		got := d.Decide(start, p)
		if e.Opening.Action != got.Action || e.Opening.Reason != got.Reason || e.Opening.Token != got.Token {
			t.Fatalf("explained %+v, decided %+v", e.Opening, got)
		}
		if got.Action == director.Forward {
			later := *p
			later.Opening, later.Token = false, got.Token
			if next := d.Decide(start, &later); next.Reason != e.Established.Reason || next.Target.Name != e.Established.Target.Name {
				t.Fatalf("explained %+v, decided %+v", e.Established, next)
			}
		}
	})
}

func TestExplainFlowOfAnUnreachableTarget(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	token := completeRequest(d, start)
	now := start.Add(time.Second)
	sendUnansweredTwice(d, now, token)
	d.RecordVerdict(now, d.TakeChecks()[0], director.Unreachable)
	e := d.Explain(now, opening(1, 0))
	is.True(e.Tracked)
	is.Equal(e.Established.Reason, director.ReasonTargetUnreachable)
	is.Equal(d.HealthSummary(now).UnreachableTargets, []string{"t-1"})
	unknown := opening(1, 0)
	unknown.Destination = netip.MustParseAddrPort("198.18.9.9:1")
	is.Equal(d.Explain(now, unknown).Opening.Reason, director.ReasonUnknownRoute)
	d.Decide(now, unknown)
	d.SetConfirmed(now.Add(time.Second))
	is.Equal(d.Explain(now.Add(time.Second), unknown).Opening.Reason, director.ReasonNoRoute)
}

// Guards against an explanation that names a cold target which has got its share of new flows.
func TestExplainAppliesColdLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirector(rapid.IntRange(0, 1).Draw(t, "ready"))
		for id := range rapid.IntRange(1, 10).Draw(t, "cold") {
			cold := target(10 + id)
			cold.ColdFor = time.Minute
			d.SetTarget(start, cold)
		}
		d.SetZoneOut("b", rapid.Bool().Draw(t, "out"))
		now := start
		for n := range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			e := d.Explain(now, opening(n, 0))
			got := d.Decide(now, opening(n, 0))
			if e.Opening.Action != got.Action || e.Opening.Reason != got.Reason || e.Opening.Token != got.Token {
				t.Fatalf("explained %+v, decided %+v", e.Opening, got)
			}
			if e.Cold.Rate != 4 || e.Cold.Balancers != 1 || e.Cold.Target != (got.Target != nil && got.Target.ColdFor > 0) {
				t.Fatalf("limits %+v, decided %+v", e.Cold, got)
			}
		}
	})
}
