package limiter

import "time"

// Pacer grants a fixed part of a rate, for groups of balancers that share a rate
// without telling each other what they use. Each holder has the same part, and
// grants it evenly: never more than one at a time, and the first only after a
// delay that differs between the holders. So the sum over all holders stays
// within the rate in any second, give or take one, whoever dies or joins, and
// what a holder doesn't use is lost. The zero Pacer has granted nothing.
type Pacer struct {
	next time.Time
}

// Take reports whether one more is granted now. The rate is in grants a second
// over all holders; phase, from 0 to 1, places the first grant.
func (p *Pacer) Take(now time.Time, rate float64, holders int, phase float64) bool {
	interval := time.Duration(float64(holders) / rate * float64(time.Second))
	if p.next.IsZero() {
		p.next = now.Add(time.Duration(phase * float64(interval)))
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(interval)
	return true
}
