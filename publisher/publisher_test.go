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
	"trefoilspring.example/trefoilspring/standin/kvserver"
)

// newStore returns a store on a new stand-in of the platform, and the stand-in.
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

// newDocument returns a document with one service that has n targets.
func newDocument(n int) operator.Document {
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

// newProposal proposes a document with n targets.
func newProposal(n int) publisher.Proposal {
	return publisher.Proposal{Document: newDocument(n)}
}

// Publishing the accepted document again makes no new revision, even with
// an outdated base.
func TestPublishIsIdempotent(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	first, err := p.Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	is.True(first.Changed)
	again, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(4), CheckBase: true, BasedOn: 0})
	is.NoErr(err)
	is.True(!again.Changed)
	is.Equal(again.Record.ChangeID, first.Record.ChangeID)
}

// Two publishers change the same revision, and the other one's write comes first.
// The error of the second names the change that was accepted.
func TestRaceErrorNamesAcceptedChange(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	nightJob := publisher.New(store, "night-job")
	_, err := nightJob.Publish(t.Context(), newProposal(4))
	is.NoErr(err)

	racedStore := *store
	racedStore.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key == publisher.DocumentKey {
			_, err := nightJob.Publish(ctx, newProposal(5))
			is.NoErr(err)
		}
		return store.CompareAndSwap(ctx, key, index, value)
	}
	_, err = publisher.New(&racedStore, "ops").Publish(t.Context(), newProposal(6))
	var race *publisher.RaceError
	is.True(errors.As(err, &race))
	is.Equal(race.Base(), uint64(1))
	is.Equal(race.Accepted().Revision, uint64(2))
	is.Equal(race.Accepted().Author, "night-job")
}

func TestProposalOnOldBaseIsRefused(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	for n := 4; n < 6; n++ {
		_, err := p.Publish(t.Context(), newProposal(n))
		is.NoErr(err)
	}
	_, err := p.Publish(t.Context(), publisher.Proposal{Document: newDocument(6), CheckBase: true, BasedOn: 1})
	var race *publisher.RaceError
	is.True(errors.As(err, &race))
	is.Equal(race.Accepted().Revision, uint64(2))
}

// The response to a write that took effect is lost. Publish reports the change as
// accepted, and does not write it a second time.
func TestLostResponseIsResolvedByRoot(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	p := publisher.New(store, "ops")
	is.NoErr(kv.SetSwitches(url.Values{"lose-answers": {"1"}}))
	result, err := p.Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	current, err := p.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.ChangeID, result.Record.ChangeID)
	is.Equal(current.Revision, uint64(1))
	is.Equal(kv.Calls().Writes, uint64(1))
}

// The response to a write that took effect is lost, and another change is accepted
// before Publish reads the root again. Publish finds its change in the history.
func TestLostResponseIsResolvedFromHistory(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	nightJob := publisher.New(store, "night-job")
	_, err := nightJob.Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	lossyStore := *store
	lossyStore.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		err := store.CompareAndSwap(ctx, key, index, value)
		if key != publisher.DocumentKey {
			return err
		}
		is.NoErr(err)
		_, err = nightJob.Publish(ctx, newProposal(6))
		is.NoErr(err)
		return consul.NewUnknownOutcomeError("compare-and-swap", key, errors.New("connection closed"))
	}
	result, err := publisher.New(&lossyStore, "ops").Publish(t.Context(), newProposal(5))
	is.NoErr(err)
	is.Equal(result.Record.Revision, uint64(2))
	current, err := nightJob.Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Revision, uint64(3))
}

// The response to a write is lost, and the write arrives only later. Once Publish
// has reported that the change was not accepted, the delayed write must fail.
func TestDelayedWriteIsFenced(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	_, err := publisher.New(store, "ops").Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	var delayedWrite func() error
	delayingStore := *store
	delayingStore.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key != publisher.DocumentKey || delayedWrite != nil {
			return store.CompareAndSwap(ctx, key, index, value)
		}
		delayedWrite = func() error { return store.CompareAndSwap(ctx, key, index, value) }
		return consul.NewUnknownOutcomeError("compare-and-swap", key, errors.New("timeout"))
	}
	_, err = publisher.New(&delayingStore, "ops").Publish(t.Context(), newProposal(5))
	var notAccepted *publisher.NotAcceptedError
	is.True(errors.As(err, &notAccepted))
	var conflict *consul.ConflictError
	is.True(errors.As(delayedWrite(), &conflict))
	current, err := publisher.New(store, "ops").Current(t.Context())
	is.NoErr(err)
	is.Equal(current.Revision, uint64(1))
}

// The platform fails during the write and can't be read afterwards, so Publish
// can't determine the outcome.
func TestOutcomeUnknownDuringOutage(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	p := publisher.New(store, "ops")
	_, err := p.Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	failingStore := *store
	failingStore.CompareAndSwap = func(ctx context.Context, key string, index uint64, value []byte) error {
		if key == publisher.DocumentKey {
			is.NoErr(kv.SetSwitches(url.Values{"outage": {"on"}}))
		}
		return store.CompareAndSwap(ctx, key, index, value)
	}
	p = publisher.New(&failingStore, "ops")
	p.ResolveTimeout = 200 * time.Millisecond
	_, err = p.Publish(t.Context(), newProposal(5))
	var unknown *publisher.OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Revision(), uint64(2))
}

func TestPublishDuringOutage(t *testing.T) {
	is := is.New(t)
	store, kv := newStore(t)
	is.NoErr(kv.SetSwitches(url.Values{"outage": {"on"}}))
	_, err := publisher.New(store, "ops").Publish(t.Context(), newProposal(4))
	var unavailable *consul.UnavailableError
	is.True(errors.As(err, &unavailable))
}

// A change that removes most targets is refused unless it is allowed explicitly,
// and can be rolled back.
func TestLargeChangeGuardAndRollback(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	_, err := p.Publish(t.Context(), newProposal(4))
	is.NoErr(err)
	_, err = p.Publish(t.Context(), newProposal(1))
	var loss *operator.LossError
	is.True(errors.As(err, &loss))
	is.Equal(loss.Before(), 4)
	is.Equal(loss.After(), 1)
	large := newProposal(1)
	large.AllowLargeChange = true
	_, err = p.Publish(t.Context(), large)
	is.NoErr(err)
	result, err := p.Rollback(t.Context(), 1, publisher.Proposal{})
	is.NoErr(err)
	is.Equal(result.Record.Revision, uint64(3))
	is.Equal(len(result.Record.Document.Targets), 4)
	_, err = p.Rollback(t.Context(), 9, publisher.Proposal{})
	var missing *publisher.NoRevisionError
	is.True(errors.As(err, &missing))
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store, _ := newStore(t)
	p := publisher.New(store, "ops")
	const changes = publisher.HistoryLength + 8
	for n := range changes {
		_, err := p.Publish(t.Context(), newProposal(10+n%2))
		is.NoErr(err)
	}
	records, err := p.History(t.Context(), changes)
	is.NoErr(err)
	is.Equal(len(records), publisher.HistoryLength+1)
	is.Equal(records[0].Revision, uint64(changes))
	is.Equal(records[len(records)-1].Revision, uint64(changes-publisher.HistoryLength))
}
