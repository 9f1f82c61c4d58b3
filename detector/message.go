package detector

import (
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// State is the state that a balancer reports of itself.
type State uint8

// The states of a balancer.
const (
	// Joining means that the balancer is still fetching the flow records of the others.
	Joining State = iota
	// Ready means that the balancer takes part in full.
	Ready
	// Leaving means that the balancer is about to stop, and that others take over its
	// work.
	Leaving
	// Gone means that the balancer is stopping now. The others remove it at once.
	Gone
)

// Entry is the latest known heartbeat of one balancer, and the status sent with it.
type Entry struct {
	_  struct{} `cbor:",toarray"`
	ID tracker.MemberID
	// Incarnation grows with each start of the balancer.
	Incarnation uint32
	// Sequence is the heartbeat counter, which grows with each heartbeat.
	Sequence uint32
	State    State
	// ActiveRevision is the revision of the configuration in force.
	ActiveRevision uint64
	// PreparedRevision is the latest revision of the configuration that is prepared.
	PreparedRevision uint64
	// Digest is a checksum over the state that all balancers have to agree on, which
	// includes the health reports. Balancers with equal digests hold the same health
	// reports.
	Digest uint32
}

// Message is a heartbeat message from one balancer to another.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From tracker.MemberID
	// Entries holds the sender's entry first, then entries of other balancers.
	Entries []Entry
	// HealthReports are health reports that the receiver may lack.
	HealthReports []HealthReport
}

// Delivery is a message and its receiver.
type Delivery struct {
	to      tracker.MemberID
	message Message
}

// To returns the receiver's identifier.
func (d Delivery) To() tracker.MemberID { return d.to }

// Message returns the message.
func (d Delivery) Message() Message { return d.message }

// Member is another live balancer, with the status that it reported last.
type Member struct {
	entry         Entry
	suspect       bool
	lastHeartbeat time.Time
}

// ID returns the balancer's identifier.
func (m Member) ID() tracker.MemberID { return m.entry.ID }

// State returns the state that the balancer reports.
func (m Member) State() State { return m.entry.State }

// Suspect reports whether the balancer is suspected to have failed, since its heartbeat
// counter has not advanced for more than SuspectTimeout.
func (m Member) Suspect() bool { return m.suspect }

// ActiveRevision returns the revision of the configuration that is in force on the
// balancer.
func (m Member) ActiveRevision() uint64 { return m.entry.ActiveRevision }

// PreparedRevision returns the latest revision of the configuration that the balancer
// has prepared.
func (m Member) PreparedRevision() uint64 { return m.entry.PreparedRevision }

// LastHeartbeat returns when the balancer's heartbeat counter was last seen to advance.
func (m Member) LastHeartbeat() time.Time { return m.lastHeartbeat }
