package activator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/activator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// membersAt returns the live members that a balancer sees at the time now, after
// a heartbeat of one peer that has prepared the given revision.
func membersAt(now time.Time, prepared uint64) []detector.Member {
	d := detector.New(1, 1)
	entry := detector.Entry{ID: 2, Incarnation: 1, Sequence: 1, State: detector.Ready, PreparedRevision: prepared}
	d.Receive(now, detector.Message{From: tracker.MemberID(2), Entries: []detector.Entry{entry}})
	return d.Members(now)
}

func TestRevisionStaysPreparedOnAllForTwoSeconds(t *testing.T) {
	is := is.New(t)
	var a activator.Activator
	now := time.Unix(1000, 0)
	is.True(!a.Allows(now, 2, membersAt(now, 1)))
	now = now.Add(5 * time.Second)
	is.True(!a.Allows(now, 2, membersAt(now, 2))) // The peer may have forwarded by its earlier table until now.
	is.True(!a.Allows(now.Add(1900*time.Millisecond), 2, membersAt(now, 2)))
	is.True(a.Allows(now.Add(2*time.Second), 2, membersAt(now, 2)))
}

func TestRevisionThatAPeerSkippedIsNotActivated(t *testing.T) {
	is := is.New(t)
	var a activator.Activator
	now := time.Unix(1000, 0)
	is.True(!a.Allows(now, 2, membersAt(now, 3)))
	is.True(!a.Allows(now.Add(time.Minute), 2, membersAt(now, 3)))
}

func TestRevisionActiveOnAPeerIsActivatedAtOnce(t *testing.T) {
	is := is.New(t)
	var a activator.Activator
	now := time.Unix(1000, 0)
	d := detector.New(1, 1)
	for id := tracker.MemberID(2); id < 4; id++ {
		entry := detector.Entry{ID: id, Incarnation: 1, Sequence: 1, State: detector.Ready, ActiveRevision: uint64(id - 1), PreparedRevision: 2}
		d.Receive(now, detector.Message{From: id, Entries: []detector.Entry{entry}})
	}
	is.True(a.Allows(now, 2, d.Members(now)))
}

// A balancer loses its permission to decide one second before its peers remove
// it. The time since then counts towards PreparedTime.
func TestPreparedTimeCountsFromTheLastDecisionOfARemovedBalancer(t *testing.T) {
	is := is.New(t)
	var a activator.Activator
	heard := time.Unix(1000, 0)
	is.True(!a.Allows(heard, 2, membersAt(heard, 1)))
	removed := heard.Add(detector.RemoveTimeout + time.Millisecond)
	is.True(!a.Allows(removed, 2, nil))
	expiry := heard.Add(detector.PermissionTimeout)
	is.True(!a.Allows(expiry.Add(activator.PreparedTime-time.Millisecond), 2, nil))
	is.True(a.Allows(expiry.Add(activator.PreparedTime), 2, nil))
}
