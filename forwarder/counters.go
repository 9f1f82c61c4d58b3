package forwarder

import (
	"expvar"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/tracker"
)

// Counters counts packets by outcome. All forwarders of a balancer share one Counters.
type Counters struct {
	received        expvar.Int
	forwarded       expvar.Int
	sentToPeer      expvar.Int
	unknownSource   expvar.Int
	oversize        expvar.Int
	wrongHops       expvar.Int
	noAddress       expvar.Int
	refusalsNotSent expvar.Int
	unsent          expvar.Int
	// rejected counts invalid packets. dropped and refused count the packets that the
	// tracker decided to drop or to refuse.
	rejected map[parser.Reason]*expvar.Int
	dropped  map[tracker.Reason]*expvar.Int
	refused  map[tracker.Reason]*expvar.Int
}

// NewCounters returns counters that are published in vars, under names in kebab case.
func NewCounters(vars *expvar.Map) *Counters {
	c := &Counters{
		rejected: make(map[parser.Reason]*expvar.Int),
		dropped:  make(map[tracker.Reason]*expvar.Int),
		refused:  make(map[tracker.Reason]*expvar.Int),
	}
	vars.Set("packets-received", &c.received)
	vars.Set("packets-forwarded", &c.forwarded)
	vars.Set("packets-handed-on", &c.sentToPeer)
	vars.Set("packets-unsent", &c.unsent)
	vars.Set("dropped-stranger", &c.unknownSource)
	vars.Set("dropped-oversize", &c.oversize)
	vars.Set("dropped-wrong-hops", &c.wrongHops)
	vars.Set("dropped-no-address", &c.noAddress)
	vars.Set("dropped-refusal-rate", &c.refusalsNotSent)
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
