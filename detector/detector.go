// Package detector decides which balancers of a group are alive, and whether
// this one may still act on what it knows.
//
// Each balancer counts its own heartbeats up and sends the table of all counts
// it knows; a count that no longer advances is suspected, then removed. Since
// tables are relayed, one broken path between two balancers removes neither
// (van Renesse et al., A Gossip-Style Failure Detection Service, 1998). A balancer
// finds its own count echoed in the tables of others; without a fresh echo it
// must assume that it was removed, and no longer decides.
//
// # Usage
//
//	d := detector.New(self, incarnation)
//	for _, delivery := range d.Beat(now) { … }  // every Interval
//	d.Receive(now, message)      // for each message that arrives
//	for _, m := range d.Members(now) { … }
//	if !d.Permitted(now) { … }
//
// A Detector reads no clock and is not safe for use from several goroutines.
package detector

import (
	"sort"
	"time"

	"trefoilspring.example/trefoilspring/tracker"
)

// The times of detection. PermitAge is shorter than RemoveAge by more than one
// Interval, so that a balancer stops deciding before others go on without it.
const (
	Interval   = 400 * time.Millisecond
	SuspectAge = 1500 * time.Millisecond
	PermitAge  = 2 * time.Second
	RemoveAge  = 3 * time.Second
	// forgetAge is how long a removed member's count is kept, so that an old
	// relayed count does not bring it back.
	forgetAge = time.Minute
)

const (
	// FanOut is the largest number of members that one heartbeat goes to.
	FanOut = 38
	// tables is how many of the receivers of a heartbeat get the whole table.
	tables = 3
	// maxEntries bounds the lines of a message, so that it fits one datagram.
	maxEntries = 30
)

type peer struct {
	entry    Entry
	advanced time.Time
	removed  bool
}

type beat struct {
	sequence uint32
	sent     time.Time
}

// Detector holds the table of one balancer.
type Detector struct {
	self     Entry
	peers    map[tracker.MemberID]*peer
	contacts []tracker.MemberID
	next     int
	part     int
	beats    []beat
	echoed   time.Time
	since    time.Time
	notes    []Note
}

// New returns a Detector. The incarnation must grow with each start of the same
// balancer; the Unix time in seconds serves.
func New(self tracker.MemberID, incarnation uint32) *Detector {
	return &Detector{
		self:  Entry{ID: self, Incarnation: incarnation},
		peers: make(map[tracker.MemberID]*peer),
	}
}

// SetState sets what this balancer says of itself.
func (d *Detector) SetState(s State) { d.self.State = s }

// State returns what this balancer says of itself.
func (d *Detector) State() State { return d.self.State }

// SetRevisions sets the revisions that this balancer reports.
func (d *Detector) SetRevisions(active, prepared uint64) {
	d.self.Active = active
	d.self.Prepared = prepared
}

// SetContacts sets the balancers to send to, heard or not yet heard.
func (d *Detector) SetContacts(ids []tracker.MemberID) {
	d.contacts = d.contacts[:0]
	for _, id := range ids {
		if id != d.self.ID {
			d.contacts = append(d.contacts, id)
		}
	}
	sort.Slice(d.contacts, func(i, j int) bool { return d.contacts[i] < d.contacts[j] })
}

// Part is how many heartbeats reach every contact once.
func (d *Detector) Part() int { return 1 + len(d.contacts)/FanOut }

// Beat counts this balancer's heartbeat and returns what to send: a short message
// with this balancer's and the receiver's own line to each of the next FanOut
// contacts, and the table to some of them.
func (d *Detector) Beat(now time.Time) []Delivery {
	if d.paused(now) {
		// The first heartbeat, or the first after a pause of the process.
		d.since = now
		d.echoed = time.Time{}
	}
	d.self.Sequence++
	d.beats = append(d.beats, beat{sequence: d.self.Sequence, sent: now})
	d.trimBeats(now)
	count := min(FanOut, len(d.contacts))
	deliveries := make([]Delivery, 0, count)
	for i := range count {
		to := d.contacts[(d.next+i)%len(d.contacts)]
		deliveries = append(deliveries, Delivery{to: to, message: d.short(to)})
	}
	if count == 0 {
		return nil
	}
	d.next = (d.next + count) % len(d.contacts)
	for i := range min(tables, count) {
		at := (int(d.self.Sequence) + d.phase() + i*count/tables) % count
		deliveries[at].message = d.table(now, deliveries[at].to)
	}
	return deliveries
}

