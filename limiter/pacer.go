package limiter

import "time"

// Pacer limits events to an equal part of a rate that a group of balancers shares
// without exchanging what each has used. Each balancer spaces its grants evenly,
// never grants more than one at a time, and delays its first grant by a time that
// differs between balancers. In any second the sum over all balancers therefore stays
// within the rate, plus or minus one, also when balancers die or join. The part that
// a balancer doesn't use is lost. The zero Pacer has granted nothing.
type Pacer struct {
	// next is the earliest time of the next grant; zero before the first call of Take.
	next time.Time
}

// Take reports whether one more event is granted now. rate is the number of grants
// per second of the whole group, and holders the number of balancers that share it.
// phase, from 0 to 1, delays the first grant by that fraction of the interval between
// two grants of this balancer.
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
