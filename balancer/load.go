package balancer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/logger"
	"trefoilspring.example/trefoilspring/rater"
)

const (
	// reportInterval is the least time between two load reports. It is a little less than a
	// second, so that every other request for the view, which are 0.5 s apart, has one.
	reportInterval = 950 * time.Millisecond
	// maxReportDelay is the time after which a balancer ends a window though it has asked no
	// peer. Its own requests take up to 1.1 s if the peer doesn't answer.
	maxReportDelay = 1400 * time.Millisecond
	// maxReaderClocks limits the peers whose clocks are known.
	maxReaderClocks = 64
)

// load exchanges load reports with other balancers. Balancer.mu may be taken while load.mu is
// held, but not the other way round. Times are those of Balancer.ViewClock.
type load struct {
	balancer *Balancer

	mu       sync.Mutex
	combiner aggregator.Combiner
	atlas    aggregator.Atlas
	rater    rater.Rater
	// report is the last one that was taken, at takenAt.
	report  aggregator.Report
	takenAt time.Time
	sentAt  time.Time
	// direct reports whether reports are sent in requests of their own, because too few requests
	// for the view are sent: while the store is down, balancers ask for the view every 4 s.
	direct bool
	// clocks holds the last clock of each peer, by address.
	clocks map[string]peerClock
	// half is the last one, of roundAt.
	half    aggregator.Half
	roundAt time.Time
	// combining reports whether this balancer combines reports.
	combining bool
	// picture is the Picture of all known zones at pictureAt. pictureText is its encoded form, or
	// empty until another balancer asks for it.
	picture     aggregator.Picture
	pictureAt   time.Time
	pictureText string
	// zones holds the zones of the last Picture.
	zones map[string]bool
	// members holds the balancers of the own zone by name, with the last time at which each was
	// registered.
	members map[string]time.Time
	// backoffs holds the readers whose last answer failed, by address, with the time before which
	// each isn't asked again.
	backoffs       map[string]time.Time
	droppedLimiter *logger.Limiter
}

// peerClock is the time that a peer stated, and when that arrived.
type peerClock struct {
	clock      int64
	receivedAt time.Time
}

func newLoad(b *Balancer) *load {
	l := &load{
		balancer: b, members: make(map[string]time.Time), clocks: make(map[string]peerClock), zones: make(map[string]bool),
		backoffs: make(map[string]time.Time), droppedLimiter: logger.NewLimiter(droppedReportLinesPerSecond),
	}
	l.combiner.KnowsService = b.director.KnowsService
	l.combiner.KnowsTarget = b.director.KnowsTarget
	return l
}

// run combines load reports once a second until ctx ends.
func (l *load) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

// tick ends a round: it takes the balancer's own report, combines reports if this balancer is to
// do so, and passes the resulting Picture to the director.
func (l *load) tick(ctx context.Context) {
	b := l.balancer
	b.mu.Lock()
	fromStore := b.view.source == follower.Source{}.String()
	usable := b.view.usable
	b.mu.Unlock()
	if !usable {
		return
	}
	now := b.ViewClock()
	readers := follower.Readers(append(l.peers(), b.self()), b.settings.AvailabilityZone, l.responds(now))
	l.mu.Lock()
	combining := fromStore || slices.Contains(readers, b.self()) || l.combiner.Reporters(now, b.settings.Name) > 0
	if delay := now.Sub(l.takenAt); delay > maxReportDelay || combining && delay > reportInterval {
		l.takeReport(now)
	}
	l.setCombining(combining)
	l.updateMembers(now)
	if l.sentAt.IsZero() {
		l.sentAt = now.Add(-reportInterval) // the next request for the view has a report
	}
	l.direct = l.direct || now.Sub(l.sentAt) > maxReportDelay
	direct := l.direct
	l.mu.Unlock()
	if combining {
		l.askReaders(ctx)
	} else if direct && len(readers) > 0 {
		l.askReader(ctx, follower.PickReader(readers, b.settings.Name))
	}
	now = b.ViewClock()
	l.mu.Lock()
	l.half, l.roundAt = l.combiner.Round(now), now
	_, known := l.atlas.Picture(now).Zones[b.settings.AvailabilityZone]
	var own aggregator.Picture
	if combining || !known {
		own = l.combine(now)
	}
	if combining {
		l.atlas.SetPicture(now, 0, own)
	}
	l.mu.Unlock()
	if combining || known {
		own = aggregator.Picture{}
	}
	l.apply(now, own)
}

// combine returns a Picture of the own zone from the reports that this balancer has. l.mu must be
// held.
func (l *load) combine(now time.Time) aggregator.Picture {
	l.rater.Record(now, l.combiner.Samples())
	zone := l.balancer.settings.AvailabilityZone
	s, ok := l.combiner.Summary(now, zone, slices.Collect(maps.Keys(l.members)))
	if !ok {
		return aggregator.Picture{}
	}
	s.Speeds = l.rater.Speeds(now)
	return aggregator.Picture{Zones: map[string]aggregator.Summary{zone: s}}
}

// apply passes the Picture of all known zones to the director, or if the own zone isn't among
// them, the Picture own, which this balancer made alone.
func (l *load) apply(now time.Time, own aggregator.Picture) {
	b := l.balancer
	l.mu.Lock()
	p := l.atlas.Picture(now)
	l.logZones(p)
	l.picture, l.pictureAt, l.pictureText = p, now, ""
	l.mu.Unlock()
	if _, known := p.Zones[b.settings.AvailabilityZone]; !known {
		p = own
	}
	b.mu.Lock()
	b.director.SetPicture(time.Now(), p)
	b.mu.Unlock()
}

// setCombining sets whether this balancer combines reports, and logs a change. l.mu must be held.
func (l *load) setCombining(combining bool) {
	if combining == l.combining {
		return
	}
	l.combining = combining
	if combining {
		l.balancer.log.Info("load reports combined here", "zone", l.balancer.settings.AvailabilityZone)
		return
	}
	l.balancer.log.Info("load reports no longer combined here", "zone", l.balancer.settings.AvailabilityZone)
}

// logZones logs the zones whose load has become known or unknown. l.mu must be held.
func (l *load) logZones(p aggregator.Picture) {
	for zone := range l.zones {
		if _, known := p.Zones[zone]; !known {
			delete(l.zones, zone)
			l.balancer.log.Warn("load of zone lost", "zone", zone)
		}
	}
	for zone, s := range p.Zones {
		if !l.zones[zone] {
			l.zones[zone] = true
			l.balancer.log.Info("load of zone known", "zone", zone, "balancers", s.Balancers, "age-ms", s.Age.Milliseconds())
		}
	}
}

// summaries returns the Summaries of the zones that are known.
func (l *load) summaries() map[string]aggregator.Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atlas.Picture(l.balancer.ViewClock()).Zones
}

// peers returns the registered balancers without this one.
func (l *load) peers() []follower.Peer {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	peers := make([]follower.Peer, 0, len(b.view.peers))
	for name, p := range b.view.peers {
		if name != b.settings.Name {
			peers = append(peers, p)
		}
	}
	return peers
}
