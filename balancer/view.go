package balancer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/logger"
	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// minOutageAge is the age of the view above which an outage of the store is assumed.
	// Registrations may then have lapsed although their targets are alive, because a
	// registration lapses after three missed heartbeats, 2.3 s on the platform of our users.
	// The view of a balancer with working sources is always less than 2 s old.
	minOutageAge = 2 * time.Second
	// reregistrationGrace is the time that live targets get to register again after an
	// outage of the store. The platform's stated time for this is about 2 s.
	reregistrationGrace = 2500 * time.Millisecond
	// balancerKeyPrefix is the prefix of the keys of balancers' registrations.
	balancerKeyPrefix = "trefoilspring/balancers/"
)

// view is the balancer's copy of the store and the state derived from it. Balancer.mu
// guards it.
type view struct {
	replica replicator.Replica
	// peers holds the registered balancers by name, including this one, and fleet counts
	// them.
	peers map[string]follower.Peer
	fleet *director.Fleet
	// changed is closed and replaced whenever the replica changes.
	changed chan struct{}
	// client fetches updates from peers.
	client *http.Client
	// firstViewClient replaces client until usable is set.
	firstViewClient *http.Client
	// mergingFirst reports whether the update that is being merged is the first one.
	mergingFirst bool
	// usable is set when a configuration first comes into force.
	usable        bool
	changeLimiter *logger.Limiter
	// source names the store or the peer that the last update came from.
	source string
	// load takes part in the requests for updates from peers.
	load *load
	// pulse measures for how long the process stood still between two updates.
	pulse pulse
}

func (v *view) init() {
	v.peers = make(map[string]follower.Peer)
	v.changeLimiter = logger.NewLimiter(changeLinesPerSecond)
	v.changed = make(chan struct{})
	v.client = newPeerClient(peerDialTimeout)
	v.firstViewClient = newPeerClient(firstViewDialTimeout)
}

// merge merges an update from a source into the view, applies the changes to the director
// and wakes the peers that wait for a change. It reports whether anything changed, and
// returns the registered balancers.
func (b *Balancer) merge(u replicator.Update, s follower.Source) (bool, []follower.Peer) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	v := &b.view
	v.source = s.String()
	viewNow := b.ViewClock()
	stoodStill := v.pulse.take(viewNow)
	if age, known := v.replica.Age(viewNow); known && age > minOutageAge {
		// While this balancer stood still, the store may well have served the targets.
		if age-stoodStill > minOutageAge {
			b.director.SetOutage(now.Add(reregistrationGrace))
		}
		b.log.Warn("view was out of date", "age-ms", age.Milliseconds(),
			"stood-still-ms", stoodStill.Milliseconds(), "source", s.String())
	}
	v.mergingFirst = v.replica.Revision() == 0
	before := v.eraBefore()
	changed := v.replica.Merge(u, viewNow)
	b.beginEra(now, viewNow, before)
	for _, item := range changed {
		b.apply(now, item, s)
	}
	b.director.SetFleet(now, b.view.fleet)
	if age, known := v.replica.Age(viewNow); known {
		b.director.SetConfirmed(now.Add(-age))
	}
	b.endGrace(before)
	if version, configured := b.director.Version(); configured && !v.usable {
		v.usable = true
		close(b.viewReady)
		b.log.Info("first view", "source", s.String(), "revision", v.replica.Revision(),
			"version", version, "targets", b.director.Targets(), "peers", len(v.peers))
	}
	if len(changed) > 0 || v.replica.Era() != before.era {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	peers := make([]follower.Peer, 0, len(v.peers))
	for _, p := range v.peers {
		peers = append(peers, p)
	}
	return len(changed) > 0, peers
}

