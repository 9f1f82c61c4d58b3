package balancer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/logger"
	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// outageGap is the time without word from the store after which registrations
	// may have lapsed unjustly. They lapse after three heartbeats, 2.3 s on the
	// platform of our users; a follower of live readers is never 2 s without word.
	outageGap = 2 * time.Second
	// returnGrace is how long after an outage living targets take to be back: the
	// platform says about 2 s.
	returnGrace = 2500 * time.Millisecond
	// balancerPrefix is where balancers register.
	balancerPrefix = "trefoilspring/balancers/"
)

// view is what the balancer believes of the store, under the balancer's lock.
type view struct {
	replica replicator.Replica
	peers   map[string]follower.Peer
	// changed is closed and replaced when the replica changes.
	changed chan struct{}
	client  *http.Client
	// firstClient asks for the first view.
	firstClient *http.Client
	// complete says that there has been a configuration.
	complete bool
	lines    *logger.Budget
	// source names whom the last update came from.
	source string
}

func (v *view) init() {
	v.peers = make(map[string]follower.Peer)
	v.lines = logger.NewBudget(changeLines)
	v.changed = make(chan struct{})
	v.client = newPeerClient(peerDialTimeout)
	v.firstClient = newPeerClient(firstDialTimeout)
}

// merge takes over an update and tells the director and waiting peers.
func (b *Balancer) merge(u replicator.Update, s follower.Source) (bool, []follower.Peer) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	v := &b.view
	v.source = s.String()
	if age, known := v.replica.Age(now); known && age > outageGap {
		b.director.SetOutage(now.Add(returnGrace))
		b.log.Warn("view was out of date", "age-ms", age.Milliseconds(), "source", s.String())
	}
	changed := v.replica.Merge(u, now)
	for _, item := range changed {
		b.apply(now, item, s)
	}
	if version, configured := b.director.Version(); configured && !v.complete {
		v.complete = true
		close(b.viewed)
		b.log.Info("first view", "source", s.String(), "revision", v.replica.Revision(),
			"version", version, "targets", b.director.Targets(), "peers", len(v.peers))
	}
	if len(changed) > 0 {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	peers := make([]follower.Peer, 0, len(v.peers))
	for _, p := range v.peers {
		peers = append(peers, p)
	}
	return len(changed) > 0, peers
}

// apply takes over one changed key.
func (b *Balancer) apply(now time.Time, item replicator.Item, s follower.Source) {
	if name, ok := balancerName(item.Key); ok {
		b.applyPeer(now, name, item)
		return
	}
	item, err := item.Unpack()
	if err != nil {
		b.metrics.entryErrors.Inc()
		b.log.Error("value can't be unpacked", "key", item.Key, "revision", item.Revision, "source", s.String(), "cause", err.Error())
		return
	}
	change, matters, err := b.directory.Decode(item)
	if err != nil {
		b.metrics.entryErrors.Inc()
		b.log.Warn("entry of the store can't be used", "key", item.Key, "revision", item.Revision, "cause", err.Error())
	}
	if !matters {
		return
	}
	b.director.Apply(now, change)
	if !b.view.complete {
		// One line tells of the first view; a line for each of its keys would take
		// longer than all the rest of a start.
		return
	}
	log := b.log.With("source", s.String(), "revision", item.Revision)
	switch {
	case change.Configuration != nil:
		log.Info("configuration in force", "version", change.Configuration.Version, "routes", len(change.Configuration.Routes))
	case change.Target != nil && b.mayLogChange(now, &log):
		t := change.Target
		log.Info("target registered", "target", t.Name, "service", t.Service, "zone", t.AvailabilityZone,
			"draining", t.Draining, "cold-ms", t.ColdFor.Milliseconds())
	case change.Removed != "" && b.mayLogChange(now, &log):
		log.Info("target removed", "target", change.Removed)
	case change.Zone != "":
		log.Info("availability zone changed", "zone", change.Zone, "out", change.Out)
	}
}

// changeLines is how many lines a second tell of single targets and balancers. When
// a zone with hundreds of targets is lost, each balancer hears of all of them.
const changeLines = 50

// mayLogChange reports whether a line may tell of one more target or balancer, and
// adds to the log what was left out before.
func (b *Balancer) mayLogChange(now time.Time, log **slog.Logger) bool {
	left, ok := b.view.lines.Take(now)
	if !ok {
		b.metrics.linesLeftOut.Inc()
		return false
	}
	if left > 0 {
		*log = (*log).With("left-out", left)
	}
	return true
}

// registration is what a balancer writes of itself.
type registration struct {
	AvailabilityZone string `json:"availability-zone"`
	Address          string `json:"address"`
	Strength         int    `json:"strength"`
}

func balancerName(key string) (string, bool) {
	if len(key) <= len(balancerPrefix) || key[:len(balancerPrefix)] != balancerPrefix {
		return "", false
	}
	return key[len(balancerPrefix):], true
}

// listPeers returns the balancers that the store lists now, before there is a view.
func (b *Balancer) listPeers(ctx context.Context) ([]follower.Peer, error) {
	u, err := b.directory.List(ctx, balancerPrefix)
	if err != nil {
		return nil, err
	}
	peers := make([]follower.Peer, 0, len(u.Items))
	for _, item := range u.Items {
		if name, ok := balancerName(item.Key); ok {
			if p, ok := b.decodePeer(name, item); ok {
				peers = append(peers, p)
			}
		}
	}
	return peers, nil
}

// decodePeer reads a balancer's registration. One that can't be read is logged.
func (b *Balancer) decodePeer(name string, item replicator.Item) (follower.Peer, bool) {
	var r registration
	if err := json.Unmarshal(item.Value, &r); err != nil {
		b.log.Warn("registration of a balancer can't be read", "peer", name, "cause", err.Error())
		return follower.Peer{}, false
	}
	return follower.Peer{Name: name, AvailabilityZone: r.AvailabilityZone, Address: r.Address, Strength: r.Strength}, true
}

func (b *Balancer) applyPeer(now time.Time, name string, item replicator.Item) {
	log := b.log
	if item.Removed {
		delete(b.view.peers, name)
		if b.mayLogChange(now, &log) {
			log.Info("balancer left", "peer", name)
		}
	} else {
		p, ok := b.decodePeer(name, item)
		if !ok {
			return
		}
		b.view.peers[name] = p
		if b.view.complete && b.mayLogChange(now, &log) {
			log.Info("balancer registered", "peer", name, "zone", p.AvailabilityZone)
		}
	}
	zone := 0
	for _, p := range b.view.peers {
		if p.AvailabilityZone == b.settings.AvailabilityZone {
			zone++
		}
	}
	b.director.SetHolders(len(b.view.peers), zone)
}

// since answers a peer: what it lacks, once there is something or wait is over.
func (b *Balancer) since(ctx context.Context, after uint64, wait time.Duration) replicator.Update {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b.mu.Lock()
		if b.view.replica.Changed(after) {
			defer b.mu.Unlock()
			return b.view.replica.Since(after, time.Now())
		}
		changed := b.view.changed
		b.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.view.replica.Since(after, time.Now())
	}
}

// errNoView reports a peer that knows nothing yet.
var errNoView = errors.New("the peer has no view yet")
