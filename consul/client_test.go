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
	"trefoilspring.example/trefoilspring/standin/keeper"
)

type bench struct {
	store  *consul.Store
	keeper *keeper.Server
	admin  string
}

func newBench(t *testing.T) bench {
	t.Helper()
	k := keeper.New()
	api := httptest.NewServer(k.API())
	admin := httptest.NewServer(k.Admin())
	t.Cleanup(func() {
		api.CloseClientConnections()
		api.Close()
		admin.Close()
	})
	return bench{store: consul.New(api.URL), keeper: k, admin: admin.URL}
}

func (b bench) set(t *testing.T, form string) {
	t.Helper()
	res, err := http.Post(b.admin+"/switch", "application/x-www-form-urlencoded", strings.NewReader(form))
	if err != nil || res.StatusCode != http.StatusNoContent {
		t.Fatalf("switching %s: %v", form, err)
	}
	res.Body.Close()
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx := t.Context()
	entry, err := b.store.Get(ctx, "a/b")
	is.NoErr(err)
	is.True(!entry.Found())
	is.NoErr(b.store.CompareAndSwap(ctx, "a/b", 0, []byte("one")))
	err = b.store.CompareAndSwap(ctx, "a/b", 0, []byte("two"))
	var conflict *consul.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Key(), "a/b")
	entry, err = b.store.Get(ctx, "a/b")
	is.NoErr(err)
	is.Equal(string(entry.Value()), "one")
	is.NoErr(b.store.CompareAndSwap(ctx, "a/b", entry.Index(), []byte("two")))
}

// A write whose answer is lost has an unknown outcome, and here took effect.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.set(t, "lose-answers=1")
	err := b.store.CompareAndSwap(t.Context(), "k", 0, []byte("v"))
	var unknown *consul.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	entry, err := b.store.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(entry.Value()), "v")
}

func TestOutageIsNotAbsence(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.set(t, "outage=on")
	_, err := b.store.Get(t.Context(), "k")
	var down *consul.UnavailableError
	is.True(errors.As(err, &down))
}

func TestWatchWaitsForChange(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx := t.Context()
	is.NoErr(b.store.CompareAndSwap(ctx, "k", 0, []byte("one")))
	entry, err := b.store.Watch(ctx, "k", 0, time.Second)
	is.NoErr(err)
	timer := time.AfterFunc(30*time.Millisecond, func() {
		_ = b.store.CompareAndSwap(context.Background(), "k", entry.Index(), []byte("two"))
	})
	defer timer.Stop()
	entry, err = b.store.Watch(ctx, "k", entry.StoreIndex(), 5*time.Second)
	is.NoErr(err)
	is.Equal(string(entry.Value()), "two")
}

func TestNextIndexGoingBackwards(t *testing.T) {
	is := is.New(t)
	is.Equal(consul.NextIndex(9, 4), uint64(0))
	is.Equal(consul.NextIndex(4, 9), uint64(9))
	is.Equal(consul.NextIndex(0, 0), uint64(1))
}

func TestSessionLapses(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx := t.Context()
	first, err := b.store.CreateSession(ctx, "one", time.Minute)
	is.NoErr(err)
	second, err := b.store.CreateSession(ctx, "two", time.Minute)
	is.NoErr(err)
	is.NoErr(b.store.Acquire(ctx, "role", first, []byte("one")))
	var conflict *consul.ConflictError
	is.True(errors.As(b.store.Acquire(ctx, "role", second, []byte("two")), &conflict))
	b.set(t, "lapse-sessions=1")
	var lapsed *consul.LapsedError
	is.True(errors.As(b.store.RenewSession(ctx, first), &lapsed))
	is.True(errors.As(b.store.Acquire(ctx, "role", first, nil), &lapsed))
	entry, err := b.store.Get(ctx, "role")
	is.NoErr(err)
	is.Equal(entry.Session(), "")
	is.Equal(entry.LockIndex(), uint64(1))
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.set(t, "read-rate=1")
	_, err := b.store.Get(t.Context(), "k")
	is.NoErr(err)
	_, err = b.store.Get(t.Context(), "k")
	var limited *consul.RateLimitedError
	is.True(errors.As(err, &limited))
	is.Equal(b.keeper.Calls().RateLimited, uint64(1))
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add(200, "7", []byte(`[{"Key":"k","Value":"djE=","ModifyIndex":7}]`))
	f.Add(404, "3", []byte(``))
	f.Add(404, "", []byte(`not found`))
	f.Add(200, "7", []byte(`[{"Key":"k","Value":"djE=","ModifyIndex":0}]`))
	f.Fuzz(func(t *testing.T, status int, index string, body []byte) {
		entry, err := consul.DecodeEntry(status, index, body)
		if err != nil && entry.Found() {
			t.Fatal("an error with an entry")
		}
		if entry.Found() != (entry.Index() > 0) {
			t.Fatal("a present entry without an index")
		}
	})
}

// A write that the platform takes after its caller has given up has an unknown
// outcome, and here takes effect late; a read was simply not run.
func TestSlowPlatform(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.set(t, "slow=300ms")
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unknown *consul.UnknownOutcomeError
	is.True(errors.As(b.store.CompareAndSwap(short, "k", 0, []byte("late")), &unknown))
	_, err := b.store.Get(short, "k")
	var down *consul.UnavailableError
	is.True(errors.As(err, &down))
	deadline := time.Now().Add(10 * time.Second)
	for {
		entry, err := b.store.Get(t.Context(), "k")
		is.NoErr(err)
		if entry.Found() {
			is.Equal(string(entry.Value()), "late")
			return
		}
		is.True(time.Now().Before(deadline))
	}
}
