package detector

import (
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// State is what a balancer says of itself.
type State uint8

// The states. A joining balancer is still fetching the others' records.
const (
	Joining State = iota
	Ready
	Leaving
	// Gone is the last word of a balancer that ends.
	Gone
)

// Entry is one balancer's line in a message.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	ID          tracker.MemberID
	Incarnation uint32
	Sequence    uint32
	State       State
	Active      uint64
	Prepared    uint64
	// Digest tells whether balancers hold the same members and notes.
	Digest uint32
}

// Message is the table that balancers send each other.
type Message struct {
	_       struct{} `cbor:",toarray"`
	From    tracker.MemberID
	Entries []Entry
	Notes   []Note
}

// Delivery is a message and the member it is for.
type Delivery struct {
	to      tracker.MemberID
	message Message
}

// To returns the member to send to.
func (d Delivery) To() tracker.MemberID { return d.to }

// Message returns the message.
func (d Delivery) Message() Message { return d.message }

// Member is a balancer as this one sees it.
type Member struct {
	entry    Entry
	suspect  bool
	advanced time.Time
}

// ID returns the balancer's identifier.
func (m Member) ID() tracker.MemberID { return m.entry.ID }

// State returns what the balancer says of itself.
func (m Member) State() State { return m.entry.State }

// Suspect reports whether its heartbeats are late.
func (m Member) Suspect() bool { return m.suspect }

// Active returns the revision in force there.
func (m Member) Active() uint64 { return m.entry.Active }

// Prepared returns the latest revision prepared there.
func (m Member) Prepared() uint64 { return m.entry.Prepared }

// Advanced returns when its count was last seen to advance.
func (m Member) Advanced() time.Time { return m.advanced }
