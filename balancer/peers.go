package balancer

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"trefoilspring.example/trefoilspring/compressor"
	"trefoilspring.example/trefoilspring/follower"
	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// peerResponseMargin is the time that a request to a peer may take in addition to the
	// wait that the request asks for. The latency to peers is 0.1 ms in the same zone and
	// 1.4 ms between zones; a small VM takes up to 100 ms to send the full view.
	peerResponseMargin = 500 * time.Millisecond
	// peerDialTimeout limits the time to connect to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// firstViewDialTimeout replaces peerDialTimeout until the first view has arrived. VMs of
	// a zone start within 0.3 s of each other, so one of the zone's readers (the balancers
	// that query the store; see package follower) may still be powered off while another one
	// already has the view.
	firstViewDialTimeout = 80 * time.Millisecond
	// maxPeerWait limits how long a peer may ask to wait for a change.
	maxPeerWait = 5 * time.Second
	// maxPeerResponseBytes limits the size of a peer's response. A value of the store has at
	// most 1 MB.
	maxPeerResponseBytes = 8 << 20
	// headerReadTimeout limits the time to read the header of an HTTP request.
	headerReadTimeout = 5 * time.Second

	viewPath       = "/view"
	afterParameter = "after"
	waitParameter  = "wait-ms"
	// cacheAgeHeader names the header that holds the age of the encoded response in
	// milliseconds. The receiver adds it to the age of the update.
	cacheAgeHeader = "Held-Ms"
	// waitedHeader names the header that holds the time in milliseconds from the arrival of
	// the request until the age of the update was determined.
	waitedHeader = "Waited-Ms"
)

// newPeerClient returns a client for requests to peers.
func newPeerClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}}
}

// PeerError reports a peer that answered with a status other than 200.
type PeerError struct {
	address string
	status  int
}

// Address returns the peer's address.
func (e *PeerError) Address() string { return e.address }

// Status returns the HTTP status code of the response.
func (e *PeerError) Status() int { return e.status }

func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s answered with status %d", e.address, e.status)
}

// requestUpdate requests the changes after a revision of an era from the peer at an address. The
// peer waits up to wait for a change. requestUpdate also returns how long the peer waited.
func (v *view) requestUpdate(ctx context.Context, address string, era, after uint64, wait time.Duration) (replicator.Update, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerResponseMargin)
	defer cancel()
	query := url.Values{
		afterParameter: {strconv.FormatUint(after, 10)},
		waitParameter:  {strconv.FormatInt(wait.Milliseconds(), 10)},
		eraParameter:   {strconv.FormatUint(era, 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+viewPath+"?"+query.Encode(), nil)
	if err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "requesting the view from peer %s", address)
	}
	client := v.client
	if v.usable {
		if v.load.attach(address, req.Header) {
			v.load.endDirect()
		}
	} else {
		client = v.firstViewClient
	}
	sent := v.load.balancer.ViewClock()
	res, err := client.Do(req)
	if err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "requesting the view from peer %s", address)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxPeerResponseBytes))
	if err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "requesting the view from peer %s", address)
	}
	if res.StatusCode != http.StatusOK {
		return replicator.Update{}, 0, &PeerError{address: address, status: res.StatusCode}
	}
	var u replicator.Update
	if err := cbor.Unmarshal(data, &u); err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "decoding the response of peer %s", address)
	}
	cacheAgeMs, err := strconv.ParseInt(res.Header.Get(cacheAgeHeader), 10, 64)
	if err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "decoding the response of peer %s: header %s", address, cacheAgeHeader)
	}
	u.Age += time.Duration(cacheAgeMs) * time.Millisecond
	waitedMs, err := strconv.ParseInt(cmp.Or(res.Header.Get(waitedHeader), "0"), 10, 64)
	if err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "decoding the response of peer %s: header %s", address, waitedHeader)
	}
	v.load.takeAnswer(address, res.Header, follower.PeerAnswerAge(v.load.balancer.ViewClock().Sub(sent), time.Duration(waitedMs)*time.Millisecond))
	if err := readEra(res.Header, &u); err != nil {
		return replicator.Update{}, 0, errors.Wrapf(err, "decoding the response of peer %s", address)
	}
	if u.Revision == 0 {
		return replicator.Update{}, 0, errors.Wrapf(errNoView, "requesting the view from peer %s", address)
	}
	return u, time.Duration(waitedMs) * time.Millisecond, nil
}

// servePeers serves the view to other balancers until ctx ends.
func (b *Balancer) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+viewPath, b.handleView)
	mux.HandleFunc("GET "+loadPath, b.load.handle)
	return serveHTTP(ctx, b.settings.PeerAddress, mux)
}

