package follower_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/replicator"
)

// startCores returns the cores of a zone whose balancers all start now, and the number
// of them that query the store first.
func startCores(peers []follower.Peer) (all []*follower.Core, reading int) {
	for _, self := range peers {
		c := follower.NewCore(self)
		c.Start(start, peers)
		if s, wait := c.Next(start); wait == 0 && s.IsStore() {
			reading++
		}
		all = append(all, c)
	}
	return all, reading
}

// Load pattern: all balancers of a large fleet start at once. If each of 300 balancers
// read the whole store, this would transfer 300 times 0.8 MB with 3,000 targets.
func TestOnlyReadersReadTheStoreWhenALargeFleetStarts(t *testing.T) {
	is := is.New(t)
	_, reading := startCores(zone("a", 75))
	is.Equal(reading, 2)
	// In a small fleet every balancer queries the store, and so is ready sooner.
	_, reading = startCores(zone("a", 20))
	is.Equal(reading, 20)
}

// If the readers fail at the start of a large fleet, a balancer alternates between them
// for 0.5 s, and then queries the store.
func TestStartFallsBackToStoreWithoutReaders(t *testing.T) {
	is := is.New(t)
	peers := zone("a", 75)
	all, _ := startCores(peers)
	for _, c := range all {
		now := start
		asked := make(map[string]bool)
		for now.Before(start.Add(500 * time.Millisecond)) {
			s, wait := c.Next(now)
			is.Equal(wait, time.Duration(0))
			if s.IsStore() { // this balancer is a reader
				break
			}
			asked[s.Peer.Name] = true
			c.RecordResult(now, s, 0, true)
			now = now.Add(100 * time.Millisecond)
		}
		s, _ := c.Next(start.Add(500 * time.Millisecond))
		is.True(s.IsStore())
		is.True(len(asked) == 2 || len(asked) == 0)
	}
}

// If listing the balancers fails at the start, the seeds are queried at once, without a
// second call to the store.
func TestSeedsAreAskedIfBalancersCannotBeListed(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	f := follower.New(zone("a", 1)[0])
	f.ListPeers = func(context.Context) ([]follower.Peer, error) { return nil, errors.New("down") }
	f.Seeds = func() []string { return []string{"a-7:1"} }
	f.Revision = func() uint64 { return 0 }
	f.Merge = func(replicator.Update, follower.Source) (bool, []follower.Peer) { return true, nil }
	var first follower.Source
	f.Fetch = func(_ context.Context, s follower.Source, _ uint64, _ time.Duration) (replicator.Update, error) {
		if first.IsStore() {
			first = s
		}
		stop()
		return replicator.Update{}, nil
	}
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	is.NoErr(group.Wait())
	is.Equal(first.Peer.Address, "a-7:1")
}
