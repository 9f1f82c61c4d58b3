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

// counter holds the event counts of a node. It is safe for concurrent use.
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

// newContact returns a contact whose UDP port is free.
func newContact(t *testing.T, name string) peer.Contact {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return peer.Contact{Name: name, AvailabilityZone: "ne-a", PeerAddress: address, DataAddress: address}
}

// issueFiles writes a certificate issued by a, its key, and the certificate of the
// trusted authority.
func issueFiles(t *testing.T, a *issuer.Authority, trusted *issuer.Authority, subject issuer.Subject) peer.IdentityFiles {
	t.Helper()
	folder := t.TempDir()
	files := peer.IdentityFiles{
		Certificate: filepath.Join(folder, "own.pem"),
		Key:         filepath.Join(folder, "own.key"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	subject.Address = loopback
	if err := a.Issue(subject, files.Certificate, files.Key); err != nil {
		t.Fatal(err)
	}
	if err := trusted.Write(files.Authority); err != nil {
		t.Fatal(err)
	}
	return files
}

func newAuthority(t *testing.T) *issuer.Authority {
	t.Helper()
	a, err := issuer.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startNode runs a node until the end of the test, and returns it with its event counts.
// The node replies to each request with its own name.
func startNode(t *testing.T, self peer.Contact, files peer.IdentityFiles, contacts ...peer.Contact) (*peer.Node, *counter) {
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
	runNode(t, n)
	return n, counts
}

// runNode runs a node until the end of the test, and fails the test if Run returns an
// error.
func runNode(t *testing.T, n *peer.Node) {
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

// requestWithRetry sends a request to join up to 20 times, with a pause of 50 ms, since
// the nodes may not yet listen. Each attempt has a timeout of 1 s.
func requestWithRetry(n *peer.Node, to peer.Contact) (coordinator.Reply, error) {
	var reply coordinator.Reply
	var err error
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err = n.SendRequest(ctx, to.ID(), coordinator.Request{Join: true})
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
	a := newAuthority(t)
	left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
	records := make(chan []tracker.Record, 1)
	heartbeats := make(chan detector.Message, 16)
	receiver, _ := startNode(t, right, issueFiles(t, a, a, issuer.Subject{Name: "lb-2"}))
	_ = receiver
	sender, _ := startNode(t, left, issueFiles(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	reply, err := requestWithRetry(sender, right)
	is.NoErr(err)
	is.Equal(string(reply.Active), "lb-2")
	is.Equal(len(receiver.Contacts()), 1) // The receiver has learned the contact of the sender.

	third := newContact(t, "lb-3")
	identity, err := peer.LoadIdentity(issueFiles(t, a, a, issuer.Subject{Name: "lb-3"}))
	is.NoErr(err)
	n := peer.New(third, identity, nil)
	n.OnRecords = func(r []tracker.Record) { records <- r }
	n.OnHeartbeat = func(m detector.Message) { heartbeats <- m }
	runNode(t, n)
	sender.AddContacts([]peer.Contact{third})
	_, err = requestWithRetry(sender, third)
	is.NoErr(err)
	sent := []tracker.Record{{Service: 1, Flow: 2, Target: 3}}
	sender.SendRecords(third.ID(), sent)
	sender.SendHeartbeat(third.ID(), detector.Message{From: left.ID()})
	is.Equal(<-records, sent)
	is.Equal((<-heartbeats).From, left.ID())
}

func TestWrongCertificatesAreRefusedAndCounted(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	cases := map[string]struct {
		issuedBy *issuer.Authority
		subject  issuer.Subject
	}{
		"another authority": {untrusted, issuer.Subject{Name: "lb-1"}},
		"expired":           {trusted, issuer.Subject{Name: "lb-1", Expires: time.Now().Add(-time.Minute)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
			_, counts := startNode(t, right, issueFiles(t, trusted, trusted, issuer.Subject{Name: "lb-2"}))
			sender, _ := startNode(t, left, issueFiles(t, c.issuedBy, trusted, c.subject), right)
			_, err := requestWithRetry(sender, right)
			is.True(err != nil)
			is.True(counts.get("handshake-refused") > 0)
		})
	}
}

func TestRequestUnderAnotherNameIsRefused(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
	_, counts := startNode(t, right, issueFiles(t, a, a, issuer.Subject{Name: "lb-2"}))
	forger, _ := startNode(t, left, issueFiles(t, a, a, issuer.Subject{Name: "lb-9"}), right)
	_, err := requestWithRetry(forger, right)
	is.True(err != nil)
	is.True(counts.get("forged-sender") > 0)
}

func TestServerWithAnotherNameInItsCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
	startNode(t, right, issueFiles(t, a, a, issuer.Subject{Name: "lb-9"}))
	sender, _ := startNode(t, left, issueFiles(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	_, err := requestWithRetry(sender, right)
	is.True(err != nil)
}

func TestReplacedCertificateFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	files := issueFiles(t, before, before, issuer.Subject{Name: "lb-2"})
	left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
	startNode(t, right, files)
	is.NoErr(after.Issue(issuer.Subject{Name: "lb-2", Address: loopback}, files.Certificate, files.Key))
	is.NoErr(after.Write(files.Authority))
	is.NoErr(os.Chtimes(files.Authority, time.Time{}, time.Now().Add(time.Second)))
	sender, _ := startNode(t, left, issueFiles(t, after, after, issuer.Subject{Name: "lb-1"}), right)
	_, err := requestWithRetry(sender, right)
	is.NoErr(err)
}

func TestIdentityNeedsValidFiles(t *testing.T) {
	is := is.New(t)
	_, err := peer.LoadIdentity(peer.IdentityFiles{Certificate: "missing.pem", Key: "missing.key", Authority: "missing.pem"})
	is.True(err != nil)
}

func TestUnansweredRequestClosesItsConnection(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	left, right := newContact(t, "lb-1"), newContact(t, "lb-2")
	identity, err := peer.LoadIdentity(issueFiles(t, a, a, issuer.Subject{Name: "lb-2"}))
	is.NoErr(err)
	unblock := make(chan struct{})
	n := peer.New(right, identity, nil)
	n.OnRequest = func(tracker.MemberID, coordinator.Request) coordinator.Reply {
		<-unblock
		return coordinator.Reply{}
	}
	runNode(t, n)
	sender, counts := startNode(t, left, issueFiles(t, a, a, issuer.Subject{Name: "lb-1"}), right)
	for begin := time.Now(); counts.get("connection-dropped") == 0 && time.Since(begin) < 5*time.Second; {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = sender.SendRequest(ctx, right.ID(), coordinator.Request{Join: true})
		cancel()
		is.True(err != nil)
	}
	is.True(counts.get("connection-dropped") > 0)
	close(unblock)
	_, err = requestWithRetry(sender, right)
	is.NoErr(err)
}
