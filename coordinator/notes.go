package coordinator

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// maxHeldNotes bounds the notes that peers can make a balancer hold.
const maxHeldNotes = 16384

// heldNote is the newest note of a target. It is kept after its end, so that an
// older copy of it does not come back.
type heldNote struct {
	detector.Note
	since time.Time
}

// applies reports whether a note is in force: one of a cold target ends with its
// ramp.
func (c *Coordinator) applies(now time.Time, n heldNote) bool {
	if n.Condition == detector.Cold {
		return now.Sub(n.since) < c.rampOf(n.Target)
	}
	return n.Condition == detector.Down
}

// takeNotes takes the notes of another balancer.
func (c *Coordinator) takeNotes(now time.Time, notes []detector.Note) {
	for _, n := range notes {
		held, known := c.notes[n.Target]
		if known && !n.Newer(held.Note) {
			continue
		}
		if c.mayHold(n.Target) {
			c.hold(now, n)
		}
	}
}

func (c *Coordinator) mayHold(target planner.TargetID) bool {
	if len(c.notes) >= maxHeldNotes {
		return false
	}
	return c.detector.State() == detector.Joining || c.knowsTarget(target)
}

func (c *Coordinator) knowsTarget(target planner.TargetID) bool {
	for _, p := range [...]*planner.Plan{c.tracker.Active(), c.tracker.Prepared()} {
		if p != nil && p.Target(target) != nil {
			return true
		}
	}
	return false
}

// hold puts a note in force here. Even one that takes back a note which never
// came here makes the buckets tracked: others hold them so until they settle.
func (c *Coordinator) hold(now time.Time, n detector.Note) {
	held := heldNote{Note: n, since: now.Add(-time.Duration(n.AgeMilliseconds) * time.Millisecond)}
	c.notes[n.Target] = held
	c.enforce(now, held)
	c.Count("target-"+n.Condition.String(), 1)
	c.Note("target changed", "target", c.targetName(n.Target), "condition", n.Condition.String(), "version", n.Version)
}

func (c *Coordinator) enforce(now time.Time, n heldNote) {
	c.tracker.Track(now, n.Target)
	if n.Condition == detector.Cold && c.applies(now, n) {
		c.tracker.SetFresh(n.Target, n.since)
		c.limiter.Stop(n.Target)
		c.limiter.Start(now, n.Target, c.rampOf(n.Target))
	}
}

// enforceNotes puts all notes in force once more, after the tracker's state was
// rebuilt.
func (c *Coordinator) enforceNotes(now time.Time) {
	for _, n := range c.notes {
		if c.applies(now, n) {
			c.enforce(now, n)
		}
	}
}

// forgetNotes forgets the notes of targets that are gone.
func (c *Coordinator) forgetNotes() {
	if c.detector.State() == detector.Joining {
		return
	}
	for id := range c.notes {
		if !c.knowsTarget(id) {
			delete(c.notes, id)
		}
	}
}

func (c *Coordinator) rampOf(target planner.TargetID) time.Duration {
	service := c.serviceOf(target)
	if service == nil || service.ColdStart().Flows == 0 {
		return 0
	}
	return time.Duration(service.ColdStart().Ramp)
}

func (c *Coordinator) serviceOf(target planner.TargetID) *planner.Service {
	active := c.tracker.Active()
	if active == nil || active.Target(target) == nil {
		return nil
	}
	return active.ServiceByID(active.Target(target).Service())
}

func (c *Coordinator) targetName(target planner.TargetID) string {
	if active := c.tracker.Active(); active != nil && active.Target(target) != nil {
		return active.Target(target).Name()
	}
	return "unknown"
}

// spread returns all notes, to send to balancers that may lack some, in order.
func (c *Coordinator) spread(now time.Time) []detector.Note {
	notes := make([]detector.Note, 0, len(c.notes))
	for _, n := range c.notes {
		note := n.Note
		note.AgeMilliseconds = uint32(min(now.Sub(n.since).Milliseconds(), math.MaxUint32))
		notes = append(notes, note)
	}
	slices.SortFunc(notes, func(a, b detector.Note) int { return cmp.Compare(a.Target, b.Target) })
	return notes
}

// appendNotes appends what the digest says of the notes. Those that have ended
// count too: whoever lacks one may not have tracked its buckets.
func appendNotes(key []byte, notes []detector.Note) []byte {
	for _, n := range notes {
		key = binary.BigEndian.AppendUint32(key, uint32(n.Target))
		key = binary.BigEndian.AppendUint64(key, uint64(n.StartedUnixMs))
		key = binary.BigEndian.AppendUint32(key, n.Version)
		key = append(key, byte(n.Condition))
	}
	return key
}

func digestOf(key []byte) uint32 { return uint32(xxhash.Sum64(key)) }

// holds returns how the noted targets' openings are held back, within the bounds
// of each service. One that is still within a ramp keeps its limit.
func (c *Coordinator) holds(now time.Time) map[planner.TargetID]tracker.Hold {
	all := make(map[planner.TargetID]tracker.Hold)
	byService := make(map[*planner.Service][]detector.Note)
	for id, n := range c.notes {
		service := c.serviceOf(id)
		if service == nil {
			continue
		}
		_, fresh := c.tracker.FreshSince(id)
		switch {
		case !c.applies(now, n) && fresh:
			all[id] = tracker.HoldToLimit
		case !c.applies(now, n):
		case c.tracker.Active().Target(id).TakesFlows():
			all[id] = tracker.NoHold
			byService[service] = append(byService[service], n.Note)
		default:
			all[id] = tracker.NoHold
		}
	}
	for service, notes := range byService {
		for _, n := range assessor.Effective(len(service.Active()), notes) {
			all[n.Target] = holdOf(n.Condition)
		}
	}
	return all
}

func holdOf(condition detector.Condition) tracker.Hold {
	if condition == detector.Down {
		return tracker.HoldAll
	}
	return tracker.HoldToLimit
}
