package relayer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/consul"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/relayer"
	"trefoilspring.example/trefoilspring/standin/keeper"
	"trefoilspring.example/trefoilspring/watcher"
)

// daemon is one balancer's control side, linked to the others in memory.
type daemon struct {
	watcher  *watcher.Watcher
	relay    *relayer.Relay
	inForce  atomic.Uint64
	tookAt   atomic.Int64
	sent     atomic.Uint64
	received atomic.Uint64
}

// fleet is the balancers of one availability zone before a platform stand-in.
type fleet struct {
	keeper    *keeper.Server
	store     *consul.Store
	publisher *publisher.Publisher
	daemons   map[string]*daemon
	list      []relayer.Member
	mu        sync.Mutex
	cut       map[string]bool
}

// startFleet starts n balancers, whose watches wait for a minute.
func startFleet(t testing.TB, n int) *fleet {
	t.Helper()
	list := members(n)
	return startFleetOf(t, list, func(string) []relayer.Member { return list })
}

// startFleetOf starts balancers, of which each sees the peers that view returns.
func startFleetOf(t testing.TB, list []relayer.Member, view func(id string) []relayer.Member) *fleet {
	t.Helper()
	k := keeper.New()
	api := httptest.NewServer(k.API())
	f := &fleet{
		keeper: k, store: consul.New(api.URL), daemons: map[string]*daemon{}, list: list, cut: map[string]bool{},
	}
	f.publisher = publisher.New(f.store, "ops")
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, member := range f.list {
		f.daemons[member.ID] = f.newDaemon(member.ID, api.URL)
	}
	for id, d := range f.daemons {
		d.relay.SetMembers(view(id))
		group.Go(func() error { return d.relay.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		api.CloseClientConnections()
		api.Close()
	})
	return f
}

func (f *fleet) newDaemon(id, address string) *daemon {
	d := &daemon{watcher: watcher.New(consul.New(address))}
	d.watcher.OnDocument = func(r publisher.Record) {
		d.tookAt.Store(time.Now().UnixNano())
		d.inForce.Store(r.Revision)
	}
	d.relay = relayer.New(id, d.watcher)
	d.relay.Send = func(peer string, data []byte) {
		d.sent.Add(uint64(len(data)))
		other := f.daemons[peer]
		other.received.Add(uint64(len(data)))
		if !f.isCut(id) && !f.isCut(peer) {
			_ = other.relay.Receive(id, data)
		}
	}
	return d
}

func (f *fleet) isCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[id]
}

func (f *fleet) setCut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

// publish makes d the accepted document and returns its revision.
func (f *fleet) publish(t testing.TB, d operator.Document) uint64 {
	t.Helper()
	result, err := f.publisher.Publish(context.Background(), publisher.Proposal{Document: d, AllowLargeChange: true})
	if err != nil {
		t.Fatal(err)
	}
	return result.Record.Revision
}

// await waits until all daemons that are not cut off have the revision, and
// returns when the last one took it.
func (f *fleet) await(t testing.TB, revision uint64) time.Time {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	last := int64(0)
	for id, d := range f.daemons {
		for !f.isCut(id) && d.inForce.Load() < revision {
			if time.Now().After(deadline) {
				t.Fatalf("%s has revision %d in place of %d", id, d.inForce.Load(), revision)
			}
			time.Sleep(time.Millisecond)
		}
		last = max(last, d.tookAt.Load())
	}
	return time.Unix(0, last)
}

func fleetDocument(targets int) operator.Document {
	d := operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{},
		Services:          map[string]operator.Service{},
		Targets:           map[string]operator.Target{},
	}
	d.AvailabilityZones["zone-00"] = operator.AvailabilityZone{State: operator.ZoneIn}
	for i := range targets {
		service := fmt.Sprintf("service-%04d", i*2/7)
		d.Services[service] = operator.Service{Addresses: ports(198, i*2/7, 443), Protocol: operator.ProtocolQUIC}
		d.Targets[fmt.Sprintf("target-%05d", i)] = operator.Target{
			Service: service, AvailabilityZone: "zone-00", Address: ports(10, i, 7001)[0], Weight: 1,
		}
	}
	return d
}

// changed returns d with another weight of target n.
func changed(d operator.Document, n int) operator.Document {
	merge := fmt.Sprintf(`{"targets":{"target-%05d":{"weight":%d}}}`, n, 2+n%90)
	next, err := operator.Apply(d, []byte(merge))
	if err != nil {
		panic(err)
	}
	return next
}

// Two balancers watch; the others take each change from them, also one that was
// cut off meanwhile.
func TestPeersAreTold(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 13)
	d := fleetDocument(300)
	f.await(t, f.publish(t, d))
	before := f.keeper.Calls()
	behind := f.nonWatcher()
	f.setCut(behind, true)
	for n := range 5 {
		d = changed(d, n)
		f.await(t, f.publish(t, d))
	}
	calls := f.keeper.Calls()
	// Each watch waits once more after each change.
	is.Equal(calls.Watches-before.Watches, uint64(5*relayer.WatchersPerZone))
	f.setCut(behind, false)
	f.daemons[behind].relay.Heard(f.nonWatcherBut(behind), 6)
	f.await(t, 6)
	is.Equal(f.daemons[behind].watcher.Record().Document.Targets["target-00004"].Weight, 6)
}

// A balancer that starts without memory while the platform is down takes the
// whole document from a peer.
func TestNewcomerDuringOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 13)
	newcomer := f.nonWatcher()
	f.setCut(newcomer, true)
	f.await(t, f.publish(t, fleetDocument(300)))
	is.NoErr(f.keeper.Switch(url.Values{"outage": {"on"}}))
	f.setCut(newcomer, false)
	f.daemons[newcomer].relay.Heard(f.nonWatcherBut(newcomer), 1)
	f.await(t, 1)
	is.Equal(len(f.daemons[newcomer].watcher.Record().Document.Targets), 300)
}

func (f *fleet) nonWatcher() string { return f.nonWatcherBut("") }

func (f *fleet) nonWatcherBut(other string) string {
	for _, member := range f.list {
		if member.ID != other && !relayer.Watches(member.ID, f.list) {
			return member.ID
		}
	}
	return ""
}
