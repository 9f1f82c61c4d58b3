// Package balancer runs one balancer on a platform whose packets carry a mark that
// both ends send back, and whose store holds the configuration and the targets'
// registrations. It joins the decisions to sockets; package server is its
// counterpart for fabrics that speak Geneve.
//
// Director decides on packets, follower where the view of the store comes from, and
// replicator holds that view. What the packets and the store look like is behind
// function fields: Fabric and Directory.
//
// # Usage
//
//	b := balancer.New(settings, fabric, directory, log)
//	err := b.Run(ctx) // until ctx ends and the routers have turned away
package balancer

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/replicator"
	"trefoilspring.example/trefoilspring/tokenizer"
)

// Settings are what a balancer must be told.
type Settings struct {
	// Name tells the balancer apart from all others, also after a restart.
	Name             string
	AvailabilityZone string
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// DataAddress takes callers' packets. Callers are reached at its port.
	DataAddress netip.AddrPort
	// ReadyAddress answers the routers' readiness checks.
	ReadyAddress netip.AddrPort
	// PeerAddress answers other balancers.
	PeerAddress netip.AddrPort
	// MetricsAddress serves counters and histograms; none are served without it.
	MetricsAddress netip.AddrPort
	// LinkMbps and Cores are the VM's link, in Mbit/s, and its share of the
	// processor, in cores. Balancers with more of both read the store for others.
	LinkMbps float64
	Cores    float64
	// Seeds are peer addresses to ask while the store is away.
	Seeds []string
}

// Fabric says how packets look.
type Fabric struct {
	// Parse reads a datagram into a packet, whose data stay in the datagram.
	Parse func(datagram []byte, p *director.Packet) error
	// Headroom is the space in bytes that Address needs before a packet.
	Headroom int
	// Address makes the datagram to a target, in place.
	Address func(buffer []byte, target *director.Target, token tokenizer.Token) []byte
	// Reset appends a reset of the packet's flow.
	Reset func(buffer []byte, p *director.Packet) []byte
	// RequestID returns the id of a request that begins in a packet's data.
	RequestID func(data []byte) string
}

// Directory is the platform's store as the balancer needs it.
type Directory struct {
	// Fetch returns what changed after a revision, everything after 0, and waits
	// for a change up to wait.
	Fetch func(ctx context.Context, after uint64, wait time.Duration) (replicator.Update, error)
	// List returns the keys that begin with a prefix, as they were at most seconds ago.
	List func(ctx context.Context, prefix string) (replicator.Update, error)
	// Decode says what a changed key means, and whether it matters. A change may
	// come beside an error, which is then to be reported.
	Decode func(replicator.Item) (director.Change, bool, error)
	// Put writes a key that is removed when the lease ends.
	Put func(ctx context.Context, key string, value []byte, lease uint64) error
	// Lease makes a lease.
	Lease func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease and reports whether it still exists.
	Renew func(ctx context.Context, lease uint64) (bool, error)
}

// Balancer is one balancer.
type Balancer struct {
	// LoadSettings reads the settings again; it is set before Run is called. Without
	// it they stay as they are.
	LoadSettings func() (Settings, error)
	// Hangup has the settings read again at once.
	Hangup <-chan os.Signal

	settings  Settings
	fabric    Fabric
	directory Directory
	log       *slog.Logger
	metrics   *meters
	stopping  atomic.Bool
	checks    chan director.Check
	seeds     atomic.Pointer[[]string]
	// lastPacket is when the last datagram came, in Unix nanoseconds.
	lastPacket atomic.Int64

	// viewed is closed once there is a view to decide by.
	viewed chan struct{}

	answers  answers
	follower *follower.Follower

	mu       sync.Mutex
	director *director.Director
	view     view
}

// New returns a balancer with these settings.
func New(settings Settings, fabric Fabric, directory Directory, log *slog.Logger) *Balancer {
	b := &Balancer{
		settings:  settings,
		fabric:    fabric,
		directory: directory,
		log:       log.With("balancer", settings.Name),
		director:  director.New(xxhash.Sum64String(settings.Name), settings.AvailabilityZone),
	}
	b.director.SetRegions(settings.Regions)
	b.viewed = make(chan struct{})
	b.checks = make(chan director.Check, queuedChecks)
	b.seeds.Store(&settings.Seeds)
	b.view.init()
	b.metrics = newMeters(b)
	b.follower = b.newFollower()
	return b
}

// Viewed returns a channel that is closed once there is a view to decide by.
func (b *Balancer) Viewed() <-chan struct{} { return b.viewed }

// Run serves until ctx ends, then goes on until the routers have turned away.
func (b *Balancer) Run(ctx context.Context) error {
	// The work goes on while the balancer stops, so it has a context of its own.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	conn, err := batcher.Listen(work, b.settings.DataAddress)
	if err != nil {
		return err
	}
	defer conn.Close()
	group, work := errgroup.WithContext(work)
	registrar := newRegistrar(b)
	group.Go(func() error { return b.forward(work, conn) })
	group.Go(func() error { return b.serveReadiness(work) })
	group.Go(func() error { return b.servePeers(work) })
	group.Go(func() error { return b.serveMetrics(work) })
	group.Go(func() error { return b.follower.Run(work) })
	group.Go(func() error { return registrar.run(work) })
	group.Go(func() error { return b.tick(work) })
	group.Go(func() error { return b.watchSettings(work) })
	for range checkers {
		group.Go(func() error { return b.runChecks(work, conn) })
	}
	group.Go(func() error {
		select {
		case <-work.Done():
		case <-ctx.Done():
			b.stop(work)
			end()
		}
		return nil
	})
	b.log.Info("balancer started", "zone", b.settings.AvailabilityZone, "data-address", b.settings.DataAddress.String())
	err = group.Wait()
	b.log.Info("balancer ended")
	return err
}

// tickInterval is how often what is too old is forgotten.
const tickInterval = time.Second

func (b *Balancer) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			b.mu.Lock()
			b.director.Tick(now)
			checks := b.director.Checks()
			b.mu.Unlock()
			b.check(checks)
		}
	}
}

func (b *Balancer) newFollower() *follower.Follower {
	f := follower.New(b.self())
	f.Seeds = func() []string { return *b.seeds.Load() }
	f.Peers = b.listPeers
	f.Fetch = b.fetch
	f.Merge = b.merge
	f.Revision = func() uint64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.view.replica.Revision()
	}
	f.Log = b.log
	return f
}

func (b *Balancer) self() follower.Peer {
	return follower.Peer{
		Name:             b.settings.Name,
		AvailabilityZone: b.settings.AvailabilityZone,
		Address:          b.settings.PeerAddress.String(),
		Strength:         follower.StrengthOf(b.settings.LinkMbps, b.settings.Cores),
	}
}

// fetch asks the store or a peer.
func (b *Balancer) fetch(ctx context.Context, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	start := time.Now()
	ask, kind := b.fetchPeer, sourcePeer
	if s.Store() {
		ask, kind = b.fetchStore, sourceStore
	}
	u, err := ask(ctx, s, after, wait)
	b.metrics.fetched(kind, start, err)
	return u, err
}

func (b *Balancer) fetchPeer(ctx context.Context, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	return b.view.ask(ctx, s.Peer.Address, after, wait)
}

func (b *Balancer) fetchStore(ctx context.Context, _ follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	return b.directory.Fetch(ctx, after, wait)
}
