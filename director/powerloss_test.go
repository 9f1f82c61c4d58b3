package director_test

import (
	"time"

	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
)

// powerLoss is the part of a flowHistory in which balancers lose power and start again, each
// with an empty socket and without any memory of the flow.
type powerLoss struct {
	// off holds the balancers without power, and starting those that have opened their socket
	// but have no view yet. Their packets wait in waiting.
	off, starting map[int]bool
	waiting       map[int][]*director.Packet
}

// losePower draws which balancers lose power together, if any: all of them, all but one, or
// some, such as those of a zone. They start again within 0.3 s of each other, and their first
// views arrive within a second.
func (h *flowHistory) losePower() {
	h.power = powerLoss{off: make(map[int]bool), starting: make(map[int]bool), waiting: make(map[int][]*director.Packet)}
	struck := rapid.SampledFrom([]string{"none", "some", "all but one", "all"}).Draw(h.t, "power lost by")
	if struck == "none" {
		return
	}
	spared := h.pick()
	at := h.drawUpTo("power lost at", 1000)
	back := at + h.drawUpTo("power back after", 1200)
	for i := range h.directors {
		if struck == "all but one" && i == spared || struck == "some" && rapid.Bool().Draw(h.t, "spared") {
			continue
		}
		opens := back + h.drawUpTo("socket opens after", 300)
		h.after(at, func() { h.power.off[i] = true })
		h.after(opens, func() { h.power.off[i], h.power.starting[i] = false, true })
		h.after(opens+h.drawUpTo("first view after", 1000), func() { h.finishStart(i) })
	}
}

func (h *flowHistory) drawUpTo(what string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(h.t, what)) * time.Millisecond
}

// finishStart gives a balancer its first view, and has it decide on the packets that waited.
func (h *flowHistory) finishStart(i int) {
	h.power.starting[i] = false
	h.directors[i] = h.newDirector()
	waiting := h.power.waiting[i]
	h.power.waiting[i] = nil
	for _, p := range waiting {
		h.decide(h.directors[i], p)
	}
}

// arrive passes a packet of the caller to a balancer.
func (h *flowHistory) arrive(i int, p *director.Packet) {
	switch {
	case h.power.off[i]:
	case h.power.starting[i]:
		h.power.waiting[i] = append(h.power.waiting[i], p)
	default:
		h.decide(h.directors[i], p)
	}
}