// phase spreads the tables of balancers that beat in step over the receivers.
func (d *Detector) phase() int {
	return int(uint32(d.self.ID) * golden >> 16)
}

func (d *Detector) short(to tracker.MemberID) Message {
	m := Message{From: d.self.ID, Entries: []Entry{d.self}, Notes: d.notesFor(to, maxNotes)}
	if p := d.peers[to]; p != nil {
		m.Entries = append(m.Entries, p.entry)
	}
	return m
}

// table returns the lines of all live members, or the next part of them where
// they don't fit into one message.
func (d *Detector) table(now time.Time, to tracker.MemberID) Message {
	live := d.Members(now)
	m := Message{From: d.self.ID, Entries: []Entry{d.self}}
	for i := range min(len(live), maxEntries) {
		m.Entries = append(m.Entries, live[(d.part+i)%len(live)].entry)
	}
	if len(live) > maxEntries {
		d.part = (d.part + maxEntries) % len(live)
	}
	// A note is no longer than a line.
	m.Notes = d.notesFor(to, min(maxNotes, maxEntries+1-len(m.Entries)))
	return m
}

func (d *Detector) trimBeats(now time.Time) {
	for len(d.beats) > 0 && now.Sub(d.beats[0].sent) > RemoveAge {
		d.beats = d.beats[1:]
	}
}

// Receive takes a message of another balancer.
func (d *Detector) Receive(now time.Time, m Message) {
	for _, e := range m.Entries {
		if e.ID == d.self.ID {
			d.echo(e)
			continue
		}
		d.merge(now, e, e.ID == m.From)
	}
}

// Introduce takes in a balancer that has spoken otherwise than by a heartbeat.
func (d *Detector) Introduce(now time.Time, id tracker.MemberID) {
	if d.peers[id] == nil && id != d.self.ID {
		d.peers[id] = &peer{entry: Entry{ID: id}, advanced: now}
	}
}

// echo finds when the echoed heartbeat was sent: whoever heard it will not
// remove this balancer before RemoveAge from then on.
func (d *Detector) echo(e Entry) {
	if newer(e, d.self) {
		// An earlier start is still remembered, from a clock that was ahead or in
		// the same second: the others would ignore this one.
		d.self.Incarnation = e.Incarnation + 1
		return
	}
	if e.Incarnation < d.self.Incarnation {
		return
	}
	for _, b := range d.beats {
		if b.sequence == e.Sequence && b.sent.After(d.echoed) {
			d.echoed = b.sent
		}
	}
}

func (d *Detector) merge(now time.Time, e Entry, direct bool) {
	p := d.peers[e.ID]
	if p == nil {
		d.peers[e.ID] = &peer{entry: e, advanced: now, removed: e.State == Gone}
		return
	}
	if !newer(e, p.entry) {
		return
	}
	// A removed member comes back by its own word only.
	if p.removed && !direct {
		return
	}
	p.entry = e
	p.advanced = now
	p.removed = e.State == Gone
}

func newer(a, b Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (d *Detector) dead(now time.Time, p *peer) bool {
	if now.Sub(p.advanced) > RemoveAge {
		p.removed = true
	}
	return p.removed
}

// Members returns the live balancers besides this one, in the order of their
// identifiers.
func (d *Detector) Members(now time.Time) []Member {
	var live []Member
	for id, p := range d.peers {
		if d.dead(now, p) {
			if now.Sub(p.advanced) > forgetAge {
				delete(d.peers, id)
			}
			continue
		}
		late := now.Sub(p.advanced) > SuspectAge
		live = append(live, Member{entry: p.entry, suspect: late, advanced: p.advanced})
	}
	sort.Slice(live, func(i, j int) bool { return live[i].entry.ID < live[j].entry.ID })
	return live
}