// apply applies one changed key to the peers or the director. b.mu must be held.
func (b *Balancer) apply(now time.Time, item replicator.Item, s follower.Source) {
	if name, ok := parseBalancerKey(item.Key); ok {
		b.applyPeer(now, name, item)
		return
	}
	item, err := item.Decompress()
	if err != nil {
		b.metrics.entryErrors.Inc()
		b.log.Error("cannot decompress value", "key", item.Key, "revision", item.Revision, "source", s.String(), "cause", err.Error())
		return
	}
	change, relevant, err := b.directory.Decode(item)
	if err != nil {
		b.logInvalidEntry(now, item, err)
	}
	if !relevant {
		return
	}
	inForce, _ := b.director.Version()
	b.director.Apply(now, change)
	if !b.view.usable {
		// The first view is logged in one line. A line for each of its keys would take
		// longer than the rest of the start.
		return
	}
	log := b.log.With("source", s.String(), "revision", item.Revision)
	switch {
	case change.Configuration != nil && change.Configuration.Version <= inForce:
		log.Info("older configuration ignored", "version", change.Configuration.Version, "in-force", inForce)
	case change.Configuration != nil:
		log.Info("configuration in force", "version", change.Configuration.Version, "routes", len(change.Configuration.Routes))
	case change.Target != nil && b.mayLogChange(now, &log):
		t := change.Target
		log.Info("target registered", "target", t.Name, "service", t.Service, "zone", t.AvailabilityZone,
			"draining", t.Draining, "cold-ms", t.ColdFor.Milliseconds())
	case change.RemovedTarget != "" && b.mayLogChange(now, &log):
		log.Info("target removed", "target", change.RemovedTarget)
	case change.Zone != "":
		log.Info("availability zone changed", "zone", change.Zone, "out", change.Out)
	}
}

// changeLinesPerSecond limits the log lines about changes of single targets and balancers.
// When a zone with hundreds of targets fails, each balancer receives a change for each of
// these targets.
const changeLinesPerSecond = 50

// mayLogChange reports whether the change of a target or balancer may be logged within
// the limit. If it may, and lines were left out since the last logged change, mayLogChange
// adds their number to log as an attribute.
func (b *Balancer) mayLogChange(now time.Time, log **slog.Logger) bool {
	suppressed, ok := b.view.changeLimiter.Allow(now)
	if !ok {
		b.metrics.linesLeftOut.Inc()
		return false
	}
	if suppressed > 0 {
		*log = (*log).With("left-out", suppressed)
	}
	return true
}

// registration is the value that a balancer stores under its key.
type registration struct {
	AvailabilityZone string `json:"availability-zone"`
	// Address is the host and port at which the balancer answers its peers.
	Address string `json:"address"`
	// Strength is the balancer's follower.Peer.Strength.
	Strength int `json:"strength"`
	// Lease is the lease of the key, or 0 if an earlier release wrote the registration.
	Lease uint64 `json:"lease,omitempty"`
}

// parseBalancerKey returns the balancer's name from the key of its registration. It
// returns false for any other key.
func parseBalancerKey(key string) (string, bool) {
	if len(key) <= len(balancerKeyPrefix) || key[:len(balancerKeyPrefix)] != balancerKeyPrefix {
		return "", false
	}
	return key[len(balancerKeyPrefix):], true
}

// listPeers returns the balancers that are registered in the store. It is called once,
// before the first view arrives, and passes the lease of this balancer's own registration,
// or 0, to the registrar.
func (b *Balancer) listPeers(ctx context.Context) ([]follower.Peer, error) {
	var lease uint64
	defer func() { b.earlierLease <- lease }()
	u, err := b.directory.List(ctx, balancerKeyPrefix)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	peers := make([]follower.Peer, 0, len(u.Items))
	for _, item := range u.Items {
		name, ok := parseBalancerKey(item.Key)
		if !ok {
			continue
		}
		p, r, ok := b.decodePeer(name, item)
		if !ok {
			continue
		}
		peers = append(peers, p)
		if p == b.self() {
			lease = r.Lease
		}
	}
	return peers, nil
}

