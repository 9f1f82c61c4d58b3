package balancer

import (
	"encoding/base64"
	"net/http"
	"strconv"
	"time"

	"trefoilspring.example/trefoilspring/aggregator"
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
)

var loadEncoding = base64.RawStdEncoding

// attach adds a report to a request for the view to the peer at an address, if the peer is in
// the own zone and a report is due. It reports whether it did.
func (l *load) attach(address string, header http.Header) bool {
	b := l.balancer
	now := b.ViewClock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.sentAt) < reportInterval || !b.isZonePeer(address) {
		return false
	}
	var r aggregator.Report
	if c, known := l.clocks[address]; known {
		if now.Sub(l.takenAt) >= reportInterval {
			l.takeReport(now)
		}
		r = l.report
		r.Clock, r.Held = c.clock, max(l.takenAt.Sub(c.receivedAt), 0)
		if r.Window == 0 || l.takenAt.Before(c.receivedAt) {
			r = aggregator.Report{}
		}
	}
	data, err := r.Encode()
	if err != nil {
		b.log.Error("cannot encode load report", "cause", err.Error())
		return false
	}
	l.sentAt = now
	text := loadEncoding.EncodeToString(data)
	header.Set(loadReportHeader, text)
	if r.Window > 0 {
		b.metrics.loadReportsSent.Inc()
	}
	b.metrics.loadBytesSent.Add(len(text))
	return true
}

// endDirect notes that a request for the view has a report.
func (l *load) endDirect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct = false
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
	p, err := aggregator.DecodePicture(decodeHeader(text))
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
	l.receive(decodeHeader(text))
	return true
}

// decodeHeader returns the message in a header, or nil, which is no valid message, if the header
// isn't in base64.
func decodeHeader(text string) []byte {
	data, err := loadEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	return data
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
