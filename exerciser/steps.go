package exerciser

import (
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// apply does one step of a trace.
func (r *Run) apply(s Step) {
	switch s.Kind {
	case Die:
		r.end(r.nodes[s.Balancer])
	case Restart:
		r.restart(r.nodes[s.Balancer], s.For)
	case Join:
		r.join()
	case Freeze:
		r.freeze(r.nodes[s.Balancer], s.For)
	case CutPath:
		r.cut(s.For, func(from, to int) bool { return from == s.Balancer && to == s.Other })
	case CutHalf:
		half := len(r.nodes) / 2
		r.cut(s.For, func(from, to int) bool { return (from < half) != (to < half) })
	case Lag:
		for i, n := range r.nodes {
			if i%2 == 0 {
				n.late = r.now.Add(s.For)
			}
		}
	case PlatformDown:
		for _, n := range r.nodes[1:] {
			n.late = r.now.Add(s.For)
		}
	case ThereAndBack:
		r.alter(Step{Kind: Drain, Target: s.Target})
		r.after(2*time.Second, func() { r.alter(Step{Kind: Undrain, Target: s.Target}) })
	default:
		r.alter(s)
	}
}

// alter accepts a changed document.
func (r *Run) alter(s Step) {
	d := r.plans.change()
	name := targetName(s.Target)
	target := d.Targets[name]
	switch s.Kind {
	case Drain:
		target.State = operator.TargetDraining
	case Undrain:
		target.State = operator.TargetActive
	case Weigh:
		target.Weight++
	case Add:
		name = targetName(r.plans.targets)
		target = targetOf(measuredService, r.plans.targets)
		r.plans.targets++
	case Return:
		target = targetOf(measuredService, s.Target)
	case ZoneOut:
		d.AvailabilityZones[zoneName(0)] = operator.AvailabilityZone{State: operator.ZoneOut}
	case ZoneIn:
		d.AvailabilityZones[zoneName(0)] = operator.AvailabilityZone{State: operator.ZoneIn}
	default:
	}
	if s.Kind == Remove {
		delete(d.Targets, name)
		r.plans.died[planner.NewTargetID(name)] = r.now
	} else if target.Service != "" {
		d.Targets[name] = target
	}
	r.plans.append(r.now, d)
	r.meter.changed = append(r.meter.changed, r.now)
	r.publish(false)
}

// publish lets the latest document reach each balancer after a random delay.
func (r *Run) publish(atOnce bool) {
	for _, n := range r.nodes {
		delay := time.Duration(r.random.Int64N(int64(maxDelay)))
		if atOnce {
			delay = 0
		}
		r.offer(n, r.plans.newest(), max(delay, n.late.Sub(r.now)))
	}
}

func (r *Run) end(n *node) {
	n.alive = false
	n.life++
	n.ended = r.now
}

func (r *Run) restart(n *node, after time.Duration) {
	if n.alive {
		r.end(n)
	}
	r.after(after, func() {
		r.renew(n)
		r.boot(n)
		r.offer(n, r.plans.newest(), max(time.Duration(r.random.Int64N(int64(maxDelay))), n.late.Sub(r.now)))
	})
}

func (r *Run) join() {
	late := r.nodes[len(r.nodes)-1].late
	r.addNode(len(r.nodes))
	n := r.nodes[len(r.nodes)-1]
	n.late = late
	r.boot(n)
	r.offer(n, r.plans.newest(), max(time.Duration(r.random.Int64N(int64(maxDelay))), n.late.Sub(r.now)))
}

func (r *Run) freeze(n *node, d time.Duration) {
	life := n.life
	n.frozen = true
	n.ended = r.now
	r.after(d, func() {
		if n.life == life {
			r.wake(n)
		}
	})
}

// wake processes what has waited: packets and messages in either order.
func (r *Run) wake(n *node) {
	n.frozen = false
	packets, messages := n.packets, n.messages
	n.packets, n.messages = nil, nil
	if r.random.IntN(2) == 0 {
		r.handleLate(n, packets)
		packets = nil
	}
	for _, m := range messages {
		n.decider.Receive(r.now, r.nodes[m.from].id, m.body)
	}
	r.handleLate(n, packets)
	for _, tell := range n.onWake {
		tell()
	}
	n.onWake = nil
}

func (r *Run) handleLate(n *node, packets []packet) {
	for _, p := range packets {
		r.handle(n, p)
	}
}

func (r *Run) cut(d time.Duration, affected func(from, to int) bool) {
	for from := range r.nodes {
		for to := range r.nodes {
			if affected(from, to) {
				r.cuts[[2]int{from, to}] = true
			}
		}
	}
	r.after(d, func() { clear(r.cuts) })
}
