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

// restartDeadline is less than the idle timeout of a connection, 5 s.
const restartDeadline = 3 * time.Second

// udpProxy relays packets between one client and a node. Stopping it looks to the client
// as if the node's process was killed: packets get no answer and no QUIC close arrives.
type udpProxy struct {
	clientSocket, nodeSocket *net.UDPConn
	group                    sync.WaitGroup
}

// newUDPProxy starts a proxy that listens on the peer address of listen and relays to
// that of to.
func newUDPProxy(t *testing.T, listen, to peer.Contact) *udpProxy {
	t.Helper()
	p := &udpProxy{}
	var err error
	if p.clientSocket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen.PeerAddress)); err != nil {
		t.Fatal(err)
	}
	if p.nodeSocket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0))); err != nil {
		t.Fatal(err)
	}
	var client, node atomic.Pointer[net.UDPAddr]
	node.Store(net.UDPAddrFromAddrPort(to.PeerAddress))
	p.group.Go(func() { relay(p.clientSocket, p.nodeSocket, &client, &node) })
	p.group.Go(func() { relay(p.nodeSocket, p.clientSocket, nil, &client) })
	t.Cleanup(p.stop)
	return p
}

// stop closes both sockets and waits until no packet is relayed any more.
func (p *udpProxy) stop() {
	_ = p.clientSocket.Close()
	_ = p.nodeSocket.Close()
	p.group.Wait()
}

// relay forwards packets that arrive on from through the socket by to the address to,
// until a socket is closed. It stores the sender's address if senderAddress is not nil.
func relay(from, by *net.UDPConn, senderAddress, to *atomic.Pointer[net.UDPAddr]) {
	data := make([]byte, 2048)
	for {
		n, sender, err := from.ReadFromUDP(data)
		if err != nil {
			return
		}
		if senderAddress != nil {
			senderAddress.Store(sender)
		}
		_, _ = by.WriteToUDP(data[:n], to.Load())
	}
}

// startAndKillPeer runs a sender, sends records to a peer and kills the peer. It returns
// the sender, the channel of its OnRecordsLost calls, the contacts of the sender (left)
// and of the peer (right), and the peer's certificate files, to restart it with them.
func startAndKillPeer(t *testing.T) (sender *peer.Node, losses chan tracker.MemberID, left, right peer.Contact, files peer.IdentityFiles) {
	t.Helper()
	is := is.New(t)
	a := newAuthority(t)
	files = issueFiles(t, a, a, issuer.Subject{Name: "lb-2"})
	left, right = newContact(t, "lb-1"), newContact(t, "lb-2")
	behindProxy := newContact(t, "lb-2")
	_, _ = startNode(t, behindProxy, files)
	proxy := newUDPProxy(t, right, behindProxy)
	identity, err := peer.LoadIdentity(issueFiles(t, a, a, issuer.Subject{Name: "lb-1"}))
	is.NoErr(err)
	sender = peer.New(left, identity, []peer.Contact{right})
	losses = make(chan tracker.MemberID, 16)
	sender.OnRecordsLost = func(id tracker.MemberID) { losses <- id }
	runNode(t, sender)
	// A request to join would not do: its reply holds the address behind the proxy.
	for requestOnce(t.Context(), sender, right) != nil {
		time.Sleep(time.Millisecond)
	}
	sender.SendRecords(right.ID(), testRecords)
	proxy.stop()
	return sender, losses, left, right, files
}

var testRecords = []tracker.Record{{Service: 1, Flow: 2, Target: 3}}

// newHeartbeat returns a message with two entries, about as long as in operation.
func newHeartbeat(from peer.Contact) detector.Message {
	entry := detector.Entry{ID: from.ID(), Incarnation: 1 << 30, Sequence: 1, State: detector.Ready}
	return detector.Message{From: from.ID(), Entries: []detector.Entry{entry, entry}}
}

// Guards against heartbeats to a restarted peer being written to the connection from
// before the restart until its idle timeout. The records sent before the restart must be
// reported as lost.
func TestRestartedPeerGetsHeartbeats(t *testing.T) {
	is := is.New(t)
	sender, lost, left, right, files := startAndKillPeer(t)
	_, counts := startNode(t, right, files)
	began := time.Now()
	for counts.get("heartbeats-received") == 0 && time.Since(began) < 3*restartDeadline {
		sender.SendHeartbeat(right.ID(), newHeartbeat(left))
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("first heartbeat received after %s", time.Since(began))
	is.True(time.Since(began) < restartDeadline)
	is.Equal(<-lost, right.ID())
}

// Guards against records being written to the connection from before the restart, which
// still seems alive, after the restarted peer has sent a request to join.
func TestJoiningPeerGetsRecords(t *testing.T) {
	is := is.New(t)
	sender, _, left, right, files := startAndKillPeer(t)
	identity, err := peer.LoadIdentity(files)
	is.NoErr(err)
	joining := peer.New(right, identity, []peer.Contact{left})
	records := make(chan []tracker.Record, 1)
	joining.OnRecords = func(r []tracker.Record) { records <- r }
	runNode(t, joining)
	_, err = requestWithRetry(joining, left)
	is.NoErr(err)
	sender.SendRecords(right.ID(), testRecords)
	select {
	case got := <-records:
		is.Equal(got, testRecords)
	case <-time.After(restartDeadline):
		t.Fatal("the restarted peer received no records")
	}
}

// requestOnce sends a request that is not a request to join, with a timeout of 100 ms.
func requestOnce(ctx context.Context, n *peer.Node, to peer.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err := n.SendRequest(ctx, to.ID(), coordinator.Request{})
	return err
}

// Guards against a node that never stops: with an unreachable peer, each loss of records
// sends them again, which fails and reports the next loss.
func TestNodeStopsWithUnreachablePeer(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	left, unreachable := newContact(t, "lb-1"), newContact(t, "lb-2")
	identity, err := peer.LoadIdentity(issueFiles(t, a, a, issuer.Subject{Name: "lb-1"}))
	is.NoErr(err)
	n := peer.New(left, identity, []peer.Contact{unreachable})
	var losses atomic.Int64
	sendRecords := func() { n.SendRecords(unreachable.ID(), []tracker.Record{{Service: 1, Flow: 2, Target: 3}}) }
	n.OnRecordsLost = func(tracker.MemberID) {
		losses.Add(1)
		sendRecords()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		return n.Run(ctx)
	})
	unknown := new(peer.UnknownPeerError)
	for errors.As(requestOnce(ctx, n, unreachable), &unknown) { // The node is not running yet.
		time.Sleep(time.Millisecond)
	}
	sendRecords()
	cancel()
	select {
	case <-stopped:
	case <-time.After(restartDeadline):
		t.Fatalf("the node still runs after %d calls of OnRecordsLost", losses.Load())
	}
	is.NoErr(group.Wait())
}
