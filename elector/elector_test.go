package elector_test

import (
	"context"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/elector"
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

// newStore returns a client of a stand-in for the store, and the stand-in.
func newStore(t *testing.T) (*consul.Store, *kvserver.Server) {
	t.Helper()
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	t.Cleanup(func() {
		api.CloseClientConnections()
		api.Close()
	})
	return consul.New(api.URL), kv
}

func TestOneHolder(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	first := elector.New(store, "planner", "one")
	second := elector.New(store, "planner", "two")
	is.NoErr(first.Campaign(t.Context()))
	is.NoErr(second.Campaign(t.Context()))
	is.True(first.Holds())
	is.True(!second.Holds())
	is.NoErr(first.Write(t.Context(), []byte("plan")))
	var notHolder *elector.NotHolderError
	is.True(errors.As(second.Write(t.Context(), []byte("other")), &notHolder))
}

// The holder is paused after it has decided to write. Its lease expires, and the second
// candidate takes the role over and writes. The delayed write of the first holder must
// not take effect.
func TestWriteOfPausedHolderIsRejected(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	second := elector.New(store, "planner", "two")
	var paused bool
	intercepted := *store
	intercepted.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if paused {
			paused = false
			is.NoErr(kv.SetSwitches(url.Values{"lapse-sessions": {"1"}}))
			is.NoErr(second.Campaign(ctx))
			is.NoErr(second.Write(ctx, []byte("second")))
		}
		return store.CompareAndSwap(ctx, key, index, value)
	}
	first := elector.New(&intercepted, "planner", "one")
	is.NoErr(first.Campaign(t.Context()))
	paused = true
	err := first.Write(t.Context(), []byte("first"))
	var fenced *elector.FencedError
	is.True(errors.As(err, &fenced))
	is.Equal(fenced.Fence(), uint64(1))
	is.True(!first.Holds())
	is.NoErr(second.Write(t.Context(), []byte("second again")))
}

// A holder that has not renewed its lease in time stops acting as the holder by its own
// clock, without a call to the store.
func TestLeaseExpiresByTheLocalClock(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	now := time.Now()
	e := elector.New(store, "planner", "one")
	e.Now = func() time.Time { return now }
	is.NoErr(e.Campaign(t.Context()))
	is.True(e.Holds())
	now = now.Add(elector.DefaultTTL * 4 / 5)
	is.True(!e.Holds())
	var notHolder *elector.NotHolderError
	is.True(errors.As(e.Write(t.Context(), nil), &notHolder))
}

// The store applies the write, but its answer is lost. Write must find this out by
// reading the state back.
func TestWriteWithLostAnswerSucceeds(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	e := elector.New(store, "planner", "one")
	is.NoErr(e.Campaign(t.Context()))
	is.NoErr(kv.SetSwitches(url.Values{"lose-answers": {"1"}}))
	is.NoErr(e.Write(t.Context(), []byte("plan")))
	is.Equal(string(e.State()), "plan")
}

func TestRunReleasesTheRole(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	first := elector.New(store, "planner", "one")
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return first.Run(ctx) })
	deadline := time.Now().Add(10 * time.Second)
	for !first.Holds() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(first.Holds())
	cancel()
	is.NoErr(group.Wait())
	second := elector.New(store, "planner", "two")
	is.NoErr(second.Campaign(t.Context()))
	is.True(second.Holds())
}
