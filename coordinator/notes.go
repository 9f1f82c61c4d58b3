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

// maxNotes is how many notes a balancer holds before it ignores all notes that
// peers send.
const maxNotes = 16384

// datedNote is the newest note on a target, and when the note was made. It is
// kept after it has ended, so that an older copy from a peer cannot replace it.
type datedNote struct {
	detector.Note
	since time.Time
}

// noteInForce reports whether a note calls for a restriction of its target. The
// note of a cold target ends with the cold-start ramp.
func (c *Coordinator) noteInForce(now time.Time, n datedNote) bool {
	if n.Condition == detector.Cold {
		return now.Sub(n.since) < c.rampOf(n.Target)
	}
	return n.Condition == detector.Down
}

// mergeNotes stores the notes of another balancer that are newer than those held.
func (c *Coordinator) mergeNotes(now time.Time, notes []detector.Note) {
	for _, n := range notes {
		held, known := c.notes[n.Target]
		if known && !n.Newer(held.Note) {
			continue
		}
		if c.acceptsNotesOf(n.Target) {
			c.storeNote(now, n)
		}
	}
}

// acceptsNotesOf reports whether notes of peers on a target are stored. A joining
// balancer accepts notes on any target, since it may not have the active plan
// yet.
func (c *Coordinator) acceptsNotesOf(target planner.TargetID) bool {
	if len(c.notes) >= maxNotes {
		return false
	}
	return c.detector.State() == detector.Joining || c.knowsTarget(target)
}

// knowsTarget reports whether a target is in the active or the prepared plan.
func (c *Coordinator) knowsTarget(target planner.TargetID) bool {
	for _, p := range [...]*planner.Plan{c.tracker.Active(), c.tracker.Prepared()} {
		if p != nil && p.Target(target) != nil {
			return true
		}
	}
	return false
}

// storeNote stores a note and applies it. The target's buckets become tracked
// even if the note only withdraws one that never reached this balancer: the
// balancers that received the withdrawn note track these buckets until they
// settle.
func (c *Coordinator) storeNote(now time.Time, n detector.Note) {
	held := datedNote{Note: n, since: now.Add(-time.Duration(n.AgeMilliseconds) * time.Millisecond)}
	c.notes[n.Target] = held
	c.applyNote(now, held)
	c.Count("target-"+n.Condition.String(), 1)
	c.Note("target changed", "target", c.targetName(n.Target), "condition", n.Condition.String(), "version", n.Version)
}

// applyNote makes the buckets of the note's target tracked. If the target is
// cold, it also starts the target's cold-start limit anew.
func (c *Coordinator) applyNote(now time.Time, n datedNote) {
	c.tracker.Track(now, n.Target)
	if n.Condition == detector.Cold && c.noteInForce(now, n) {
		c.tracker.SetFresh(n.Target, n.since)
		c.limiter.Stop(n.Target)
		c.limiter.Start(now, n.Target, c.rampOf(n.Target))
	}
}

// applyNotes applies all notes in force again, after Tracker.Adopt has rebuilt
// the state.
func (c *Coordinator) applyNotes(now time.Time) {
	for _, n := range c.notes {
		if c.noteInForce(now, n) {
			c.applyNote(now, n)
		}
	}
}

// dropStaleNotes drops the notes of targets that are in neither the active nor
// the prepared plan.
func (c *Coordinator) dropStaleNotes() {
	if c.detector.State() == detector.Joining {
		return
	}
	for id := range c.notes {
		if !c.knowsTarget(id) {
			delete(c.notes, id)
		}
	}
}

// rampOf returns the length of a target's cold-start ramp, or 0 if its service
// has none.
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

// currentNotes returns all notes with their present age, ordered by target. They
// are sent to balancers that may lack some.
func (c *Coordinator) currentNotes(now time.Time) []detector.Note {
	notes := make([]detector.Note, 0, len(c.notes))
	for _, n := range c.notes {
		note := n.Note
		note.AgeMilliseconds = uint32(min(now.Sub(n.since).Milliseconds(), math.MaxUint32))
		notes = append(notes, note)
	}
	slices.SortFunc(notes, func(a, b detector.Note) int { return cmp.Compare(a.Target, b.Target) })
	return notes
}

// appendNoteKeys appends the part of the notes that goes into the digest. Notes
// that have ended count too: a balancer that lacks one may not have tracked the
// buckets of its target.
func appendNoteKeys(key []byte, notes []detector.Note) []byte {
	for _, n := range notes {
		key = binary.BigEndian.AppendUint32(key, uint32(n.Target))
		key = binary.BigEndian.AppendUint64(key, uint64(n.StartedUnixMs))
		key = binary.BigEndian.AppendUint32(key, n.Version)
		key = append(key, byte(n.Condition))
	}
	return key
}

func digestOf(key []byte) uint32 { return uint32(xxhash.Sum64(key)) }

// openingHolds returns how openings are held back from each noted target. In each
// service, only the notes that assessor.Enforced returns hold openings back. A
// target that is still fresh keeps its limit after its note has ended.
func (c *Coordinator) openingHolds(now time.Time) map[planner.TargetID]tracker.Hold {
	all := make(map[planner.TargetID]tracker.Hold)
	byService := make(map[*planner.Service][]detector.Note)
	for id, n := range c.notes {
		service := c.serviceOf(id)
		if service == nil {
			continue
		}
		_, fresh := c.tracker.FreshSince(id)
		switch {
		case !c.noteInForce(now, n) && fresh:
			all[id] = tracker.HoldToLimit
		case !c.noteInForce(now, n):
		case c.tracker.Active().Target(id).TakesFlows():
			all[id] = tracker.NoHold
			byService[service] = append(byService[service], n.Note)
		default:
			all[id] = tracker.NoHold
		}
	}
	for service, notes := range byService {
		for _, n := range assessor.Enforced(len(service.Active()), notes) {
			all[n.Target] = holdFor(n.Condition)
		}
	}
	return all
}

// holdFor returns how openings are held back from a target whose note is
// enforced.
func holdFor(condition detector.Condition) tracker.Hold {
	if condition == detector.Down {
		return tracker.HoldAll
	}
	return tracker.HoldToLimit
}