// decodePeer decodes a balancer's registration. It counts and logs an invalid one and
// returns false. b.mu must be held.
func (b *Balancer) decodePeer(name string, item replicator.Item) (follower.Peer, registration, bool) {
	var r registration
	err := json.Unmarshal(item.Value, &r)
	if err == nil {
		err = r.validate()
	}
	if err != nil {
		b.logInvalidEntry(time.Now(), item, err)
		return follower.Peer{}, r, false
	}
	return follower.Peer{Name: name, AvailabilityZone: r.AvailabilityZone, Address: r.Address, Strength: r.Strength}, r, true
}

// validate returns an error unless a balancer may have written the registration. Without
// an address a peer would pass for the store, and a strength out of range would make all
// other balancers depend on it.
func (r registration) validate() error {
	address, err := netip.ParseAddrPort(r.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "reading the address")
	case address.Port() == 0 || address.Addr().IsUnspecified():
		return errors.Newf("%s is not the address of a balancer", address)
	case r.Strength < 0 || r.Strength > follower.MaxStrength:
		return errors.Newf("strength %d is not between 0 and %d", r.Strength, follower.MaxStrength)
	case r.AvailabilityZone == "":
		return errors.New("the availability zone is missing")
	}
	return nil
}

// maxCauseBytes limits the length of a cause in a log line. A cause may quote the value of
// an entry, which may be as long as the store allows.
const maxCauseBytes = 200

// logInvalidEntry counts an entry of the store that can't be used, and logs it within the
// limit for changes. b.mu must be held.
func (b *Balancer) logInvalidEntry(now time.Time, item replicator.Item, cause error) {
	b.metrics.entryErrors.Inc()
	log := b.log
	if !b.mayLogChange(now, &log) {
		return
	}
	text := cause.Error()
	log.Warn("entry of the store can't be used", "key", item.Key, "revision", item.Revision,
		"cause", text[:min(len(text), maxCauseBytes)])
}

// applyPeer applies a changed registration of a balancer. b.mu must be held.
func (b *Balancer) applyPeer(now time.Time, name string, item replicator.Item) {
	log := b.log
	if item.Removed {
		b.removePeer(now, name)
		if b.mayLogChange(now, &log) {
			log.Info("balancer left", "peer", name)
		}
	} else if p, _, ok := b.decodePeer(name, item); !ok {
		b.removePeer(now, name) // the peer's own registration was overwritten
	} else {
		b.view.peers[name] = p
		b.view.fleet.Register(now, name, p.AvailabilityZone, b.view.mergingFirst)
		if b.view.usable && b.mayLogChange(now, &log) {
			log.Info("balancer registered", "peer", name, "zone", p.AvailabilityZone)
		}
	}
}

// removePeer removes a balancer whose registration was removed. If it is this one, the
// registrar is told. b.mu must be held.
func (b *Balancer) removePeer(now time.Time, name string) {
	delete(b.view.peers, name)
	b.view.fleet.Remove(now, name)
	if name == b.settings.Name {
		b.suspectRegistration()
	}
}

// suspectRegistration tells the registrar that the registration may be lost.
func (b *Balancer) suspectRegistration() {
	select {
	case b.registrationLost <- struct{}{}:
	default:
	}
}

// awaitChange returns as soon as the view holds changes that a peer at a position needs, or when
// wait has passed or ctx ends. It returns what identifies these changes.
func (b *Balancer) awaitChange(ctx context.Context, at position, wait time.Duration) changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		b.mu.Lock()
		replica, changed := &b.view.replica, b.view.changed
		c := changes{era: replica.Era(), after: at.after(replica), revision: replica.Revision()}
		ready := !waiting || replica.ChangedSince(c.after)
		b.mu.Unlock()
		if ready {
			return c
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// updateFor returns the changes that a peer at a position needs.
func (b *Balancer) updateFor(at position) replicator.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.replica.Since(at.after(&b.view.replica), b.ViewClock())
}

// errNoView reports a peer that has not received a view yet.
var errNoView = errors.New("the peer has no view yet")
