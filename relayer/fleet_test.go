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
	"trefoilspring.example/trefoilspring/standin/kvserver"
	"trefoilspring.example/trefoilspring/watcher"
)

// node is the control plane of one balancer. Its messages reach the other nodes in memory.
type node struct {
	watcher   *watcher.Watcher
	relay     *relayer.Relay
	inForce   atomic.Uint64
	inForceAt atomic.Int64
	sent      atomic.Uint64
	received  atomic.Uint64
}

// fleet holds the nodes of the balancers of one availability zone, which use a stand-in
// of the platform.
type fleet struct {
	kv           *kvserver.Server
	store        *consul.Store
	publisher    *publisher.Publisher
	nodes        map[string]*node
	list         []relayer.Member
	mu           sync.Mutex
	disconnected map[string]bool
}

// startFleet starts n balancers that all know each other. Their watches wait for
// consul.DefaultWait, so that none ends without a change during a test.
func startFleet(t testing.TB, n int) *fleet {
	t.Helper()
	list := members(n)
	return startFleetOf(t, list, func(string) []relayer.Member { return list })
}

// startFleetOf starts the balancers of list. The balancer id knows the members that
// view(id) returns.
func startFleetOf(t testing.TB, list []relayer.Member, view func(id string) []relayer.Member) *fleet {
	t.Helper()
	kv := kvserver.New()
	api := httptest.NewServer(kv.API())
	f := &fleet{
		kv: kv, store: consul.New(api.URL), nodes: map[string]*node{}, list: list, disconnected: map[string]bool{},
	}
	f.publisher = publisher.New(f.store, "ops")
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, member := range f.list {
		f.nodes[member.ID] = f.newNode(member.ID, api.URL)
	}
	for id, n := range f.nodes {
		n.relay.SetMembers(view(id))
		group.Go(func() error { return n.relay.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		api.CloseClientConnections()
		api.Close()
	})
	return f
}

// newNode returns the node of the balancer id, with the platform at address. Its messages
// are lost while it or the receiver is disconnected.
func (f *fleet) newNode(id, address string) *node {
	n := &node{watcher: watcher.New(consul.New(address))}
	n.watcher.OnRecord = func(r publisher.Record) {
		n.inForceAt.Store(time.Now().UnixNano())
		n.inForce.Store(r.Revision)
	}
	n.relay = relayer.New(id, n.watcher)
	n.relay.Send = func(peer string, data []byte) {
		n.sent.Add(uint64(len(data)))
		other := f.nodes[peer]
		other.received.Add(uint64(len(data)))
		if !f.isDisconnected(id) && !f.isDisconnected(peer) {
			_ = other.relay.Receive(id, data)
		}
	}
	return n
}

func (f *fleet) isDisconnected(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disconnected[id]
}

// setDisconnected makes the messages of the balancer id, in both directions, lost or not.
func (f *fleet) setDisconnected(id string, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[id] = disconnected
}

// publish publishes d and returns its revision.
func (f *fleet) publish(t testing.TB, d operator.Document) uint64 {
	t.Helper()
	result, err := f.publisher.Publish(context.Background(), publisher.Proposal{Document: d, AllowLargeChange: true})
	if err != nil {
		t.Fatal(err)
	}
	return result.Record.Revision
}

// waitForRevision waits until the revision is in force in all nodes that are not
// disconnected, and returns the time when it came in force in the last one.
func (f *fleet) waitForRevision(t testing.TB, revision uint64) time.Time {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	last := int64(0)
	for id, n := range f.nodes {
		for !f.isDisconnected(id) && n.inForce.Load() < revision {
			if time.Now().After(deadline) {
				t.Fatalf("%s has revision %d, want %d", id, n.inForce.Load(), revision)
			}
			time.Sleep(time.Millisecond)
		}
		last = max(last, n.inForceAt.Load())
	}
	return time.Unix(0, last)
}

// fleetDocument returns a document with one zone and the number of targets, and a service
// for every 3.5 targets.
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

// withNewWeight returns d with the weight of target n changed.
func withNewWeight(d operator.Document, n int) operator.Document {
	merge := fmt.Sprintf(`{"targets":{"target-%05d":{"weight":%d}}}`, n, 2+n%90)
	next, err := operator.Apply(d, []byte(merge))
	if err != nil {
		panic(err)
	}
	return next
}

// Two balancers watch the platform, and the others get each change from these two. A
// balancer that was disconnected gets the changes that it missed from a peer.
func TestPeersGetChangesFromWatchers(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 13)
	d := fleetDocument(300)
	f.waitForRevision(t, f.publish(t, d))
	before := f.kv.Calls()
	behind := f.nonWatcher()
	f.setDisconnected(behind, true)
	for n := range 5 {
		d = withNewWeight(d, n)
		f.waitForRevision(t, f.publish(t, d))
	}
	calls := f.kv.Calls()
	// Each change ends one query of each watcher, which then starts the next one.
	is.Equal(calls.Watches-before.Watches, uint64(5*relayer.WatchersPerZone))
	f.setDisconnected(behind, false)
	f.nodes[behind].relay.ObserveRevision(f.nonWatcherExcept(behind), 6)
	f.waitForRevision(t, 6)
	is.Equal(f.nodes[behind].watcher.Record().Document.Targets["target-00004"].Weight, 6)
}

// A balancer that starts without a document while the platform is down gets the whole
// document from a peer.
func TestNewBalancerGetsFullDocumentDuringOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 13)
	newBalancer := f.nonWatcher()
	f.setDisconnected(newBalancer, true)
	f.waitForRevision(t, f.publish(t, fleetDocument(300)))
	is.NoErr(f.kv.SetSwitches(url.Values{"outage": {"on"}}))
	f.setDisconnected(newBalancer, false)
	f.nodes[newBalancer].relay.ObserveRevision(f.nonWatcherExcept(newBalancer), 1)
	f.waitForRevision(t, 1)
	is.Equal(len(f.nodes[newBalancer].watcher.Record().Document.Targets), 300)
}

// nonWatcher returns the ID of a balancer that should not watch the platform.
func (f *fleet) nonWatcher() string { return f.nonWatcherExcept("") }

// nonWatcherExcept returns the ID of a balancer that should not watch the platform, and
// that is not other.
func (f *fleet) nonWatcherExcept(other string) string {
	for _, member := range f.list {
		if member.ID != other && !relayer.ShouldWatch(member.ID, f.list) {
			return member.ID
		}
	}
	return ""
}
