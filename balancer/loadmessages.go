package balancer

import (
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/follower"
)

const (
	// loadReportHeader holds a load report in a request for the view, and loadPictureHeader
	// the load of all zones in its response. Both are in base64.
	loadReportHeader  = "Load-Report"
	loadPictureHeader = "Load-Picture"
	// loadHeldHeader holds the age of the Picture in milliseconds.
	loadHeldHeader = "Load-Held-Ms"
	// loadClockHeader holds the time of the responding balancer, in nanoseconds. The next
	// report repeats it, so that the responding balancer can tell the report's age.
	loadClockHeader = "Load-Clock"

	loadPath      = "/load"
	zoneParameter = "zone"
	// readerTimeout limits a request for the load to another reader. VMs with little
	// processor time take up to 100 ms to answer.
	readerTimeout = 400 * time.Millisecond
	// readerBackoff is how long a reader that didn't answer isn't asked again.
	readerBackoff = 4 * time.Second
)

var loadEncoding = base64.RawStdEncoding

// attach adds a report to a request for the view to the peer at an address, if the peer is in
// the own zone and a report is due.
func (l *load) attach(address string, header http.Header) {
	b := l.balancer
	if !b.isZonePeer(address) {
		return
	}
	now := b.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.sentAt) < reportInterval {
		return
	}
	var r aggregator.Report
	if c, known := l.clocks[address]; known {
		if now.Sub(l.takenAt) >= reportInterval {
			l.takeReport(now)
		}
		r = l.report
		r.Clock, r.Held = c.clock, max(l.takenAt.Sub(c.receivedAt), 0)
		if l.takenAt.Before(c.receivedAt) {
			r = aggregator.Report{}
		}
	}
	data, err := r.Encode()
	if err != nil {
		b.log.Error("cannot encode load report", "cause", err.Error())
		return
	}
	l.sentAt = now
	text := loadEncoding.EncodeToString(data)
	header.Set(loadReportHeader, text)
	if r.Window > 0 {
		b.metrics.loadReportsSent.Inc()
	}
	b.metrics.loadBytesSent.Add(len(text))
}

// isZonePeer reports whether another balancer of the own zone has an address.
func (b *Balancer) isZonePeer(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.view.peers {
		if p.Address == address {
			return p.AvailabilityZone == b.settings.AvailabilityZone && name != b.settings.Name
		}
	}
	return false
}

// takeAnswer takes what the response of the peer at an address to a request for the view says of
// the load. age is the time since the response was written, at most.
func (l *load) takeAnswer(address string, header http.Header, age time.Duration) {
	clock, err := strconv.ParseInt(header.Get(loadClockHeader), 10, 64)
	if err != nil {
		return // the request had no report, or the peer runs a release without load reports
	}
	now := l.balancer.ViewClock()
	l.mu.Lock()
	if _, known := l.clocks[address]; !known && len(l.clocks) >= maxReaderClocks {
		clear(l.clocks)
	}
	l.clocks[address] = peerClock{clock: clock, receivedAt: now}
	l.mu.Unlock()
	text := header.Get(loadPictureHeader)
	heldMs, err := strconv.ParseUint(header.Get(loadHeldHeader), 10, 31)
	if text == "" || err != nil {
		return
	}
	l.balancer.metrics.loadBytesReceived.Add(len(text))
	data, err := loadEncoding.DecodeString(text)
	var p aggregator.Picture
	if err == nil {
		p, err = aggregator.DecodePicture(data)
	}
	l.mu.Lock()
	if err != nil {
		l.countDropped(now, address, err)
	}
	l.atlas.SetPicture(now, age+time.Duration(heldMs)*time.Millisecond, p)
	_, known := l.atlas.Picture(now).Zones[l.balancer.settings.AvailabilityZone]
	l.mu.Unlock()
	if known {
		l.apply(now, aggregator.Picture{})
	}
}

// takeRequest takes the report of a request for the view, and reports whether there is one.
func (l *load) takeRequest(r *http.Request) bool {
	text := r.Header.Get(loadReportHeader)
	if text == "" {
		return false
	}
	l.balancer.metrics.loadBytesReceived.Add(len(text))
	data, err := loadEncoding.DecodeString(text)
	if err != nil {
		data = nil
	}
	l.receive(data)
	return true
}

