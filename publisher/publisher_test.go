package publisher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/standin/keeper"
)

func newStore(t *testing.T) (*consul.Store, *keeper.Server) {
	t.Helper()
	k := keeper.New()
	api := httptest.NewServer(k.API())
	t.Cleanup(func() {
		api.CloseClientConnections()
		api.Close()
	})
	return consul.New(api.URL), k
}

// document returns one service with n targets.
func document(n int) operator.Document {
	d := operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: operator.ZoneIn}},
		Services: map[string]operator.Service{"booking-desk": {
			Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.10:443")},
			Protocol:  operator.ProtocolQUIC,
		}},
		Targets: map[string]operator.Target{},
	}
	for i := range n {
		d.Targets[fmt.Sprintf("bd-%02d", i)] = operator.Target{
			Service:          "booking-desk",
			AvailabilityZone: "ne-a",
			Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(7000+i)),
		}
	}
	return d
}

func propose(n int) publisher.Proposal {
	return publisher.Proposal{Document: document(n)}
}

func TestPublishIsIdempotent(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	first, err := p.Publish(t.Context(), propose(4))
	is.NoErr(err)
	is.True(first.Changed)
	again, err := p.Publish(t.Context(), publisher.Proposal{Document: document(4), CheckBase: true, BasedOn: 0})
	is.NoErr(err)
	is.True(!again.Changed)
	is.Equal(again.Record.ChangeID, first.Record.ChangeID)
}

// Two operators read the same revision; the write of the other comes first.
func TestRaceNamesTheOtherChange(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	job := publisher.New(store, "night-job")
	_, err := job.Publish(t.Context(), propose(4))
	is.NoErr(err)

	raced := *store
	raced.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key == publisher.DocumentKey {
			_, err := job.Publish(ctx, propose(5))
			is.NoErr(err)
		}
		return store.CompareAndSwap(ctx, key, index, value)
	}
	_, err = publisher.New(&raced, "ops").Publish(t.Context(), propose(6))
	var race *publisher.RaceError
	is.True(errors.As(err, &race))
	is.Equal(race.Base(), uint64(1))
	is.Equal(race.Other().Revision, uint64(2))
	is.Equal(race.Other().Author, "night-job")
}

func TestBaseIsChecked(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	for n := 4; n < 6; n++ {
		_, err := p.Publish(t.Context(), propose(n))
		is.NoErr(err)
	}
	_, err := p.Publish(t.Context(), publisher.Proposal{Document: document(6), CheckBase: true, BasedOn: 1})
	var race *publisher.RaceError
	is.True(errors.As(err, &race))
	is.Equal(race.Other().Revision, uint64(2))
}

// The write took effect and its answer was lost: the change is accepted, and it
// was written once.
func TestLostAnswerIsSettled(t *testing.T) {
	is := is.New(t)
	store, k := newStore(t)
	p := publisher.New(store, "ops")
	is.NoErr(k.Switch(url.Values{"lose-answers": {"1"}}))
	result, err := p.Publish(t.Context(), propose(4))
	is.NoErr(err)
	current, err := p.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.ChangeID, result.Record.ChangeID)
	is.Equal(current.Revision, uint64(1))
	is.Equal(k.Calls().Writes, uint64(1))
}

// The answer was lost, and another change has been accepted on top since.
func TestLostAnswerIsSettledByHistory(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	job := publisher.New(store, "night-job")
	_, err := job.Publish(t.Context(), propose(4))
	is.NoErr(err)
	lossy := *store
	lossy.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		err := store.CompareAndSwap(ctx, key, index, value)
		if key != publisher.DocumentKey {
			return err
		}
		is.NoErr(err)
		_, err = job.Publish(ctx, propose(6))
		is.NoErr(err)
		return consul.NewUnknownOutcomeError("compare-and-swap", key, errors.New("connection closed"))
	}
	result, err := publisher.New(&lossy, "ops").Publish(t.Context(), propose(5))
	is.NoErr(err)
	is.Equal(result.Record.Revision, uint64(2))
	current, err := job.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Revision, uint64(3))
}

// The answer was lost and the write is still on its way: after the verdict it
// must not take effect any more.
func TestLateWriteIsFenced(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	_, err := publisher.New(store, "ops").Publish(t.Context(), propose(4))
	is.NoErr(err)
	var late func() error
	delayed := *store
	delayed.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key != publisher.DocumentKey || late != nil {
			return store.CompareAndSwap(ctx, key, index, value)
		}
		late = func() error { return store.CompareAndSwap(ctx, key, index, value) }
		return consul.NewUnknownOutcomeError("compare-and-swap", key, errors.New("timeout"))
	}
	_, err = publisher.New(&delayed, "ops").Publish(t.Context(), propose(5))
	var not *publisher.NotAcceptedError
	is.True(errors.As(err, &not))
	var conflict *consul.ConflictError
	is.True(errors.As(late(), &conflict))
	current, err := publisher.New(store, "ops").Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Revision, uint64(1))
}

func TestOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	store, k := newStore(t)
	p := publisher.New(store, "ops")
	_, err := p.Publish(t.Context(), propose(4))
	is.NoErr(err)
	down := *store
	down.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key == publisher.DocumentKey {
			is.NoErr(k.Switch(url.Values{"outage": {"on"}}))
		}
		return store.CompareAndSwap(ctx, key, index, value)
	}
	p = publisher.New(&down, "ops")
	p.SettleTimeout = 200 * time.Millisecond
	_, err = p.Publish(t.Context(), propose(5))
	var unknown *publisher.OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Revision(), uint64(2))
}

func TestStoreDownBeforeTheChange(t *testing.T) {
	is := is.New(t)
	store, k := newStore(t)
	is.NoErr(k.Switch(url.Values{"outage": {"on"}}))
	_, err := publisher.New(store, "ops").Publish(t.Context(), propose(4))
	var down *consul.UnavailableError
	is.True(errors.As(err, &down))
}

func TestGuardAndRollback(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	_, err := p.Publish(t.Context(), propose(4))
	is.NoErr(err)
	_, err = p.Publish(t.Context(), propose(1))
	var loss *operator.LossError
	is.True(errors.As(err, &loss))
	is.Equal(loss.Before(), 4)
	is.Equal(loss.After(), 1)
	large := propose(1)
	large.AllowLargeChange = true
	_, err = p.Publish(t.Context(), large)
	is.NoErr(err)
	result, err := p.Rollback(t.Context(), 1, publisher.Proposal{})
	is.NoErr(err)
	is.Equal(result.Record.Revision, uint64(3))
	is.Equal(len(result.Record.Document.Targets), 4)
	_, err = p.Rollback(t.Context(), 9, publisher.Proposal{})
	var none *publisher.NoRevisionError
	is.True(errors.As(err, &none))
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	const changes = publisher.HistoryLength + 8
	for n := range changes {
		_, err := p.Publish(t.Context(), propose(10+n%2))
		is.NoErr(err)
	}
	records, err := p.History(t.Context(), changes)
	is.NoErr(err)
	is.Equal(len(records), publisher.HistoryLength+1)
	is.Equal(records[0].Revision, uint64(changes))
	is.Equal(records[len(records)-1].Revision, uint64(changes-publisher.HistoryLength))
}
