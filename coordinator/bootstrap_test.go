package coordinator_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// newStartingCluster returns n balancers that start at the same time. Each has
// been offered a different revision; the one with the lowest identifier has the
// highest.
func newStartingCluster(n int) *cluster {
	cl := &cluster{now: time.Unix(1000, 0)}
	var ids []tracker.MemberID
	for i := range n {
		ids = append(ids, tracker.MemberID(i+1))
	}
	for i := range n {
		c := coordinator.New(coordinator.Config{Self: ids[i], Incarnation: 1})
		c.Decode = decode
		c.SetContacts(ids)
		revision := uint64(n - i)
		c.Offer(cl.now, recordOf(revision))
		cl.coordinators = append(cl.coordinators, c)
	}
	return cl
}

func recordOf(revision uint64) coordinator.Record {
	return coordinator.Record{
		Revision: revision, Document: oneTargetDocument(), Encoded: []byte(strconv.FormatUint(revision, 10)),
	}
}

func TestGroupThatStartsWithSeveralDocumentsPutsOneInForce(t *testing.T) {
	is := is.New(t)
	cl := newStartingCluster(5)
	started := 0
	for step := range 25 {
		cl.run(detector.HeartbeatInterval)
		inForce := make(map[uint64]bool)
		for _, c := range cl.coordinators {
			if c.State() == detector.Ready {
				inForce[c.Tracker().Active().Revision()] = true
			}
		}
		if len(inForce) == 0 {
			// While no balancer is ready, each is offered ever newer documents.
			for i, c := range cl.coordinators {
				c.Offer(cl.now, recordOf(uint64(10+10*step+i)))
			}
			continue
		}
		started++
		is.True(started > 4 || len(inForce) == 1) // With two revisions in force, flows could change targets, since no bucket is tracked.
	}
	for _, c := range cl.coordinators {
		is.Equal(c.State(), detector.Ready)
		is.Equal(c.Revision(), cl.coordinators[4].Revision())
	}
}

func TestGroupStartsWithoutTheBalancerWithTheLowestIdentifier(t *testing.T) {
	is := is.New(t)
	cl := newStartingCluster(3)
	cl.cut = map[int]bool{0: true}
	cl.run(20 * detector.HeartbeatInterval)
	is.Equal(cl.coordinators[1].State(), detector.Ready)
	is.Equal(cl.coordinators[2].State(), detector.Ready)
}
