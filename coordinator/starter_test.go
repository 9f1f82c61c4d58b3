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

// starting returns balancers that start at once, each with another document.
func starting(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	var ids []tracker.MemberID
	for i := range n {
		ids = append(ids, tracker.MemberID(i+1))
	}
	for i := range n {
		c := coordinator.New(coordinator.Config{Self: ids[i], Incarnation: 1})
		c.Decode = decode
		c.SetContacts(ids)
		revision := uint64(n - i)
		c.Offer(f.now, recordOf(revision))
		f.all = append(f.all, c)
	}
	return f
}

func recordOf(revision uint64) coordinator.Record {
	return coordinator.Record{
		Revision: revision, Document: documentOf(), Encoded: []byte(strconv.FormatUint(revision, 10)),
	}
}

func TestGroupThatStartsWithSeveralDocumentsPutsOneInForce(t *testing.T) {
	is := is.New(t)
	f := starting(5)
	started := 0
	for step := range 25 {
		f.run(detector.Interval)
		inForce := make(map[uint64]bool)
		for _, c := range f.all {
			if c.State() == detector.Ready {
				inForce[c.Tracker().Active().Revision()] = true
			}
		}
		if len(inForce) == 0 {
			// Each of them is offered later and later documents.
			for i, c := range f.all {
				c.Offer(f.now, recordOf(uint64(10+10*step+i)))
			}
			continue
		}
		started++
		is.True(started > 4 || len(inForce) == 1) // No tracked bucket stands between two of them.
	}
	for _, c := range f.all {
		is.Equal(c.State(), detector.Ready)
		is.Equal(c.Revision(), f.all[4].Revision())
	}
}

func TestGroupStartsWithoutItsFirstBalancer(t *testing.T) {
	is := is.New(t)
	f := starting(3)
	f.cut = map[int]bool{0: true}
	f.run(20 * detector.Interval)
	is.Equal(f.all[1].State(), detector.Ready)
	is.Equal(f.all[2].State(), detector.Ready)
}
