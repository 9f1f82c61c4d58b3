package watcher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/standin/kvserver"
	"trefoilspring.example/trefoilspring/watcher"
)

// A root that is not behind the revision in force is left. An earlier one is replaced, and
// one with the number of a remembered revision but another change is renumbered.
func TestCorePlansRecovery(t *testing.T) {
	is := is.New(t)
	var c watcher.Core
	is.Equal(c.PlanRecovery(0, ""), publisher.KeepRoot)
	c.Offer(2, "b")
	c.Offer(3, "c")
	is.Equal(c.PlanRecovery(3, "c"), publisher.KeepRoot)
	is.Equal(c.PlanRecovery(4, "d"), publisher.KeepRoot)
	is.Equal(c.PlanRecovery(0, ""), publisher.RestoreRoot)
	is.Equal(c.PlanRecovery(1, "a"), publisher.RestoreRoot)
	is.Equal(c.PlanRecovery(2, "b"), publisher.RestoreRoot)
	is.Equal(c.PlanRecovery(2, "x"), publisher.RenumberRoot)
	is.Equal(c.PlanRecovery(3, "x"), publisher.RenumberRoot)
}

// largeDocument returns a document that contains the zone name and is too large to be
// stored in a root, so that it is stored as a snapshot.
func largeDocument(name string) operator.Document {
	d := document(name)
	for i := range 400 {
		d.AvailabilityZones[fmt.Sprintf("zone-%03d", i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	return d
}

// The platform returns to an earlier revision, as after a restore from a backup, while no
// balancer watches it. When the watcher runs again, it writes the revision in force to the
// platform. If a change was published after the restore, this change is given the revision
// after the one in force instead, and comes in force.
func TestPlatformReturnsToEarlierRevision(t *testing.T) {
	cases := map[string]struct {
		document func(string) operator.Document
		// wipe makes the platform lose all records, in place of all but the first.
		wipe bool
		// publishChange publishes a change after the restore.
		publishChange bool
		// revision and zone are the revision that has to come in force, and the
		// zone that its document contains.
		revision uint64
		zone     string
	}{
		"small, written again": {document, false, false, 3, "three"},
		"small, renumbered":    {document, false, true, 4, "other"},
		"large, written again": {largeDocument, false, false, 3, "three"},
		"large, renumbered":    {largeDocument, false, true, 4, "other"},
		"large, wiped":         {largeDocument, true, false, 3, "three"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			kv := kvserver.New()
			api := httptest.NewServer(kv.API())
			defer api.Close()
			defer api.CloseClientConnections()
			store := consul.New(api.URL)
			p := publisher.New(store, "test")
			publish := func(name string) {
				_, err := p.Publish(t.Context(), publisher.Proposal{Document: c.document(name)})
				is.NoErr(err)
			}
			w := watcher.New(store)
			if c.wipe {
				is.NoErr(kv.SetSwitches(url.Values{"save": {"1"}}))
			}
			for i, name := range []string{"one", "two", "three"} {
				publish(name)
				if i == 0 && !c.wipe {
					is.NoErr(kv.SetSwitches(url.Values{"save": {"1"}}))
				}
				runUntil(t, w, func() bool { return w.Record().Revision == uint64(i+1) })
			}
			is.NoErr(kv.SetSwitches(url.Values{"restore": {"1"}}))
			if c.publishChange {
				publish("other")
			}
			runUntil(t, w, func() bool { return w.Recoveries() == 1 && w.Record().Revision == c.revision })
			current, err := p.Current(t.Context())
			is.NoErr(err)
			is.Equal(current.Revision, c.revision)
			is.Equal(current.ChangeID, w.Record().ChangeID)
			_, ok := current.Document.AvailabilityZones[c.zone]
			is.True(ok)
			_, ok = w.Record().Document.AvailabilityZones[c.zone]
			is.True(ok)
		})
	}
}

// runUntil runs the watcher until done returns true.
func runUntil(t *testing.T, w *watcher.Watcher, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	waitFor(t, done)
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// A stale answer of the platform looks like a return to an earlier revision, but must not
// make the watcher write to the platform.
func TestStaleReadWritesNothing(t *testing.T) {
	is := is.New(t)
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	defer api.Close()
	defer api.CloseClientConnections()
	store := consul.New(api.URL)
	p := publisher.New(store, "test")
	_, err := p.Publish(t.Context(), publisher.Proposal{Document: document("one")})
	is.NoErr(err)
	is.NoErr(kv.SetSwitches(url.Values{"stale": {"on"}}))
	result, err := p.Publish(t.Context(), publisher.Proposal{Document: document("two")})
	is.NoErr(err)
	writes := kv.Calls().Writes
	w := watcher.New(store)
	w.Offer(result.Record)
	runUntil(t, w, func() bool { return w.Counts().Older > 0 && kv.Calls().Gets >= 4 })
	is.Equal(kv.Calls().Writes, writes)
	is.Equal(w.Recoveries(), uint64(0))
}
