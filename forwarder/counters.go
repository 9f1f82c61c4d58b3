package forwarder

import (
	"expvar"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/tracker"
)

// Counters counts packets by what became of them. All forwarders of a balancer
// share one.
type Counters struct {
	received     expvar.Int
	forwarded    expvar.Int
	handedOn     expvar.Int
	stranger     expvar.Int
	oversize     expvar.Int
	wrongHops    expvar.Int
	noAddress    expvar.Int
	refusalsHeld expvar.Int
	unsent       expvar.Int
	rejected     map[parser.Reason]*expvar.Int
	dropped      map[tracker.Reason]*expvar.Int
	refused      map[tracker.Reason]*expvar.Int
}

// NewCounters returns counters that show in the map, in kebab case.
func NewCounters(vars *expvar.Map) *Counters {
	c := &Counters{
		rejected: make(map[parser.Reason]*expvar.Int),
		dropped:  make(map[tracker.Reason]*expvar.Int),
		refused:  make(map[tracker.Reason]*expvar.Int),
	}
	vars.Set("packets-received", &c.received)
	vars.Set("packets-forwarded", &c.forwarded)
	vars.Set("packets-handed-on", &c.handedOn)
	vars.Set("packets-unsent", &c.unsent)
	vars.Set("dropped-stranger", &c.stranger)
	vars.Set("dropped-oversize", &c.oversize)
	vars.Set("dropped-wrong-hops", &c.wrongHops)
	vars.Set("dropped-no-address", &c.noAddress)
	vars.Set("dropped-refusal-rate", &c.refusalsHeld)
	for _, r := range parser.Reasons() {
		c.rejected[r] = new(expvar.Int)
		vars.Set("dropped-"+r.String(), c.rejected[r])
	}
	c.dropped[tracker.NoReason] = new(expvar.Int)
	vars.Set("dropped-undecided", c.dropped[tracker.NoReason])
	for _, r := range tracker.Reasons() {
		c.dropped[r] = new(expvar.Int)
		vars.Set("dropped-"+r.String(), c.dropped[r])
		c.refused[r] = new(expvar.Int)
		vars.Set("refused-"+r.String(), c.refused[r])
	}
	return c
}
