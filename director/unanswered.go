package director

import "time"

// followUpTimeout is how long a caller whose opening packet was answered may take to send its
// next packet. The round trip to the caller takes 6 ms, and the smallest VMs of our users run
// for only 6 ms in each 100 ms.
const followUpTimeout = 150 * time.Millisecond

// forwardedOpening is an opening packet that was forwarded, until followUpTimeout is over.
type forwardedOpening struct {
	key uint64
	at  time.Time
}

// checkUnansweredOpenings requests checks of targets whose opening packets were followed
// neither by the caller's next packet nor by a retransmission. Load pattern: several targets
// of a zone crash at once, and their hosts answer packets with resets. Callers then give up an
// opening without retransmitting it, try a new one and reach the same targets, so no balancer
// sees a failure until the registrations lapse.
func (d *Director) checkUnansweredOpenings(now time.Time) {
	n := 0
	for ; n < len(d.openings) && now.Sub(d.openings[n].at) >= followUpTimeout; n++ {
		f := d.flows.find(d.openings[n].key)
		if f == nil || f.pinned != 0 || !f.openingSentAt.Equal(d.openings[n].at) || f.lastSeen.After(f.openingSentAt) {
			continue
		}
		if m, ok := d.registered(now, f.openingToken); ok && !m.health.answeredSince(f.openingSentAt) {
			d.requestCheck(now, m)
		}
	}
	d.openings = d.openings[n:]
}
