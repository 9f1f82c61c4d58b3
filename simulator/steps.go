package simulator

import (
	"time"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
)

// applyStep carries out one step of a trace.
func (r *Run) applyStep(s Step) {
	switch s.Kind {
	case Die:
		r.stop(r.nodes[s.Balancer])
	case Restart:
		r.restart(r.nodes[s.Balancer], s.Duration)
	case Join:
		r.join()
	case Freeze:
		r.freeze(r.nodes[s.Balancer], s.Duration)
	case CutOneWay:
		r.cut(s.Duration, func(from, to int) bool { return from == s.Balancer && to == s.Peer })
	case CutHalf:
		half := len(r.nodes) / 2
		r.cut(s.Duration, func(from, to int) bool { return (from < half) != (to < half) })
	case DelayDocuments:
		for i, n := range r.nodes {
			if i%2 == 0 {
				n.documentsHeldUntil = r.now.Add(s.Duration)
			}
		}
	case PlatformDown:
		for _, n := range r.nodes[1:] {
			n.documentsHeldUntil = r.now.Add(s.Duration)
		}
	case DrainAndUndrain:
		r.changeDocument(Step{Kind: Drain, Target: s.Target})
		r.schedule(2*time.Second, func() { r.changeDocument(Step{Kind: Undrain, Target: s.Target}) })
	default:
		r.changeDocument(s)
	}
}

// changeDocument makes the planned change of a step and publishes the changed
// document.
func (r *Run) changeDocument(s Step) {
	d := r.history.copyLatestDocument()
	name := targetName(s.Target)
	target := d.Targets[name]
	switch s.Kind {
	case Drain:
		target.State = operator.TargetDraining
	case Undrain:
		target.State = operator.TargetActive
	case ChangeWeight:
		target.Weight++
	case AddTarget:
		name = targetName(r.history.nextTarget)
		target = newTarget(measuredService, r.history.nextTarget)
		r.history.nextTarget++
	case ReturnTarget:
		target = newTarget(measuredService, s.Target)
	case ZoneOut:
		d.AvailabilityZones[zoneName(0)] = operator.AvailabilityZone{State: operator.ZoneOut}
	case ZoneIn:
		d.AvailabilityZones[zoneName(0)] = operator.AvailabilityZone{State: operator.ZoneIn}
	default:
	}
	if s.Kind == RemoveDeadTarget {
		delete(d.Targets, name)
		r.history.removedAt[planner.NewTargetID(name)] = r.now
	} else if target.Service != "" {
		d.Targets[name] = target
	}
	r.history.append(r.now, d)
	r.meter.changeTimes = append(r.meter.changeTimes, r.now)
	r.publish(false)
}

// publish sends the latest document to each balancer, at once or after a random
// delay.
func (r *Run) publish(atOnce bool) {
	for _, n := range r.nodes {
		delay := time.Duration(r.random.Int64N(int64(maxDocumentDelay)))
		if atOnce {
			delay = 0
		}
		r.offerDocument(n, r.history.latestRecord(), max(delay, n.documentsHeldUntil.Sub(r.now)))
	}
}

// stop ends a balancer.
func (r *Run) stop(n *node) {
	n.alive = false
	n.incarnation++
	n.silentSince = r.now
}

// restart ends a balancer if it is alive, and starts it without state after a
// delay.
func (r *Run) restart(n *node, delay time.Duration) {
	if n.alive {
		r.stop(n)
	}
	r.schedule(delay, func() {
		r.resetNode(n)
		r.startHeartbeats(n)
		r.offerDocument(n, r.history.latestRecord(), max(time.Duration(r.random.Int64N(int64(maxDocumentDelay))), n.documentsHeldUntil.Sub(r.now)))
	})
}

// join adds a balancer. Its documents are held as long as those of the last
// balancer.
func (r *Run) join() {
	heldUntil := r.nodes[len(r.nodes)-1].documentsHeldUntil
	r.addNode(len(r.nodes))
	n := r.nodes[len(r.nodes)-1]
	n.documentsHeldUntil = heldUntil
	r.startHeartbeats(n)
	r.offerDocument(n, r.history.latestRecord(), max(time.Duration(r.random.Int64N(int64(maxDocumentDelay))), n.documentsHeldUntil.Sub(r.now)))
}

// freeze suspends a balancer for a time.
func (r *Run) freeze(n *node, d time.Duration) {
	incarnation := n.incarnation
	n.frozen = true
	n.silentSince = r.now
	r.schedule(d, func() {
		if n.incarnation == incarnation {
			r.thaw(n)
		}
	})
}

// thaw lets a frozen balancer process its queued packets and messages. Whether the
// packets or the messages come first is random.
func (r *Run) thaw(n *node) {
	n.frozen = false
	packets, messages := n.queuedPackets, n.queuedMessages
	n.queuedPackets, n.queuedMessages = nil, nil
	if r.random.IntN(2) == 0 {
		r.handlePackets(n, packets)
		packets = nil
	}
	for _, m := range messages {
		n.decider.Receive(r.now, r.nodes[m.from].id, m.body)
	}
	r.handlePackets(n, packets)
	for _, report := range n.onThaw {
		report()
	}
	n.onThaw = nil
}

// handlePackets lets a balancer decide on queued packets.
func (r *Run) handlePackets(n *node, packets []packet) {
	for _, p := range packets {
		r.handlePacket(n, p)
	}
}

// cut cuts the affected paths between balancers. When d has passed, all paths work
// again.
func (r *Run) cut(d time.Duration, affected func(from, to int) bool) {
	for from := range r.nodes {
		for to := range r.nodes {
			if affected(from, to) {
				r.cuts[[2]int{from, to}] = true
			}
		}
	}
	r.schedule(d, func() { clear(r.cuts) })
}
