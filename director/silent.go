package director

import "time"

// answerWait is how long a caller whose opening was answered may take to send the next
// packet: the way to it and back takes 6 ms, and the smallest VMs of our users run for
// 6 ms in each 100 ms.
const answerWait = 150 * time.Millisecond

// opened is a flow whose opening was forwarded, until it is known what came of it.
type opened struct {
	key uint64
	at  time.Time
}

// doubtSilent has targets checked whose openings were followed by nothing: neither by
// the caller's next packet nor by a copy. Load pattern: several targets of a zone crash
// at once and their hosts reset what comes. Callers give an opening up then without a
// copy, come back with a new one and meet the same targets, so that no balancer sees
// anything fail until the registrations lapse.
func (d *Director) doubtSilent(now time.Time) {
	n := 0
	for ; n < len(d.opened) && now.Sub(d.opened[n].at) >= answerWait; n++ {
		f := d.flows.find(d.opened[n].key)
		if f == nil || f.settled != 0 || !f.openedAt.Equal(d.opened[n].at) || f.seen.After(f.openedAt) {
			continue
		}
		if m, ok := d.tokens.Find(f.last); ok && !m.evidence.answeredSince(f.openedAt) {
			d.doubt(now, m)
		}
	}
	d.opened = d.opened[n:]
}
