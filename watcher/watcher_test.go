package watcher_test

import (
	"context"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/standin/kvserver"
	"trefoilspring.example/trefoilspring/watcher"
)

// Only a higher revision than the one in force comes in force.
func TestCoreIgnoresEarlierRevisions(t *testing.T) {
	is := is.New(t)
	var c watcher.Core
	is.Equal(c.Offer(3, "c"), watcher.Taken)
	is.Equal(c.Offer(2, "b"), watcher.Older)
	is.Equal(c.Offer(3, "c"), watcher.Same)
	is.Equal(c.Offer(3, "x"), watcher.Forked)
	is.Equal(c.Offer(9, "i"), watcher.Taken)
	is.Equal(c.Revision(), uint64(9))
	is.Equal(c.ChangeID(), "i")
	is.Equal(c.Counts(), watcher.Counts{Taken: 2, Same: 1, Older: 1, Forked: 1})
}

// document returns a document whose only content is the zone name.
func document(name string) operator.Document {
	return operator.Document{AvailabilityZones: map[string]operator.AvailabilityZone{name: {State: operator.ZoneIn}}}
}

// The watcher keeps the revision in force through an outage of the platform and its restore
// from a backup. Changes that are published afterwards come in force.
func TestRunThroughOutageAndRestore(t *testing.T) {
	is := is.New(t)
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	defer api.Close()
	defer api.CloseClientConnections()
	store := consul.New(api.URL)
	p := publisher.New(store, "test")
	seen := make(chan publisher.Record, 16)
	w := watcher.New(store)
	w.OnRecord = func(r publisher.Record) { seen <- r }
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()

	publish := func(name string) {
		_, err := p.Publish(ctx, publisher.Proposal{Document: document(name)})
		is.NoErr(err)
	}
	publish("one")
	is.Equal((<-seen).Revision, uint64(1))
	is.NoErr(kv.SetSwitches(url.Values{"save": {"1"}}))
	publish("two")
	is.Equal((<-seen).Revision, uint64(2))
	is.NoErr(kv.SetSwitches(url.Values{"outage": {"on"}}))
	waitFor(t, func() bool { return w.Failures() > 1 })
	is.Equal(w.Record().Revision, uint64(2))
	is.NoErr(kv.SetSwitches(url.Values{"restore": {"1"}}))
	is.NoErr(kv.SetSwitches(url.Values{"outage": {"off"}}))
	waitFor(t, func() bool { return w.Recoveries() == 1 })
	is.True(w.Counts().Older > 0)
	is.Equal(w.Record().Revision, uint64(2))
	publish("three")
	is.Equal((<-seen).Revision, uint64(3))
}

// A record in the platform that can't be decoded is counted, and does not come in force.
func TestInvalidRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	defer api.Close()
	defer api.CloseClientConnections()
	store := consul.New(api.URL)
	is.NoErr(store.CompareAndSwap(t.Context(), publisher.DocumentKey, 0, []byte(`{"revision":1`)))
	w := watcher.New(store)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	waitFor(t, func() bool { return w.InvalidRecords() == 1 })
	is.Equal(w.Record().Revision, uint64(0))
	cancel()
	is.NoErr(group.Wait())
}

// waitFor waits until done returns true, and fails the test after 20 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
