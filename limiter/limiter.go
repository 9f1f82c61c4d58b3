// Package limiter says how many flows a freshly started target may hold.
//
// The operators name how many open flows a fresh target may hold and how long
// its ramp lasts. The limit grows linearly over the ramp. It is split evenly over
// the balancers of the group, each of which counts its own flows only, so that
// the sum never exceeds it, however many of them are alive.
//
// # Usage
//
//	l := limiter.New(13)
//	if l.Admits(service.ColdStart(), age, open) {
//		…
//	}
package limiter

import (
	"time"

	"trefoilspring.example/trefoilspring/operator"
)

// rampFactor is how many times the first limit is reached at the end of a ramp.
const rampFactor = 100

// Limiter splits limits over the balancers of a group.
type Limiter struct {
	balancers int
}

// New returns a Limiter for a group of that many balancers, at least 1.
func New(balancers int) *Limiter {
	return &Limiter{balancers: max(balancers, 1)}
}

// Admits reports whether a target which has taken flows for the time age, and
// holds open flows of this balancer, may hold one more.
func (l *Limiter) Admits(c operator.ColdStart, age time.Duration, open int) bool {
	if l.Ended(c, age) {
		return true
	}
	return (open+1)*l.balancers <= limit(c, age)
}

// Ended reports whether the ramp is over.
func (l *Limiter) Ended(c operator.ColdStart, age time.Duration) bool {
	return c.Flows == 0 || age >= time.Duration(c.Ramp)
}

func limit(c operator.ColdStart, age time.Duration) int {
	grown := float64(c.Flows) * (rampFactor - 1) * float64(age) / float64(c.Ramp)
	return c.Flows + int(grown)
}
