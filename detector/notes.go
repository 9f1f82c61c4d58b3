package detector

import (
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// maxNotes bounds the notes of one message, so that it fits one datagram.
const maxNotes = 16

// golden spreads counts evenly over 32 bits.
const golden = 0x9e3779b1

// Condition is what a note says of a target.
type Condition uint8

// The conditions. A note of a serving target takes back an earlier one.
const (
	Serving Condition = iota
	Down
	Cold
)

func (c Condition) String() string {
	switch c {
	case Down:
		return "down"
	case Cold:
		return "cold"
	default:
		return "serving"
	}
}

// Note says that a target is not as its table line has it.
type Note struct {
	_      struct{} `cbor:",toarray"`
	Target planner.TargetID
	// StartedUnixMs is the target's start time, which tells its incarnations apart.
	StartedUnixMs int64
	// Version counts the notes of a target up.
	Version   uint32
	Condition Condition
	// AgeMilliseconds is how long ago the note was made, when it was sent.
	AgeMilliseconds uint32
}

// Newer reports whether n replaces the other note of the same target. The order
// is total, so that all balancers end with the same note.
func (n Note) Newer(other Note) bool {
	if n.StartedUnixMs != other.StartedUnixMs {
		return n.StartedUnixMs > other.StartedUnixMs
	}
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return n.Condition > other.Condition
}

// SetDigest sets the digest of what this balancer must agree on with the others.
func (d *Detector) SetDigest(digest uint32) { d.self.Digest = digest }

// SetNotes sets the notes to send to those that report another digest.
func (d *Detector) SetNotes(notes []Note) { d.notes = notes }

// Digest returns the digest that the balancer reports.
func (m Member) Digest() uint32 { return m.entry.Digest }

// notesFor returns the next part of the notes, if the receiver may lack some.
func (d *Detector) notesFor(to tracker.MemberID, limit int) []Note {
	p := d.peers[to]
	if len(d.notes) == 0 || (p != nil && p.entry.Digest == d.self.Digest) {
		return nil
	}
	count := min(len(d.notes), limit)
	part := make([]Note, 0, count)
	// Each receiver gets other parts each time, in no step with the heartbeats.
	start := int((d.self.Sequence*golden ^ uint32(to)) % uint32(len(d.notes)))
	for i := range count {
		part = append(part, d.notes[(start+i)%len(d.notes)])
	}
	return part
}
