package balancer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/balancer"
	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/platform"
)

// newRegisteredNode returns a node that has registered, and its store.
func newRegisteredNode(t *testing.T) (*node, *store) {
	t.Helper()
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitPeers(t, 1)
	return n, s
}

// restart ends a node and starts another one with the same settings.
func restart(t *testing.T, n *node, s *store) *node {
	t.Helper()
	n.stop()
	is.New(t).NoErr(n.group.Wait())
	again := &node{settings: n.settings}
	again.balancer = balancer.New(n.settings, platform.Fabric(), s.directory(), newLogger(&again.log))
	again.start(t)
	return again
}

// Load pattern: all balancers start again at once. Each makes one renewal, which is a read,
// and no write.
func TestRestartedBalancerKeepsItsRegistration(t *testing.T) {
	is := is.New(t)
	n, s := newRegisteredNode(t)
	is.Equal(s.leases.Load(), int64(1))
	again := restart(t, n, s)
	again.awaitReadiness(t, 200)
	eventually(t, "renewal", func() bool { return s.renewals.Load() == 1 })
	is.Equal(s.leases.Load(), int64(1))
}

// The registration of an earlier run ends with its lease.
func TestRestartedBalancerRegistersAgainIfTheLeaseHasEnded(t *testing.T) {
	is := is.New(t)
	n, s := newRegisteredNode(t)
	s.endedLeases.Store(1)
	again := restart(t, n, s)
	again.awaitReadiness(t, 200)
	eventually(t, "second lease", func() bool { return s.leases.Load() == 2 })
	is.Equal(s.renewals.Load(), int64(1))
}

// A balancer at another address must not count on a registration that names the old one.
func TestBalancerAtAnotherAddressRegistersAgain(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	s.set("trefoilspring/balancers/n1", `{"availability-zone":"a","address":"127.0.0.1:9","strength":0,"lease":7}`)
	n := newNode(t, "n1", s)
	n.start(t)
	eventually(t, "a lease", func() bool { return s.leases.Load() == 1 })
}

// Without an answer to the listing the balancer still registers.
func TestBalancerRegistersAfterAnOutage(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	s.setDown(true)
	n := newNode(t, "n1", s)
	n.start(t)
	eventually(t, "failure", func() bool { return n.log.contains("registration failed") })
	s.setDown(false)
	n.awaitPeers(t, 1)
}

// Guards against a balancer that the others don't count for up to 6 s, until its next
// renewal, after its lease ran out while the store was down.
func TestLostRegistrationIsWrittenAgainAtOnce(t *testing.T) {
	is := is.New(t)
	n, s := newRegisteredNode(t)
	s.endedLeases.Store(1)
	lost := time.Now()
	s.set("trefoilspring/balancers/n1", "")
	eventually(t, "second lease", func() bool { return s.leases.Load() == 2 })
	is.True(time.Since(lost) < director.ReregistrationSpread+2*time.Second) // the view's lag
	n.awaitPeers(t, 1)
}

// Guards against a registration that is written again at each renewal, since its address was
// replaced on the way, as by a proxy.
func TestRegistrationWithAReplacedAddressIsKept(t *testing.T) {
	is := is.New(t)
	s := &store{rewrite: func(value string) string { return strings.Replace(value, nodeAddress, "127.0.0.9", 1) }}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitPeers(t, 1)
	eventually(t, "renewal", func() bool { return s.renewals.Load() == 1 })
	time.Sleep(500 * time.Millisecond)
	is.Equal(s.leases.Load(), int64(1))
}
