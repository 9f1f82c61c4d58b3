// Package balancer runs one balancer on a platform whose packets carry a flow token
// that both ends send back, and whose store holds the configuration and the
// registrations of targets and balancers. It connects the forwarding logic to
// sockets; package server is its counterpart for Geneve fabrics.
//
// Package director decides what happens to each packet. Package replicator holds the
// view, which is the balancer's copy of the store's keys. Package follower selects the
// source that the view is updated from: the store itself, or another balancer (a peer).
// Fabric and Directory supply the formats of packets and of the store's keys as
// functions.
//
// # Usage
//
//	b := balancer.New(settings, fabric, directory, log)
//	err := b.Run(ctx) // returns once ctx has ended and the routers have stopped sending
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

// Settings configures a balancer.
type Settings struct {
	// Name is unique among all balancers and stays the same across restarts.
	Name             string
	AvailabilityZone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// DataAddress receives the packets of callers. Packets to a caller are sent to the
	// caller's IP address and the port of DataAddress.
	DataAddress netip.AddrPort
	// ReadyAddress serves the readiness checks of the routers.
	ReadyAddress netip.AddrPort
	// PeerAddress serves the view to other balancers.
	PeerAddress netip.AddrPort
	// MetricsAddress serves metrics, status and explanations of flows. If it is not
	// valid, they are not served.
	MetricsAddress netip.AddrPort
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, and Cores is the VM's share of
	// the processor in cores. Balancers with more of both are preferred as readers, which
	// fetch from the store on behalf of other balancers.
	LinkMbps float64
	Cores    float64
	// Seeds are peer addresses to fetch the view from while the store doesn't respond and
	// no peers are known.
	Seeds []string
}

// Fabric reads and writes the packet format of the platform.
type Fabric struct {
	// Parse decodes a datagram into p, whose Data refers to the datagram's bytes. An
	// error may have a method Reason, which names the counter of the dropped datagram.
	Parse func(datagram []byte, p *director.Packet) error
	// Headroom is the number of bytes before a packet that Encapsulate overwrites.
	Headroom int
	// Encapsulate encapsulates a packet for a target in place and returns the datagram.
	// The packet begins Headroom bytes after the start of the buffer.
	Encapsulate func(buffer []byte, target *director.Target, token tokenizer.Token) []byte
	// AppendReset appends a reset of the packet's flow to the buffer.
	AppendReset func(buffer []byte, p *director.Packet) []byte
	// RequestID returns the ID of the request that begins in a packet's data, or an empty
	// string if none begins there.
	RequestID func(data []byte) string
}

// Directory gives access to the platform's store.
type Directory struct {
	// Fetch returns the changes after a revision, or all keys if it is 0. It waits up to
	// wait for a change.
	Fetch func(ctx context.Context, after uint64, wait time.Duration) (replicator.Update, error)
	// List returns the keys that begin with a prefix. They may be a few seconds out of
	// date.
	List func(ctx context.Context, prefix string) (replicator.Update, error)
	// Decode converts an item of the store into a change of the director's state. The
	// boolean reports whether the key is relevant to the director. With an error, the
	// change is still to be applied if the key is relevant, and the error to be logged.
	Decode func(replicator.Item) (director.Change, bool, error)
	// Put writes a key that the store removes when the lease ends.
	Put func(ctx context.Context, key string, value []byte, lease uint64) error
	// Lease creates a lease and returns its ID.
	Lease func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease and reports whether it still exists.
	Renew func(ctx context.Context, lease uint64) (bool, error)
}

// Balancer forwards the packets of callers to targets. New creates one.
type Balancer struct {
	// LoadSettings reads the settings file again. It is set before Run is called; if it
	// is nil, the settings never change.
	LoadSettings func() (Settings, error)
	// Hangup triggers an immediate reload of the settings. It is set before Run is called.
	Hangup <-chan os.Signal
	// ViewClock returns the time by which the age of the view is measured. It goes on while
	// the VM is suspended. New sets it; a test may replace it before Run is called.
	ViewClock func() time.Time

	settings   Settings
	fabric     Fabric
	directory  Directory
	log        *slog.Logger
	metrics    *metricSet
	stopping   atomic.Bool
	checkQueue chan director.Check
	seeds      atomic.Pointer[[]string]
	// lastPacket is the time of the last batch of datagrams, in Unix nanoseconds.
	lastPacket atomic.Int64

	// viewReady is closed when a configuration first comes into force.
	viewReady chan struct{}
	// earlierLease passes the lease of an earlier run's registration to the registrar, or 0.
	earlierLease chan uint64
	// registrationLost tells the registrar that the view has lost the registration.
	registrationLost chan struct{}

	responses responseCache
	follower  *follower.Follower
	load      *load

	// mu guards director and view.
	mu       sync.Mutex
	director *director.Director
	view     view
}

