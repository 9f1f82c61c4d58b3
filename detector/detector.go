// Package detector is a gossip-based failure detector for a group of balancers.
// It decides which balancers are alive, and whether the local balancer may still
// decide on packets.
//
// Each balancer increments its own heartbeat counter and sends the table of all
// counters that it knows. A balancer whose counter no longer advances is first
// suspected and then removed. Since balancers relay each other's counters, one
// broken path between two balancers removes neither of them (van Renesse et al.,
// A Gossip-Style Failure Detection Service, 1998). A balancer finds its own counter
// in the messages that it receives. If this echo is too old, the balancer has to
// assume that the others have removed it, and it stops deciding.
//
// # Usage
//
//	d := detector.New(self, incarnation)
//	for _, delivery := range d.Heartbeat(now) { … } // every HeartbeatInterval: send the messages
//	d.Receive(now, message)                         // for each message that arrives
//	for _, m := range d.Members(now) { … }          // the other live balancers
//	if !d.MayDecide(now) { … }                      // stop deciding
//
// A Detector reads no clock and is not safe for use from several goroutines.
package detector

import (
	"sort"
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// The timing of failure detection. PermissionTimeout is shorter than RemoveTimeout by
// more than one HeartbeatInterval, so that a balancer stops deciding before the others
// remove it and take over its work.
const (
	// HeartbeatInterval is the time between two heartbeats of a balancer.
	HeartbeatInterval = 400 * time.Millisecond
	// SuspectTimeout is how long a counter may stand still before its balancer is
	// suspected.
	SuspectTimeout = 1500 * time.Millisecond
	// PermissionTimeout is how long a balancer may decide after it sent the last
	// heartbeat that another balancer has echoed. A balancer that sends no heartbeat
	// for longer counts as paused.
	PermissionTimeout = 2 * time.Second
	// RemoveTimeout is how long a counter may stand still before its balancer is removed.
	RemoveTimeout = 3 * time.Second
	// forgetTimeout is how long the entry of a removed balancer is kept after its
	// counter last advanced, so that an old relayed entry does not bring it back.
	forgetTimeout = time.Minute
)

const (
	// FanOut is the largest number of balancers that one heartbeat is sent to.
	FanOut = 38
	// tablesPerHeartbeat is how many receivers of a heartbeat get the table instead
	// of the short message.
	tablesPerHeartbeat = 3
	// maxEntries bounds the entries of other balancers in a message, so that the
	// message fits into one datagram.
	maxEntries = 30
)

// peer is another balancer that this one has heard of.
type peer struct {
	entry Entry
	// lastHeartbeat is when the counter in entry was last seen to advance.
	lastHeartbeat time.Time
	removed       bool
}

// heartbeat is a heartbeat that this balancer has sent.
type heartbeat struct {
	sequence uint32
	sentAt   time.Time
}

// Detector holds the heartbeat table of one balancer.
type Detector struct {
	self     Entry
	peers    map[tracker.MemberID]*peer
	contacts []tracker.MemberID
	// nextContact is the index of the first contact that the next heartbeat goes to.
	nextContact int
	// nextEntry is the index of the live balancer that the next table begins with,
	// if the table does not fit into one message.
	nextEntry int
	// sentHeartbeats are the heartbeats of the last RemoveTimeout, oldest first.
	sentHeartbeats []heartbeat
	// lastEchoed is the send time of the latest heartbeat that another balancer has
	// echoed.
	lastEchoed time.Time
	// resumedAt is when the first heartbeat since the start or the last pause was sent.
	resumedAt     time.Time
	healthReports []HealthReport
}

// New returns the Detector of the balancer self. The incarnation must grow with each
// start of the same balancer; the Unix time in seconds is suitable. If other balancers
// still know a later incarnation, Receive raises the incarnation above it.
func New(self tracker.MemberID, incarnation uint32) *Detector {
	return &Detector{
		self:  Entry{ID: self, Incarnation: incarnation},
		peers: make(map[tracker.MemberID]*peer),
	}
}

// SetState sets the state that this balancer reports.
func (d *Detector) SetState(s State) { d.self.State = s }

// State returns the state that this balancer reports.
func (d *Detector) State() State { return d.self.State }

// SetRevisions sets the active and the prepared revision of the configuration that
// this balancer reports.
func (d *Detector) SetRevisions(active, prepared uint64) {
	d.self.ActiveRevision = active
	d.self.PreparedRevision = prepared
}

// SetContacts sets the balancers to send heartbeats to, whether or not they have
// been heard of. This balancer's own identifier is ignored.
func (d *Detector) SetContacts(ids []tracker.MemberID) {
	d.contacts = d.contacts[:0]
	for _, id := range ids {
		if id != d.self.ID {
			d.contacts = append(d.contacts, id)
		}
	}
	sort.Slice(d.contacts, func(i, j int) bool { return d.contacts[i] < d.contacts[j] })
}

// HeartbeatsPerRound returns how many heartbeats in a row reach every contact at least once.
func (d *Detector) HeartbeatsPerRound() int { return 1 + len(d.contacts)/FanOut }

// Heartbeat increments this balancer's heartbeat counter and returns the messages to
// send, one for each of the next FanOut contacts. A few of these contacts get the
// table; the rest get a short message with the entries of this balancer and of the
// receiver.
func (d *Detector) Heartbeat(now time.Time) []Delivery {
	if d.heartbeatsPaused(now) {
		// This is the first heartbeat, or the first after a pause of the process.
		d.resumedAt = now
		d.lastEchoed = time.Time{}
	}
	d.self.Sequence++
	d.sentHeartbeats = append(d.sentHeartbeats, heartbeat{sequence: d.self.Sequence, sentAt: now})
	d.trimHeartbeats(now)
	count := min(FanOut, len(d.contacts))
	deliveries := make([]Delivery, 0, count)
	for i := range count {
		to := d.contacts[(d.nextContact+i)%len(d.contacts)]
		deliveries = append(deliveries, Delivery{to: to, message: d.shortMessage(to)})
	}
	if count == 0 {
		return nil
	}
	d.nextContact = (d.nextContact + count) % len(d.contacts)
	for i := range min(tablesPerHeartbeat, count) {
		at := (int(d.self.Sequence) + d.tablePhase() + i*count/tablesPerHeartbeat) % count
		deliveries[at].message = d.tableMessage(now, deliveries[at].to)
	}
	return deliveries
}

// tablePhase returns an offset that differs between balancers, so that those whose
// sequence numbers are equal send their tables to different receivers.
func (d *Detector) tablePhase() int {
	return int(uint32(d.self.ID) * goldenRatio >> 16)
}

// shortMessage returns a message with the entries of this balancer and of the
// receiver, so that the receiver finds the echo of its own heartbeat.
func (d *Detector) shortMessage(to tracker.MemberID) Message {
	m := Message{From: d.self.ID, Entries: []Entry{d.self}, HealthReports: d.healthReportsFor(to, maxHealthReports)}
	if p := d.peers[to]; p != nil {
		m.Entries = append(m.Entries, p.entry)
	}
	return m
}

// tableMessage returns a message with the entries of all live balancers, or with the
// next maxEntries of them if they don't all fit.
func (d *Detector) tableMessage(now time.Time, to tracker.MemberID) Message {
	live := d.Members(now)
	m := Message{From: d.self.ID, Entries: []Entry{d.self}}
	for i := range min(len(live), maxEntries) {
		m.Entries = append(m.Entries, live[(d.nextEntry+i)%len(live)].entry)
	}
	if len(live) > maxEntries {
		d.nextEntry = (d.nextEntry + maxEntries) % len(live)
	}
	// An encoded health report is no longer than an encoded entry, so it may take
	// the place of one.
	m.HealthReports = d.healthReportsFor(to, min(maxHealthReports, maxEntries+1-len(m.Entries)))
	return m
}

// trimHeartbeats drops heartbeats that were sent more than RemoveTimeout ago.
func (d *Detector) trimHeartbeats(now time.Time) {
	for len(d.sentHeartbeats) > 0 && now.Sub(d.sentHeartbeats[0].sentAt) > RemoveTimeout {
		d.sentHeartbeats = d.sentHeartbeats[1:]
	}
}

// Receive merges the entries of another balancer's message into the table. It
// ignores the health reports of the message.
func (d *Detector) Receive(now time.Time, m Message) {
	for _, e := range m.Entries {
		if e.ID == d.self.ID {
			d.receiveEcho(e)
			continue
		}
		d.mergeEntry(now, e, e.ID == m.From)
	}
}

// AddPeer adds a balancer that was heard of by other means than a heartbeat, such
// as a request. It changes nothing if the balancer is already known.
func (d *Detector) AddPeer(now time.Time, id tracker.MemberID) {
	if d.peers[id] == nil && id != d.self.ID {
		d.peers[id] = &peer{entry: Entry{ID: id}, lastHeartbeat: now}
	}
}

// receiveEcho records when the echoed heartbeat of this balancer was sent. The
// balancer that echoed the heartbeat does not remove this balancer within
// RemoveTimeout of that time.
func (d *Detector) receiveEcho(e Entry) {
	if newer(e, d.self) {
		// The other balancers still know the heartbeats of an earlier start of this
		// balancer, and would ignore the heartbeats of this start. The incarnation of
		// the earlier start is not lower, because the clock was ahead at that start or
		// both starts happened in the same second.
		d.self.Incarnation = e.Incarnation + 1
		return
	}
	if e.Incarnation < d.self.Incarnation {
		return
	}
	for _, b := range d.sentHeartbeats {
		if b.sequence == e.Sequence && b.sentAt.After(d.lastEchoed) {
			d.lastEchoed = b.sentAt
		}
	}
}

// mergeEntry replaces the known entry of another balancer if e is newer. The
// parameter direct says whether that balancer has sent e itself.
func (d *Detector) mergeEntry(now time.Time, e Entry, direct bool) {
	p := d.peers[e.ID]
	if p == nil {
		d.peers[e.ID] = &peer{entry: e, lastHeartbeat: now, removed: e.State == Gone}
		return
	}
	if !newer(e, p.entry) {
		return
	}
	// A removed balancer comes back only by its own message, not by a relayed entry.
	if p.removed && !direct {
		return
	}
	p.entry = e
	p.lastHeartbeat = now
	p.removed = e.State == Gone
}

// newer reports whether a is a later entry of the same balancer than b.
func newer(a, b Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// isRemoved reports whether a peer is removed. It marks the peer as removed once its
// counter has not advanced for RemoveTimeout.
func (d *Detector) isRemoved(now time.Time, p *peer) bool {
	if now.Sub(p.lastHeartbeat) > RemoveTimeout {
		p.removed = true
	}
	return p.removed
}

// Members returns the other live balancers, sorted by identifier. It also forgets
// balancers that were removed long ago.
func (d *Detector) Members(now time.Time) []Member {
	var live []Member
	for id, p := range d.peers {
		if d.isRemoved(now, p) {
			if now.Sub(p.lastHeartbeat) > forgetTimeout {
				delete(d.peers, id)
			}
			continue
		}
		suspect := now.Sub(p.lastHeartbeat) > SuspectTimeout
		live = append(live, Member{entry: p.entry, suspect: suspect, lastHeartbeat: p.lastHeartbeat})
	}
	sort.Slice(live, func(i, j int) bool { return live[i].entry.ID < live[j].entry.ID })
	return live
}
