package balancer

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/follower"
)

const (
	loadPath      = "/load"
	zoneParameter = "zone"
	// readerTimeout limits a request for the load to another reader. VMs with little
	// processor time take up to 100 ms to answer.
	readerTimeout = 400 * time.Millisecond
	// readerBackoff is how long a reader that didn't answer isn't asked again.
	readerBackoff = 4 * time.Second
)

// askReaders asks the other readers of the own zone for their halves, and a reader of each other
// zone for the zone's Summary. If that reader has none, it asks the zone's next one.
func (l *load) askReaders(ctx context.Context) {
	var group errgroup.Group
	for _, readers := range l.readersToAsk() {
		group.Go(func() error {
			for _, p := range readers {
				if l.askReader(ctx, p) {
					break
				}
			}
			return nil
		})
	}
	_ = group.Wait() // askReader handles its errors
}

// readersToAsk returns lists of readers, of each of which one has to answer: those of each other
// zone, and each other reader of the own zone alone.
func (l *load) readersToAsk() [][]follower.Peer {
	self := l.balancer.self()
	peers := append(l.peers(), self)
	zones, addresses := make(map[string]bool), make(map[string]bool)
	for _, p := range peers {
		zones[p.AvailabilityZone], addresses[p.Address] = true, true
	}
	l.mu.Lock()
	maps.DeleteFunc(l.backoffs, func(address string, _ time.Time) bool { return !addresses[address] })
	l.mu.Unlock()
	responds := l.responds(l.balancer.ViewClock())
	var asked [][]follower.Peer
	for zone := range zones {
		readers := follower.Readers(peers, zone, responds)
		if zone != self.AvailabilityZone && len(readers) > 0 {
			first := slices.Index(readers, follower.PickReader(readers, self.Name))
			asked = append(asked, slices.Concat(readers[first:], readers[:first]))
			continue
		}
		for _, p := range readers {
			if p != self {
				asked = append(asked, []follower.Peer{p})
			}
		}
	}
	return asked
}

// responds returns a function that reports whether a balancer may be asked at now.
func (l *load) responds(now time.Time) func(follower.Peer) bool {
	return func(p follower.Peer) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return now.After(l.backoffs[p.Address])
	}
}

// askReader asks a reader for its load and adds what it answers. It reports whether that is what
// a reader of its zone has.
func (l *load) askReader(ctx context.Context, p follower.Peer) bool {
	b := l.balancer
	sent := b.ViewClock()
	a, err := l.requestLoad(ctx, p)
	now := b.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, failedBefore := l.backoffs[p.Address]
	if err != nil {
		l.backoffs[p.Address] = now.Add(readerBackoff)
		l.countDropped(now, p.Name, err)
		if !failedBefore && ctx.Err() == nil {
			b.log.Warn("source of load lost", "peer", p.Name, "zone", p.AvailabilityZone, "cause", err.Error())
		}
		return false
	}
	if failedBefore {
		delete(l.backoffs, p.Address)
		b.log.Info("source of load regained", "peer", p.Name, "zone", p.AvailabilityZone)
	}
	elapsed := now.Sub(sent)
	if p.AvailabilityZone == b.settings.AvailabilityZone {
		if a.Half != nil {
			l.combiner.AddHalf(now, p.Name, elapsed, *a.Half)
		}
		return a.Half != nil
	}
	if a.Summary == nil || a.Summary.AvailabilityZone != p.AvailabilityZone {
		return false
	}
	a.Summary.Distance = l.atlas.Measure(now, p.AvailabilityZone, elapsed)
	l.atlas.Set(now, elapsed, *a.Summary)
	return true
}

func (l *load) requestLoad(ctx context.Context, p follower.Peer) (aggregator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	l.mu.Lock()
	combining := l.combining
	l.mu.Unlock()
	query := url.Values{}
	if combining {
		query.Set(zoneParameter, l.balancer.settings.AvailabilityZone)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+loadPath+"?"+query.Encode(), nil)
	if err != nil {
		return aggregator.Answer{}, errors.Wrapf(err, "requesting the load from peer %s", p.Name)
	}
	if !combining {
		l.attach(p.Address, req.Header)
	}
	sent := l.balancer.ViewClock()
	res, err := l.balancer.view.client.Do(req)
	if err != nil {
		return aggregator.Answer{}, errors.Wrapf(err, "requesting the load from peer %s", p.Name)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, aggregator.MaxAnswerBytes+1))
	if err != nil {
		return aggregator.Answer{}, errors.Wrapf(err, "requesting the load from peer %s", p.Name)
	}
	if res.StatusCode != http.StatusOK {
		return aggregator.Answer{}, &PeerError{address: p.Address, status: res.StatusCode}
	}
	l.balancer.metrics.loadBytesReceived.Add(len(data))
	l.takeAnswer(p.Address, res.Header, l.balancer.ViewClock().Sub(sent))
	a, err := aggregator.DecodeAnswer(data)
	return a, errors.Wrapf(err, "decoding the load of peer %s", p.Name)
}

// handle responds with the own zone's Summary and, to a reader of the own zone, with this
// balancer's half. To a report it responds as a response with the view does.
func (l *load) handle(w http.ResponseWriter, r *http.Request) {
	b := l.balancer
	own := b.settings.AvailabilityZone
	now := b.ViewClock()
	if l.takeRequest(r) {
		l.answer(w.Header())
	}
	var a aggregator.Answer
	l.mu.Lock()
	if s, known := l.atlas.Picture(now).Zones[own]; known {
		a.Summary = &s
	}
	if r.FormValue(zoneParameter) == own && l.combining {
		half := l.half
		half.Ages = make([]time.Duration, len(l.half.Ages))
		for i, age := range l.half.Ages {
			half.Ages[i] = age + now.Sub(l.roundAt)
		}
		a.Half = &half
	}
	l.mu.Unlock()
	data, err := a.Encode()
	if err != nil {
		b.log.Error("cannot encode load for peer", "cause", err.Error())
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	b.metrics.loadBytesSent.Add(len(data))
	if _, err := w.Write(data); err != nil {
		b.metrics.peerResponsesLost.Inc()
	}
}
