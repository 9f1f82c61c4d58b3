package peer_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
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

var loopback = netip.MustParseAddr("127.0.0.1")

// counter counts events by name.
type counter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *counter) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	c.counts[name] += n
}

func (c *counter) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func contactOf(t *testing.T, name string) peer.Contact {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return peer.Contact{Name: name, AvailabilityZone: "ne-a", PeerAddress: address, DataAddress: address}
}

func filesOf(t *testing.T, a *issuer.Authority, trusted *issuer.Authority, who issuer.Subject) peer.Files {
	t.Helper()
	folder := t.TempDir()
	files := peer.Files{
		Certificate: filepath.Join(folder, "own.pem"),
		Key:         filepath.Join(folder, "own.key"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	who.Address = loopback
	if err := a.Issue(who, files.Certificate, files.Key); err != nil {
		t.Fatal(err)
	}
	if err := trusted.Write(files.Authority); err != nil {
		t.Fatal(err)
	}
	return files
}

func authority(t *testing.T) *issuer.Authority {
	t.Helper()
	a, err := issuer.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// start runs a node and returns it with its counts.
func start(t *testing.T, self peer.Contact, files peer.Files, contacts ...peer.Contact) (*peer.Node, *counter) {
	t.Helper()
	identity, err := peer.LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	n := peer.New(self, identity, contacts)
	counts := &counter{}
	n.Count = counts.add
	n.OnRequest = func(tracker.MemberID, coordinator.Request) coordinator.Reply {
		return coordinator.Reply{State: detector.Ready, Active: []byte(self.Name)}
	}
	run(t, n)
	return n, counts
}

func run(t *testing.T, n *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// ask repeats a request until the node has started, for 5 s at most.
func ask(n *peer.Node, to peer.Contact) (coordinator.Reply, error) {
	var reply coordinator.Reply
	var err error
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err = n.Ask(ctx, to.ID(), coordinator.Request{Join: true})
		cancel()
		if err == nil {
			return reply, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return reply, err
}

func TestRequestRecordsAndHeartbeatArrive(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	records := make(chan []tracker.Record, 1)
	beats := make(chan detector.Message, 16)
	receiver, _ := start(t, right, filesOf(t, a, a, issuer.Subject{Name: "lb-2"}))
	_ = receiver
	sender, _ := start(t, left, filesOf(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	reply, err := ask(sender, right)
	is.NoErr(err)
	is.Equal(string(reply.Active), "lb-2")
	is.Equal(len(receiver.Contacts()), 1) // The asked one knows who asked.

	third := contactOf(t, "lb-3")
	identity, err := peer.LoadIdentity(filesOf(t, a, a, issuer.Subject{Name: "lb-3"}))
	is.NoErr(err)
	n := peer.New(third, identity, nil)
	n.OnRecords = func(r []tracker.Record) { records <- r }
	n.OnHeartbeat = func(m detector.Message) { beats <- m }
	run(t, n)
	sender.AddContacts([]peer.Contact{third})
	_, err = ask(sender, third)
	is.NoErr(err)
	sent := []tracker.Record{{Service: 1, Flow: 2, Target: 3}}
	sender.SendRecords(third.ID(), sent)
	sender.SendHeartbeat(third.ID(), detector.Message{From: left.ID()})
	is.Equal(<-records, sent)
	is.Equal((<-beats).From, left.ID())
}

func TestWrongCertificatesAreRefusedAndCounted(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	cases := map[string]struct {
		issuing *issuer.Authority
		who     issuer.Subject
	}{
		"another authority": {theirs, issuer.Subject{Name: "lb-1"}},
		"expired":           {ours, issuer.Subject{Name: "lb-1", Expires: time.Now().Add(-time.Minute)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
			_, counts := start(t, right, filesOf(t, ours, ours, issuer.Subject{Name: "lb-2"}))
			sender, _ := start(t, left, filesOf(t, c.issuing, ours, c.who), right)
			_, err := ask(sender, right)
			is.True(err != nil)
			is.True(counts.get("handshake-refused") > 0)
		})
	}
}

func TestPeerCannotSpeakForAnother(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	_, counts := start(t, right, filesOf(t, a, a, issuer.Subject{Name: "lb-2"}))
	forger, _ := start(t, left, filesOf(t, a, a, issuer.Subject{Name: "lb-9"}), right)
	_, err := ask(forger, right)
	is.True(err != nil)
	is.True(counts.get("forged-sender") > 0)
}

func TestServerUnderAnotherNameIsNotTrusted(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	start(t, right, filesOf(t, a, a, issuer.Subject{Name: "lb-9"}))
	sender, _ := start(t, left, filesOf(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	_, err := ask(sender, right)
	is.True(err != nil)
}

func TestReplacedFilesAreTakenUp(t *testing.T) {
	is := is.New(t)
	before, after := authority(t), authority(t)
	files := filesOf(t, before, before, issuer.Subject{Name: "lb-2"})
	left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	start(t, right, files)
	is.NoErr(after.Issue(issuer.Subject{Name: "lb-2", Address: loopback}, files.Certificate, files.Key))
	is.NoErr(after.Write(files.Authority))
	is.NoErr(os.Chtimes(files.Authority, time.Time{}, time.Now().Add(time.Second)))
	sender, _ := start(t, left, filesOf(t, after, after, issuer.Subject{Name: "lb-1"}), right)
	_, err := ask(sender, right)
	is.NoErr(err)
}

func TestIdentityNeedsValidFiles(t *testing.T) {
	is := is.New(t)
	_, err := peer.LoadIdentity(peer.Files{Certificate: "missing.pem", Key: "missing.key", Authority: "missing.pem"})
	is.True(err != nil)
}

func TestUnansweredRequestDropsItsConnection(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	left, right := contactOf(t, "lb-1"), contactOf(t, "lb-2")
	identity, err := peer.LoadIdentity(filesOf(t, a, a, issuer.Subject{Name: "lb-2"}))
	is.NoErr(err)
	silent := make(chan struct{})
	n := peer.New(right, identity, nil)
	n.OnRequest = func(tracker.MemberID, coordinator.Request) coordinator.Reply {
		<-silent
		return coordinator.Reply{}
	}
	run(t, n)
	sender, counts := start(t, left, filesOf(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	for begin := time.Now(); counts.get("connection-dropped") == 0 && time.Since(begin) < 5*time.Second; {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = sender.Ask(ctx, right.ID(), coordinator.Request{Join: true})
		cancel()
		is.True(err != nil)
	}
	is.True(counts.get("connection-dropped") > 0)
	close(silent)
	_, err = ask(sender, right)
	is.NoErr(err)
}
