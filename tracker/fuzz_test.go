package tracker_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// FuzzAdopt adopts every snapshot that decodes. Packets must then be forwarded only to
// targets of the plan.
func FuzzAdopt(f *testing.F) {
	source := newGroup(3, planner.New(1, documentOf(nil)))
	source.prepare(planner.New(2, documentOf(map[int]bool{3: true})))
	source.open(1)
	small := source.trackers[0].Snapshot(source.now)
	for i := range small.Services {
		small.Services[i].Records = small.Services[i].Records[:min(3, len(small.Services[i].Records))]
		small.Services[i].Buckets = small.Services[i].Buckets[:3]
	}
	encoded, err := cbor.Marshal(small)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte{0xa0})
	plan := planner.New(1, documentOf(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		var snapshot tracker.Snapshot
		if cbor.Unmarshal(data, &snapshot) != nil {
			return
		}
		g := newGroup(1, plan)
		g.trackers[0].Adopt(g.now, plan, []tracker.Snapshot{snapshot})
		g.trackers[0].Expire(g.now)
		g.trackers[0].RebaseRequests(g.now)
		for flow := range uint64(64) {
			target := g.send(0, flow, parser.FlowContinues)
			if target != 0 && plan.Target(target) == nil {
				t.Fatalf("flow %d went to target %d, which is not in the plan", flow, target)
			}
		}
	})
}
