package director_test

import (
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
)

// admissionHistory is the part of a flowHistory in which balancers turn flows away.
type admissionHistory struct {
	// reset reports whether the opening of the flow was answered with a reset.
	reset bool
	// duplicated reports whether the first copy came twice.
	duplicated bool
}

// limitAdmission draws whether a balancer turns flows away, knows an earlier flow of the same port,
// or has no room to track a flow.
func (h *flowHistory) limitAdmission(d *director.Director) {
	now := start.Add(h.now)
	if rapid.IntRange(0, 2).Draw(h.t, "limited") > 0 {
		const before = 5 * time.Second
		offer(d, offer(d, now.Add(-before), 3, 600, 0, 5), 2, 9000, 0, 120)
		for second := range 4 {
			h.after(time.Duration(second)*time.Second, func() { offer(d, start.Add(h.now-time.Second), 1, 9000, 0.75, 90) })
		}
	}
	switch rapid.IntRange(0, 9).Draw(h.t, "earlier flows") {
	case 0, 1:
		d.Decide(now, &director.Packet{Source: h.source, Destination: board, Opening: true, Sequence: callerISN - 5000})
	case 2:
		h.fillTable(d, now)
	}
}

// fillTable makes a balancer track as many flows as it can, for as long as nothing follows.
func (h *flowHistory) fillTable(d *director.Director, now time.Time) {
	p := director.Packet{Destination: board, Opening: true}
	for n := 0; ; n++ {
		p.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), 40000)
		before := d.TrackedFlows()
		if d.Decide(now, &p); d.TrackedFlows() == before {
			return
		}
	}
}

// checkAdmission fails the test if a flow is reset that has reached a target, or reaches one after
// it was reset. The first copy may come twice to a balancer.
func (h *flowHistory) checkAdmission(d *director.Director, p *director.Packet, decision director.Decision) {
	if !p.Opening {
		return
	}
	switch decision.Action {
	case director.Reset:
		if len(h.echoes) > 0 {
			h.t.Fatalf("copy %d of an opening that reached a target was reset: %s", p.Retransmissions, decision.Reason)
		}
		h.admission.reset = true
	case director.Forward:
		if h.admission.reset {
			h.t.Fatalf("copy %d of an opening that was reset reached a target: %s", p.Retransmissions, decision.Reason)
		}
	case director.Drop:
	}
	if p.Retransmissions == 0 && !h.admission.duplicated && rapid.IntRange(0, 4).Draw(h.t, "first copy twice") == 0 {
		h.admission.duplicated = true
		h.after(h.drawUpTo("second arrival after", 300), func() {
			for i, current := range h.directors {
				if current == d && !h.power.off[i] && !h.power.starting[i] {
					h.decide(d, p)
				}
			}
		})
	}
}
