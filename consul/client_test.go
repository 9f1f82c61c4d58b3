package consul_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

// fixture holds a Store that is connected to a stand-in of the platform, the
// stand-in, and the URL of the stand-in's fault API.
type fixture struct {
	store *consul.Store
	kv    *kvserver.Server
	admin string
}

// newFixture starts a stand-in of the platform, which is closed when the test ends.
func newFixture(t *testing.T) fixture {
	t.Helper()
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	admin := httptest.NewServer(kv.Admin())
	t.Cleanup(func() {
		api.CloseClientConnections()
		api.Close()
		admin.Close()
	})
	return fixture{store: consul.New(api.URL), kv: kv, admin: admin.URL}
}

// setFault switches a fault of the stand-in on or off.
func (f fixture) setFault(t *testing.T, form string) {
	t.Helper()
	res, err := http.Post(f.admin+"/switch", "application/x-www-form-urlencoded", strings.NewReader(form))
	if err != nil || res.StatusCode != http.StatusNoContent {
		t.Fatalf("switching %s: %v", form, err)
	}
	res.Body.Close()
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := t.Context()
	entry, err := f.store.Get(ctx, "a/b")
	is.NoErr(err)
	is.True(!entry.Found())
	is.NoErr(f.store.CompareAndSwap(ctx, "a/b", 0, []byte("one")))
	err = f.store.CompareAndSwap(ctx, "a/b", 0, []byte("two"))
	var conflict *consul.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Key(), "a/b")
	entry, err = f.store.Get(ctx, "a/b")
	is.NoErr(err)
	is.Equal(string(entry.Value()), "one")
	is.NoErr(f.store.CompareAndSwap(ctx, "a/b", entry.Index(), []byte("two")))
}

// The response to a write that took effect is lost: the outcome is unknown.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setFault(t, "lose-answers=1")
	err := f.store.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
	var unknown *consul.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	entry, err := f.store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(entry.Value()), "v")
}

// A read during an outage must fail, and not report the key as absent.
func TestOutageIsNotAbsentKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setFault(t, "outage=on")
	_, err := f.store.Get(t.Context(), "k")
	var unavailable *consul.UnavailableError
	is.True(errors.As(err, &unavailable))
}

func TestWatchWaitsForChange(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := t.Context()
	is.NoErr(f.store.CompareAndSwap(ctx, "k", 0, []byte("one")))
	entry, err := f.store.Watch(ctx, "k", 0, time.Second)
	is.NoErr(err)
	timer := time.AfterFunc(30*time.Millisecond, func() {
		_ = f.store.CompareAndSwap(context.Background(), "k", entry.Index(), []byte("two"))
	})
	defer timer.Stop()
	entry, err = f.store.Watch(ctx, "k", entry.StoreIndex(), 5*time.Second)
	is.NoErr(err)
	is.Equal(string(entry.Value()), "two")
}

// A decreased index starts the watch from the beginning.
func TestNextIndexGoingBackwards(t *testing.T) {
	is := is.New(t)
	is.Equal(consul.NextIndex(9, 4), uint64(0))
	is.Equal(consul.NextIndex(4, 9), uint64(9))
	is.Equal(consul.NextIndex(0, 0), uint64(1))
}

// The lock of a session that lapsed is released, and the session can neither be
// renewed nor acquire the key again.
func TestLapsedSessionLosesLock(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx := t.Context()
	first, err := f.store.CreateSession(ctx, "one", time.Minute)
	is.NoErr(err)
	second, err := f.store.CreateSession(ctx, "two", time.Minute)
	is.NoErr(err)
	is.NoErr(f.store.Acquire(ctx, "role", first, []byte("one")))
	var conflict *consul.ConflictError
	is.True(errors.As(f.store.Acquire(ctx, "role", second, []byte("two")), &conflict))
	f.setFault(t, "lapse-sessions=1")
	var lapsed *consul.SessionLapsedError
	is.True(errors.As(f.store.RenewSession(ctx, first), &lapsed))
	is.True(errors.As(f.store.Acquire(ctx, "role", first, nil), &lapsed))
	entry, err := f.store.Get(ctx, "role")
	is.NoErr(err)
	is.Equal(entry.Session(), "")
	is.Equal(entry.LockIndex(), uint64(1))
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setFault(t, "read-rate=1")
	_, err := f.store.Get(t.Context(), "k")
	is.NoErr(err)
	_, err = f.store.Get(t.Context(), "k")
	var limited *consul.RateLimitedError
	is.True(errors.As(err, &limited))
	is.Equal(f.kv.Calls().RateLimited, uint64(1))
}

// For any response, DecodeEntry returns an index exactly if the key exists, and
// never returns an existing entry together with an error.
func FuzzDecodeEntry(f *testing.F) {
	f.Add(200, "7", []byte(`[{"Key":"k","Value":"djE=","ModifyIndex":7}]`))
	f.Add(404, "3", []byte(``))
	f.Add(404, "", []byte(`not found`))
	f.Add(200, "7", []byte(`[{"Key":"k","Value":"djE=","ModifyIndex":0}]`))
	f.Fuzz(func(t *testing.T, status int, index string, body []byte) {
		entry, err := consul.DecodeEntry(status, index, body)
		if err != nil && entry.Found() {
			t.Fatal("DecodeEntry returned both an error and an existing entry")
		}
		if entry.Found() != (entry.Index() > 0) {
			t.Fatal("the entry exists without an index, or has an index but does not exist")
		}
	})
}

// A write that times out at the client has an unknown outcome; here it takes effect
// later. A read that times out is merely unavailable.
func TestSlowPlatform(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setFault(t, "slow=300ms")
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unknown *consul.UnknownOutcomeError
	is.True(errors.As(f.store.CompareAndSwap(shortCtx, "k", 0, []byte("late")), &unknown))
	_, err := f.store.Get(shortCtx, "k")
	var unavailable *consul.UnavailableError
	is.True(errors.As(err, &unavailable))
	deadline := time.Now().Add(10 * time.Second)
	for {
		entry, err := f.store.Get(t.Context(), "k")
		is.NoErr(err)
		if entry.Found() {
			is.Equal(string(entry.Value()), "late")
			return
		}
		is.True(time.Now().Before(deadline))
	}
}
