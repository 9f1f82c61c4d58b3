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
	"trefoilspring.example/trefoilspring/standin/keeper"
	"trefoilspring.example/trefoilspring/watcher"
)

func TestCoreRecovers(t *testing.T) {
	is := is.New(t)
	var c watcher.Core
	is.Equal(c.Recover(0, ""), publisher.LeaveRoot)
	c.Offer(2, "b")
	c.Offer(3, "c")
	is.Equal(c.Recover(3, "c"), publisher.LeaveRoot)
	is.Equal(c.Recover(4, "d"), publisher.LeaveRoot)
	is.Equal(c.Recover(0, ""), publisher.PutBack)
	is.Equal(c.Recover(1, "a"), publisher.PutBack)
	is.Equal(c.Recover(2, "b"), publisher.PutBack)
	is.Equal(c.Recover(2, "x"), publisher.Renumber)
	is.Equal(c.Recover(3, "x"), publisher.Renumber)
}

// largeDocument returns a document that does not fit into a root.
func largeDocument(name string) operator.Document {
	d := document(name)
	for i := range 400 {
		d.AvailabilityZones[fmt.Sprintf("zone-%03d", i)] = operator.AvailabilityZone{State: operator.ZoneIn}
	}
	return d
}

// The platform goes back to an earlier revision while no balancer watches. With
// a change that was accepted meanwhile, this change comes in force as the next
// revision; without one, the revision in force is written again.
func TestPlatformWentBack(t *testing.T) {
	cases := map[string]struct {
		document func(string) operator.Document
		wipe     bool
		accepted bool
		revision uint64
		zone     string
	}{
		"small, put back":   {document, false, false, 3, "three"},
		"small, renumbered": {document, false, true, 4, "other"},
		"large, put back":   {largeDocument, false, false, 3, "three"},
		"large, renumbered": {largeDocument, false, true, 4, "other"},
		"large, wiped":      {largeDocument, true, false, 3, "three"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := keeper.New()
			api := httptest.NewServer(k.API())
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
				is.NoErr(k.Switch(url.Values{"save": {"1"}}))
			}
			for i, name := range []string{"one", "two", "three"} {
				publish(name)
				if i == 0 && !c.wipe {
					is.NoErr(k.Switch(url.Values{"save": {"1"}}))
				}
				runUntil(t, w, func() bool { return w.Record().Revision == uint64(i+1) })
			}
			is.NoErr(k.Switch(url.Values{"restore": {"1"}}))
			if c.accepted {
				publish("other")
			}
			runUntil(t, w, func() bool { return w.Recovered() == 1 && w.Record().Revision == c.revision })
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

// runUntil runs the watcher until the condition is met.
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

// A stale answer is no reason to write.
func TestStaleReadWritesNothing(t *testing.T) {
	is := is.New(t)
	k := keeper.New()
	api := httptest.NewServer(k.API())
	defer api.Close()
	defer api.CloseClientConnections()
	store := consul.New(api.URL)
	p := publisher.New(store, "test")
	_, err := p.Publish(t.Context(), publisher.Proposal{Document: document("one")})
	is.NoErr(err)
	is.NoErr(k.Switch(url.Values{"stale": {"on"}}))
	result, err := p.Publish(t.Context(), publisher.Proposal{Document: document("two")})
	is.NoErr(err)
	writes := k.Calls().Writes
	w := watcher.New(store)
	w.Tell(result.Record)
	runUntil(t, w, func() bool { return w.Counts().Older > 0 && k.Calls().Gets >= 4 })
	is.Equal(k.Calls().Writes, writes)
	is.Equal(w.Recovered(), uint64(0))
}
