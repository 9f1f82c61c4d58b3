package balancer

import (
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
	"trefoilspring.example/trefoilspring/replicator"
)

const (
	// peerTimeout is added to the wait of a question to a peer. Peers of a zone are
	// 0.1 ms away, others 1.4 ms; a small VM takes up to 100 ms for a full answer.
	peerTimeout = 500 * time.Millisecond
	// peerDialTimeout bounds the opening of a connection to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// firstDialTimeout does so for the first view, when a reader may still be without
	// power and another one has the view: VMs of a zone start within 0.3 s.
	firstDialTimeout = 80 * time.Millisecond
	// maxPeerWait bounds how long a peer may have its answer wait.
	maxPeerWait = 5 * time.Second
	// maxPeerAnswerBytes bounds an answer: the store's values are at most 1 MB.
	maxPeerAnswerBytes = 8 << 20
	// readTimeout bounds the reading of a request's head.
	readTimeout = 5 * time.Second

	viewPath  = "/view"
	afterName = "after"
	waitName  = "wait-ms"
	// heldHeader says for how many milliseconds an answer was kept before it was
	// given, which adds to its age.
	heldHeader = "Held-Ms"
)

func newPeerClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}}
}

// PeerError reports a peer that did not answer as a balancer does.
type PeerError struct {
	address string
	status  int
}

// Address returns the peer's address.
func (e *PeerError) Address() string { return e.address }

// Status returns the HTTP status of its answer.
func (e *PeerError) Status() int { return e.status }

func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s answered with status %d", e.address, e.status)
}

// ask asks a peer for what it knows beyond a revision.
func (v *view) ask(ctx context.Context, address string, after uint64, wait time.Duration) (replicator.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	query := url.Values{
		afterName: {strconv.FormatUint(after, 10)},
		waitName:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+viewPath+"?"+query.Encode(), nil)
	if err != nil {
		return replicator.Update{}, errors.Wrapf(err, "asking peer %s", address)
	}
	client := v.client
	if !v.complete {
		client = v.firstClient
	}
	res, err := client.Do(req)
	if err != nil {
		return replicator.Update{}, errors.Wrapf(err, "asking peer %s", address)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxPeerAnswerBytes))
	if err != nil {
		return replicator.Update{}, errors.Wrapf(err, "asking peer %s", address)
	}
	if res.StatusCode != http.StatusOK {
		return replicator.Update{}, &PeerError{address: address, status: res.StatusCode}
	}
	var u replicator.Update
	if err := cbor.Unmarshal(data, &u); err != nil {
		return replicator.Update{}, errors.Wrapf(err, "reading the answer of peer %s", address)
	}
	held, err := strconv.ParseInt(res.Header.Get(heldHeader), 10, 64)
	if err != nil {
		return replicator.Update{}, errors.Wrapf(err, "reading the answer of peer %s: %s", address, heldHeader)
	}
	u.Age += time.Duration(held) * time.Millisecond
	if u.Revision == 0 {
		return replicator.Update{}, errors.Wrapf(errNoView, "asking peer %s", address)
	}
	return u, nil
}

func (b *Balancer) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+viewPath, b.serveView)
	return serve(ctx, b.settings.PeerAddress, mux)
}

func (b *Balancer) serveView(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(afterName), 10, 64)
	if err != nil {
		http.Error(w, afterName+" must be a revision", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseUint(r.FormValue(waitName), 10, 32)
	if err != nil {
		http.Error(w, waitName+" must be whole milliseconds", http.StatusBadRequest)
		return
	}
	u := b.since(r.Context(), after, min(time.Duration(ms)*time.Millisecond, maxPeerWait))
	b.pack(u.Items)
	a, err := b.answers.encode(time.Now(), after, u)
	if err != nil {
		b.log.Error("view can't be encoded for a peer", "cause", err.Error())
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	if a.packed {
		w.Header().Set("Content-Encoding", "gzip")
	}
	w.Header().Set(heldHeader, strconv.FormatInt(time.Since(a.at).Milliseconds(), 10))
	if _, err := w.Write(a.body); err != nil {
		b.metrics.peerAnswersLost.Inc()
	}
}

// pack packs what is large, in place, and keeps it so for the next peer. A balancer
// that nobody asks packs nothing: that would take most of the time of its start on a
// small VM.
func (b *Balancer) pack(items []replicator.Item) {
	for i, item := range items {
		packed, err := item.Pack()
		if err != nil {
			b.log.Error("value can't be packed; it is passed on as it is", "key", item.Key, "cause", err.Error())
			continue
		}
		if packed.Packed && !item.Packed {
			b.mu.Lock()
			b.view.replica.Keep(packed)
			b.mu.Unlock()
		}
		items[i] = packed
	}
}

// answer is the encoded answer to a peer's question.
type answer struct {
	after, revision uint64
	at              time.Time
	body            []byte
	packed          bool
}

// answers encodes answers to peers, a large one once for all that ask for it at
// about the same time. Load pattern: all balancers of a large fleet start at once
// and each asks a reader of its zone for everything.
type answers struct {
	mu     sync.Mutex
	latest answer
}

const (
	// packAnswerBytes is the size of an answer from which on it is packed and kept
	// for others. A change of a few registrations is smaller.
	packAnswerBytes = 1024
	// keepAnswer is how long a packed answer is given to others. What changed since
	// reaches them by their next question.
	keepAnswer = 200 * time.Millisecond
)

// encode returns the answer with what changed after a revision.
func (s *answers) encode(now time.Time, after uint64, u replicator.Update) (answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.latest
	if a.body != nil && a.after == after && (a.revision == u.Revision || after == 0) && now.Sub(a.at) < keepAnswer {
		return a, nil
	}
	data, err := cbor.Marshal(u)
	if err != nil {
		return answer{}, errors.Wrap(err, "encoding a view")
	}
	a = answer{after: after, revision: u.Revision, at: now, body: data}
	if len(data) < packAnswerBytes {
		return a, nil
	}
	if a.body, err = compressor.Pack(data); err != nil {
		return answer{}, err
	}
	a.packed = true
	s.latest = a
	return a, nil
}

// serve serves HTTP at an address until ctx ends.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving on %s", address)
	}
	return nil
}