// handleView responds with the changes after the revision in the query, encoded as CBOR.
// It waits for a change as long as the query asks for, up to maxPeerWait.
func (b *Balancer) handleView(w http.ResponseWriter, r *http.Request) {
	at, err := parsePosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseUint(r.FormValue(waitParameter), 10, 32)
	if err != nil {
		http.Error(w, waitParameter+" must be a whole number of milliseconds", http.StatusBadRequest)
		return
	}
	arrived := b.ViewClock()
	reported := b.load.takeRequest(r)
	requested := b.awaitChange(r.Context(), at, min(time.Duration(ms)*time.Millisecond, maxPeerWait))
	waited := b.ViewClock().Sub(arrived)
	res, err := b.responses.encode(b.ViewClock, requested, func() replicator.Update {
		u := b.updateFor(at)
		b.compressItems(u.Items)
		return u
	})
	if err != nil {
		b.log.Error("cannot encode view for peer", "cause", err.Error())
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	if res.compressed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set(cacheAgeHeader, strconv.FormatInt(b.ViewClock().Sub(res.encodedAt).Milliseconds(), 10))
	writeEra(w.Header(), res.era, res.eraAge)
	w.Header().Set(waitedHeader, strconv.FormatInt(waited.Milliseconds(), 10))
	if reported {
		b.load.answer(w.Header())
	}
	if _, err := w.Write(res.body); err != nil {
		b.metrics.peerResponsesLost.Inc()
	}
}

// compressItems compresses large values in place and stores the result in the view for
// later requests. A value is compressed only when a peer first requests it, because
// compressing all values at the start would take most of the start-up time of a small VM.
func (b *Balancer) compressItems(items []replicator.Item) {
	for i, item := range items {
		compressed, err := item.Compress()
		if err != nil {
			b.log.Error("cannot compress value; sending it uncompressed", "key", item.Key, "cause", err.Error())
			continue
		}
		if compressed.Compressed && !item.Compressed {
			b.mu.Lock()
			b.view.replica.ReplaceWithCompressed(compressed)
			b.mu.Unlock()
		}
		items[i] = compressed
	}
}

// changes identifies the changes of the view, in an era up to a revision, that follow the
// revision after.
type changes struct {
	era, after, revision uint64
}

// viewResponse is an encoded response to a peer's request.
type viewResponse struct {
	changes
	eraAge     time.Duration
	encodedAt  time.Time
	body       []byte
	compressed bool
}

// isFor reports whether the response may be sent to a peer that requests some changes. A peer
// that requests all keys may get a response that lacks the latest changes.
func (res *viewResponse) isFor(requested changes) bool {
	if requested.after == 0 {
		requested.revision = res.revision
	}
	return res.changes == requested
}

// responseCache encodes responses to peers and caches the latest large one, so that it is
// encoded once for all peers that request it at about the same time. This happens when
// all balancers of a large fleet start at once and each requests the full view from a
// reader of its zone.
type responseCache struct {
	mu     sync.Mutex
	latest viewResponse
}

const (
	// minCompressedResponseBytes is the least size of a response that is compressed and
	// cached. A response with the changes of a few registrations is smaller.
	minCompressedResponseBytes = 1024
	// responseCacheTTL is how long a cached response is used. Peers get later changes with
	// their next request.
	responseCacheTTL = 200 * time.Millisecond
)

// encode returns the response with the update that build returns. A cached response for the
// requested changes is used instead of another one.
//
// Load pattern: 50 peers of a zone start together and wait for the reader's first view of 3,000
// targets. build copies the whole view, so it isn't called for each of them.
func (c *responseCache) encode(clock func() time.Time, requested changes, build func() replicator.Update) (viewResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock()
	res := c.latest
	if res.body != nil && res.isFor(requested) && now.Sub(res.encodedAt) < responseCacheTTL {
		return res, nil
	}
	u := build()
	data, err := cbor.Marshal(u)
	if err != nil {
		return viewResponse{}, errors.Wrap(err, "encoding a view")
	}
	res = viewResponse{
		changes: changes{era: u.Era, after: requested.after, revision: u.Revision},
		eraAge:  u.EraAge, encodedAt: now, body: data,
	}
	if len(data) < minCompressedResponseBytes {
		return res, nil
	}
	if res.body, err = compressor.Compress(data); err != nil {
		return viewResponse{}, err
	}
	res.compressed = true
	c.latest = res
	return res, nil
}

// serveHTTP serves HTTP at an address until ctx ends.
func serveHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving on %s", address)
	}
	return nil
}
