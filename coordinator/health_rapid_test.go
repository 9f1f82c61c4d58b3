package coordinator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
)

// faultTime is how long a balancer stays frozen.
const faultTime = 8 * time.Second

// misroutedPackets sends one packet of each flow through each running balancer,
// and counts those that reach a target other than the one the flow opened on. A
// packet that reaches no target is not counted, since its sender retransmits it.
func (cl *cluster) misroutedPackets(opened map[uint64]planner.TargetID) int {
	n := 0
	for flow, target := range opened {
		for at := range cl.coordinators {
			if cl.frozen[at] {
				continue
			}
			if reached := cl.send(at, flow, parser.FlowContinues); reached != 0 && reached != target {
				n++
			}
		}
	}
	return n
}

// Random targets are reported down, rightly or wrongly, recover, and restart
// cold, while one balancer at a time is frozen or cut off. No established flow
// may change its target.
func TestSuspicionsAndFaultsMisrouteNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const balancers = 4
		cl := newCluster(balancers)
		flows := make(map[uint64]planner.TargetID)
		for step := range rapid.IntRange(3, 7).Draw(t, "steps") {
			id := planner.NewTargetID(targetName(rapid.IntRange(0, probedTargets-1).Draw(t, "target")))
			at := rapid.IntRange(0, balancers-1).Draw(t, "balancer")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				cl.down[id] = !cl.down[id]
			case 2:
				cl.started[id] = cl.now
			case 3:
				cl.frozen[at] = true
				cl.run(faultTime)
				cl.frozen[at] = false
				if n := cl.misroutedPackets(flows); n > 0 {
					t.Fatalf("%d packets were misrouted after a frozen balancer resumed in step %d", n, step)
				}
			case 4:
				cl.cut[at] = true
				cl.run(time.Second)
				cl.cut[at] = false
			}
			for part := range 4 {
				cl.run(detector.HeartbeatInterval * 2)
				for flow, target := range cl.open(uint64(step*4+part+1)*100_000, 24) {
					if target != 0 {
						flows[flow] = target
					}
				}
				if n := cl.misroutedPackets(flows); n > 0 {
					t.Fatalf("%d packets were misrouted in step %d", n, step)
				}
			}
		}
	})
}