// New returns a balancer with these settings. Run starts it.
func New(settings Settings, fabric Fabric, directory Directory, log *slog.Logger) *Balancer {
	b := &Balancer{
		settings:  settings,
		fabric:    fabric,
		directory: directory,
		log:       log.With("balancer", settings.Name),
		ViewClock: newViewClock(),
		director:  director.New(xxhash.Sum64String(settings.Name), settings.AvailabilityZone),
	}
	b.director.SetRegions(settings.Regions)
	b.viewReady = make(chan struct{})
	b.earlierLease = make(chan uint64, 1)
	b.registrationLost = make(chan struct{}, 1)
	b.checkQueue = make(chan director.Check, checkQueueSize)
	b.seeds.Store(&settings.Seeds)
	b.view.init()
	b.view.fleet = director.NewFleet(settings.Name, settings.AvailabilityZone)
	b.director.SetFleet(time.Now(), b.view.fleet)
	b.load = newLoad(b)
	b.view.load = b.load
	b.metrics = newMetricSet(b)
	b.follower = b.newFollower()
	return b
}

// ViewReady returns a channel that is closed when a configuration first comes into
// force.
func (b *Balancer) ViewReady() <-chan struct{} { return b.viewReady }

// Run serves until ctx ends. It then reports not ready, and keeps forwarding until the
// routers have stopped sending.
func (b *Balancer) Run(ctx context.Context) error {
	// Forwarding continues after ctx has ended, until stop returns.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	conn, err := batcher.Listen(workCtx, b.settings.DataAddress)
	if err != nil {
		return err
	}
	defer conn.Close()
	group, workCtx := errgroup.WithContext(workCtx)
	registrar := newRegistrar(b)
	group.Go(func() error { return b.forward(workCtx, conn) })
	group.Go(func() error { return b.serveReadiness(workCtx) })
	group.Go(func() error { return b.servePeers(workCtx) })
	group.Go(func() error { return b.serveMetrics(workCtx) })
	group.Go(func() error { return b.follower.Run(workCtx) })
	group.Go(func() error { return registrar.run(workCtx) })
	group.Go(func() error { return b.tick(workCtx) })
	group.Go(func() error { return b.load.run(workCtx) })
	group.Go(func() error { return b.watchSettings(workCtx) })
	for range checkWorkers {
		group.Go(func() error { return b.runChecks(workCtx, conn) })
	}
	group.Go(func() error {
		select {
		case <-workCtx.Done():
		case <-ctx.Done():
			b.stop(workCtx)
			cancel()
		}
		return nil
	})
	b.log.Info("balancer started", "zone", b.settings.AvailabilityZone, "data-address", b.settings.DataAddress.String())
	err = group.Wait()
	b.log.Info("balancer ended")
	return err
}

// tickInterval is the interval between calls of Director.Tick, which removes expired
// state and queues the target checks that are due.
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
			b.view.pulse.beat(b.ViewClock())
			b.director.SetFleet(now, b.view.fleet)
			b.director.Tick(now)
			b.reportSpreads(now)
			b.logSpeeds(b.director.TakeSpeedChanges())
			b.logAdmission()
			checks := b.director.TakeChecks()
			b.mu.Unlock()
			b.enqueueChecks(checks)
		}
	}
}

func (b *Balancer) newFollower() *follower.Follower {
	f := follower.New(b.self())
	f.Seeds = func() []string { return *b.seeds.Load() }
	f.ListPeers = b.listPeers
	f.Fetch = b.fetch
	f.Merge = b.merge
	f.Revision = func() uint64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.view.replica.After()
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

// fetch requests an update from a source, the store or a peer, and records the duration
// and the error in the metrics.
func (b *Balancer) fetch(ctx context.Context, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	start := time.Now()
	fetchFrom, kind := b.fetchPeer, sourcePeer
	if s.IsStore() {
		fetchFrom, kind = b.fetchStore, sourceStore
	}
	u, err := fetchFrom(ctx, s, after, wait)
	if err == nil && b.isOutdated(u) {
		err = errEarlierEra
	}
	b.metrics.recordFetch(kind, start, err)
	return u, err
}

func (b *Balancer) fetchPeer(ctx context.Context, s follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	requested := b.ViewClock()
	u, waited, err := b.view.requestUpdate(ctx, s.Peer.Address, b.storeEra(), after, wait)
	u.Age += follower.PeerAnswerAge(b.ViewClock().Sub(requested), waited)
	return u, err
}

// isOutdated reports whether an update is of an earlier era of the store.
func (b *Balancer) isOutdated(u replicator.Update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.replica.IsOutdated(u)
}

// storeEra returns the era of the view.
func (b *Balancer) storeEra() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.replica.Era()
}

func (b *Balancer) fetchStore(ctx context.Context, _ follower.Source, after uint64, wait time.Duration) (replicator.Update, error) {
	requested := b.ViewClock()
	u, err := b.directory.Fetch(ctx, after, wait)
	u.Age += follower.StoreAnswerAge(u, b.ViewClock().Sub(requested), wait)
	return u, err
}