// answer adds the load of all zones to the response to a request with a report.
func (l *load) answer(header http.Header) {
	now := l.balancer.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	header.Set(loadClockHeader, strconv.FormatInt(now.UnixNano(), 10))
	if l.pictureText == "" {
		l.pictureText = l.encodePicture(l.picture)
	}
	if l.pictureText == "" {
		return
	}
	header.Set(loadHeldHeader, strconv.FormatInt(now.Sub(l.pictureAt).Milliseconds()+1, 10))
	header.Set(loadPictureHeader, l.pictureText)
	l.balancer.metrics.loadBytesSent.Add(len(l.pictureText))
}

// encodePicture returns a Picture in the form of loadPictureHeader, or an empty string if it has no
// zone.
func (l *load) encodePicture(p aggregator.Picture) string {
	if len(p.Zones) == 0 {
		return ""
	}
	data, err := p.Encode()
	if err != nil {
		l.balancer.log.Error("cannot encode load of zones", "cause", err.Error())
		return ""
	}
	return loadEncoding.EncodeToString(data)
}

// askReaders asks the other readers of the own zone for their halves, and a reader of each other
// zone for the zone's Summary.
func (l *load) askReaders(ctx context.Context) {
	var group errgroup.Group
	for _, p := range l.readersToAsk() {
		group.Go(func() error {
			l.askReader(ctx, p)
			return nil
		})
	}
	_ = group.Wait() // askReader handles its errors
}

// readersToAsk returns the other readers of the own zone and a reader of each other zone.
func (l *load) readersToAsk() []follower.Peer {
	self := l.balancer.self()
	peers := append(l.peers(), self)
	zones := make(map[string]bool)
	for _, p := range peers {
		zones[p.AvailabilityZone] = true
	}
	now := l.balancer.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var asked []follower.Peer
	for zone := range zones {
		readers := follower.Readers(peers, zone, func(p follower.Peer) bool { return now.After(l.backoffs[p.Address]) })
		if zone != self.AvailabilityZone && len(readers) > 0 {
			readers = []follower.Peer{follower.PickReader(readers, self.Name)}
		}
		asked = append(asked, readers...)
	}
	return slices.DeleteFunc(asked, func(p follower.Peer) bool { return p == self })
}

// askReader asks a reader for its load, and adds what it answers.
func (l *load) askReader(ctx context.Context, p follower.Peer) {
	b := l.balancer
	sent := b.ViewClock()
	a, err := l.requestLoad(ctx, p)
	now := b.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.backoffs[p.Address] = now.Add(readerBackoff)
		l.countDropped(now, p.Name, err)
		return
	}
	delete(l.backoffs, p.Address)
	elapsed := now.Sub(sent)
	if a.Half != nil && p.AvailabilityZone == b.settings.AvailabilityZone {
		l.combiner.AddHalf(now, p.Name, elapsed, *a.Half)
	}
	if a.Summary != nil && p.AvailabilityZone != b.settings.AvailabilityZone && a.Summary.AvailabilityZone == p.AvailabilityZone {
		a.Summary.Distance = l.atlas.Measure(now, p.AvailabilityZone, elapsed)
		l.atlas.Set(now, elapsed, *a.Summary)
	}
}

func (l *load) requestLoad(ctx context.Context, p follower.Peer) (aggregator.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	query := url.Values{zoneParameter: {l.balancer.settings.AvailabilityZone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+loadPath+"?"+query.Encode(), nil)
	if err != nil {
		return aggregator.Answer{}, errors.Wrapf(err, "requesting the load from peer %s", p.Name)
	}
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
	a, err := aggregator.DecodeAnswer(data)
	return a, errors.Wrapf(err, "decoding the load of peer %s", p.Name)
}

// handle responds with the own zone's Summary and, to a balancer of the own zone, with this
// balancer's half.
func (l *load) handle(w http.ResponseWriter, r *http.Request) {
	b := l.balancer
	own := b.settings.AvailabilityZone
	now := b.ViewClock()
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
