package director_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
)

// openAndUse opens a flow of caller 1 with a sequence number and returns the target of the
// caller's first request, which the target hasn't answered yet.
func openAndUse(d *director.Director, now time.Time, sequence uint32) *director.Target {
	p := opening(1, 0)
	p.Sequence = sequence
	token := d.Decide(now, p).Token
	return d.Decide(now, data(1, board, token, sequence+1, 1)).Target
}

// A caller uses a port again within seconds. What the balancer knows of the earlier flow must
// not lead packets of the new one to the earlier flow's target.
func TestPortThatIsUsedAgainBeginsAnotherFlow(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	first := openAndUse(d, start, 1000)
	leaving := *first
	leaving.Draining = true
	d.SetTarget(start, leaving)
	d.RemoveTarget(start, leaving.Name)
	now := start.Add(time.Second)
	second := openAndUse(d, now, 900_000_000)
	is.True(second != nil) // a reset of the new flow for the sake of the old target
	is.True(second.Name != first.Name)
	is.Equal(d.TrackedFlows(), 1)
	// A repeated opening packet still goes to the flow's target.
	repeated := opening(1, 1)
	repeated.Sequence = 900_000_000
	is.Equal(d.Decide(now, repeated).Target.Name, second.Name)
}

// The same on a balancer that saw only data of the earlier flow.
func TestPortThatIsUsedAgainBeginsAnotherFlowOnAnyBalancer(t *testing.T) {
	is := is.New(t)
	opener, d := newDirector(6), newDirector(6)
	p := opening(1, 0)
	p.Sequence = 1000
	first := opener.Decide(start, p)
	d.Decide(start, data(1, board, first.Token, 1001, 1))
	p.Retransmissions = 1
	is.Equal(d.Decide(start, p).Target.Name, first.Target.Name) // the flow's own opening, late
	leaving := *first.Target
	leaving.Draining = true
	d.SetTarget(start, leaving)
	d.RemoveTarget(start, leaving.Name)
	second := openAndUse(d, start.Add(time.Second), 900_000_000)
	is.True(second != nil)
	is.True(second.Name != first.Target.Name)
}
