package coordinator_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/tracker"
)

const (
	self  tracker.MemberID = 1
	donor tracker.MemberID = 2
)

func oneTargetDocument() *operator.Document {
	return &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}},
		Services: map[string]operator.Service{"booking-desk": {
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
			Protocol:  operator.ProtocolQUIC,
		}},
		Targets: map[string]operator.Target{"bd-01": {
			Service:          "booking-desk",
			AvailabilityZone: "ne-a",
			Address:          netip.MustParseAddrPort("127.0.0.1:7001"),
		}},
	}
}

// decode decodes a record that consists of its revision number in decimal.
func decode(encoded []byte) (coordinator.Record, error) {
	revision, err := strconv.ParseUint(string(encoded), 10, 64)
	if err != nil {
		return coordinator.Record{}, errors.Wrap(err, "reading a revision")
	}
	return coordinator.Record{Revision: revision, Document: oneTargetDocument(), Encoded: encoded}, nil
}

// joinHarness runs a coordinator that joins one donor. The donor has revision 1
// active and the revision `prepared` prepared.
type joinHarness struct {
	now      time.Time
	c        *coordinator.Coordinator
	sequence uint32
	prepared uint64
}

func newJoinHarness() *joinHarness {
	c := coordinator.New(coordinator.Config{Self: self, Incarnation: 1})
	c.Decode = decode
	c.SetContacts([]tracker.MemberID{donor})
	return &joinHarness{now: time.Unix(1000, 0), c: c, prepared: 1}
}

// step runs one heartbeat interval, and replies to the coordinator's requests
// with answer.
func (j *joinHarness) step(answer func(coordinator.Request) (coordinator.Reply, bool)) {
	j.now = j.now.Add(detector.HeartbeatInterval)
	actions := j.c.Tick(j.now)
	for _, a := range actions {
		switch a.Kind() {
		case coordinator.SendHeartbeat:
			j.sequence++
			entry := detector.Entry{ID: donor, Incarnation: 1, Sequence: j.sequence, State: detector.Ready, ActiveRevision: 1, PreparedRevision: j.prepared}
			j.c.HandleHeartbeat(j.now, detector.Message{From: donor, Entries: append([]detector.Entry{entry}, a.Heartbeat().Entries...)})
		case coordinator.SendRequest:
			reply, ok := answer(a.PeerRequest().Request())
			j.c.HandleReply(j.now, a.PeerRequest(), reply, ok)
		case coordinator.SendRecords:
		}
	}
}

func TestJoiningBalancerWaitsForRevisionsThatOthersPrepared(t *testing.T) {
	is := is.New(t)
	j := newJoinHarness()
	// The donor prepares revision 2 right after it has sent revision 1.
	replyWithoutPrepared := func(r coordinator.Request) (coordinator.Reply, bool) {
		j.prepared = 2
		j.sequence++
		entry := detector.Entry{ID: donor, Incarnation: 1, Sequence: j.sequence, State: detector.Ready, ActiveRevision: 1, PreparedRevision: 2}
		j.c.HandleHeartbeat(j.now, detector.Message{From: donor, Entries: []detector.Entry{entry}})
		if r.Join {
			return coordinator.Reply{State: detector.Ready, Active: []byte("1"), Snapshot: &tracker.Snapshot{}}, true
		}
		return coordinator.Reply{}, false
	}
	for range 10 {
		j.step(replyWithoutPrepared)
	}
	is.Equal(j.c.State(), detector.Joining)
	replyWithPrepared := func(coordinator.Request) (coordinator.Reply, bool) {
		return coordinator.Reply{State: detector.Ready, Active: []byte("1"), Prepared: []byte("2"), Snapshot: &tracker.Snapshot{}}, true
	}
	for range 3 {
		j.step(replyWithPrepared)
	}
	is.Equal(j.c.State(), detector.Ready)
	is.Equal(j.c.Revision(), uint64(2))
}

func TestJoiningBalancerNeedsTheDonorsReply(t *testing.T) {
	is := is.New(t)
	j := newJoinHarness()
	j.c.Offer(j.now, coordinator.Record{Revision: 1, Document: oneTargetDocument()})
	for range 20 {
		j.step(func(coordinator.Request) (coordinator.Reply, bool) { return coordinator.Reply{}, false })
	}
	is.Equal(j.c.State(), detector.Joining)
}

func TestJoiningBalancerConfirmsNoSettlement(t *testing.T) {
	is := is.New(t)
	j := newJoinHarness()
	settlements := []tracker.Settlement{{Phase: tracker.Rebase, Service: 1, Bucket: 1, ChangedBy: 1}}
	reply := j.c.HandleRequest(j.now, donor, coordinator.Request{Settlements: settlements})
	is.Equal(reply.Settled, []bool{false}) // It may yet adopt a snapshot that is older than the settlement.
}

func TestLaggingBalancerRejoins(t *testing.T) {
	is := is.New(t)
	j := newJoinHarness()
	replyToJoin := func(r coordinator.Request) (coordinator.Reply, bool) {
		return coordinator.Reply{State: detector.Ready, Active: []byte("1"), Snapshot: &tracker.Snapshot{}}, r.Join
	}
	for range 5 {
		j.step(replyToJoin)
	}
	is.Equal(j.c.State(), detector.Ready)
	j.prepared = 2 // The donor reports a revision that it never sends.
	steps := 0
	for j.c.State() == detector.Ready && steps < 15 {
		j.step(replyToJoin)
		steps++
	}
	is.Equal(j.c.State(), detector.Joining)
	waited := time.Duration(steps) * detector.HeartbeatInterval
	is.True(waited >= 2*time.Second && waited <= 4*time.Second)
}
