package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/coordinator"
	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/standin/issuer"
	"trefoilspring.example/trefoilspring/tracker"
)

// replaced is less than the time in which an unused connection idles out.
const replaced = 3 * time.Second

// forward hands packets between one client and a node until it is cut: to the
// client, the node then is a process that was killed.
type forward struct {
	front, back *net.UDPConn
	group       sync.WaitGroup
}

func newForward(t *testing.T, at, to peer.Contact) *forward {
	t.Helper()
	f := &forward{}
	var err error
	if f.front, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at.PeerAddress)); err != nil {
		t.Fatal(err)
	}
	if f.back, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0))); err != nil {
		t.Fatal(err)
	}
	var client, node atomic.Pointer[net.UDPAddr]
	node.Store(net.UDPAddrFromAddrPort(to.PeerAddress))
	f.group.Go(func() { pump(f.front, f.back, &client, &node) })
	f.group.Go(func() { pump(f.back, f.front, nil, &client) })
	t.Cleanup(f.cut)
	return f
}

func (f *forward) cut() {
	_ = f.front.Close()
	_ = f.back.Close()
	f.group.Wait()
}

// pump hands packets on until its socket closes, and notes where they come from.
func pump(from, by *net.UDPConn, source, to *atomic.Pointer[net.UDPAddr]) {
	data := make([]byte, 2048)
	for {
		n, sender, err := from.ReadFromUDP(data)
		if err != nil {
			return
		}
		if source != nil {
			source.Store(sender)
		}
		_, _ = by.WriteToUDP(data[:n], to.Load())
	}
}

// killed starts a sender with records for a peer, kills the peer, and returns the
// sender, its losses, and the contact and files of the peer, to start it again.
func killed(t *testing.T) (sender *peer.Node, lost chan tracker.MemberID, left, right peer.Contact, files peer.Files) {
	t.Helper()
	is := is.New(t)
	a := authority(t)
	files = filesOf(t, a, a, issuer.Subject{Name: "lb-2"})
	left, right = contactOf(t, "lb-1"), contactOf(t, "lb-2")
	hidden := contactOf(t, "lb-2")
	_, _ = start(t, hidden, files)
	path := newForward(t, right, hidden)
	identity, err := peer.LoadIdentity(filesOf(t, a, a, issuer.Subject{Name: "lb-1"}))
	is.NoErr(err)
	sender = peer.New(left, identity, []peer.Contact{right})
	lost = make(chan tracker.MemberID, 16)
	sender.OnLoss = func(id tracker.MemberID) { lost <- id }
	run(t, sender)
	// Not a request to join: its reply would tell where the node really listens.
	for askOnce(t.Context(), sender, right) != nil {
		time.Sleep(time.Millisecond)
	}
	sender.SendRecords(right.ID(), sent)
	path.cut()
	return sender, lost, left, right, files
}

var sent = []tracker.Record{{Service: 1, Flow: 2, Target: 3}}

// heartbeat is as long as a real one.
func heartbeat(from peer.Contact) detector.Message {
	entry := detector.Entry{ID: from.ID(), Incarnation: 1 << 30, Sequence: 1, State: detector.Ready}
	return detector.Message{From: from.ID(), Entries: []detector.Entry{entry, entry}}
}

// A peer that was killed and starts again with its name, key and address gets
// heartbeats at once, and what was written to the earlier one is told as lost.
func TestRestartedPeerIsReached(t *testing.T) {
	is := is.New(t)
	sender, lost, left, right, files := killed(t)
	_, counts := start(t, right, files)
	began := time.Now()
	for counts.get("heartbeats-received") == 0 && time.Since(began) < 3*replaced {
		sender.SendHeartbeat(right.ID(), heartbeat(left))
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("reached after %s", time.Since(began))
	is.True(time.Since(began) < replaced)
	is.Equal(<-lost, right.ID())
}

// Records that follow a request to join reach the peer that asked, although a
// connection to its earlier start still seems alive.
func TestJoiningPeerGetsRecords(t *testing.T) {
	is := is.New(t)
	sender, _, left, right, files := killed(t)
	identity, err := peer.LoadIdentity(files)
	is.NoErr(err)
	joining := peer.New(right, identity, []peer.Contact{left})
	records := make(chan []tracker.Record, 1)
	joining.OnRecords = func(r []tracker.Record) { records <- r }
	run(t, joining)
	_, err = ask(joining, left)
	is.NoErr(err)
	sender.SendRecords(right.ID(), sent)
	select {
	case got := <-records:
		is.Equal(got, sent)
	case <-time.After(replaced):
		t.Fatal("no records arrived")
	}
}

func askOnce(ctx context.Context, n *peer.Node, to peer.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err := n.Ask(ctx, to.ID(), coordinator.Request{})
	return err
}

// A node ends although a peer can't be reached and each loss has all copied again.
func TestNodeEndsBesideUnreachablePeer(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	left, missing := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	identity, err := peer.LoadIdentity(filesOf(t, a, a, issuer.Subject{Name: "lb-1"}))
	is.NoErr(err)
	n := peer.New(left, identity, []peer.Contact{missing})
	var losses atomic.Int64
	copies := func() { n.SendRecords(missing.ID(), []tracker.Record{{Service: 1, Flow: 2, Target: 3}}) }
	n.OnLoss = func(tracker.MemberID) {
		losses.Add(1)
		copies()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		return n.Run(ctx)
	})
	unknown := new(peer.UnknownPeerError)
	for errors.As(askOnce(ctx, n, missing), &unknown) { // The node does not yet run.
		time.Sleep(time.Millisecond)
	}
	copies()
	cancel()
	select {
	case <-ended:
	case <-time.After(replaced):
		t.Fatalf("still running after %d losses", losses.Load())
	}
	is.NoErr(group.Wait())
}
