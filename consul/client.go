package consul

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds each call that does not wait for a change.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds what is read of an answer: a value in base64.
	maxAnswerBytes = 2 * MaxValueBytes
	indexHeader    = "X-Consul-Index"
)

// New returns a Store that speaks Consul's HTTP API to the service at address, a
// URL such as "http://127.0.0.1:8500". It does not connect yet.
func New(address string) *Store {
	c := &client{address: strings.TrimSuffix(address, "/"), http: newHTTPClient()}
	return &Store{
		Get:            c.get,
		Watch:          c.watch,
		CompareAndSwap: c.compareAndSwap,
		Delete:         c.delete,
		CreateSession:  c.createSession,
		RenewSession:   c.renewSession,
		DestroySession: c.destroySession,
		Acquire:        c.acquire,
		Release:        c.release,
	}
}

type client struct {
	address string
	http    *http.Client
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     2 * DefaultWait,
	}
	return &http.Client{Transport: transport}
}

// call is one request to the platform.
type call struct {
	operation string
	method    string
	path      string
	// key names the subject of the call in errors.
	key     string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// answer is what the platform answered, with its body read to the end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// writes reports whether the call may change the platform.
func (c call) writes() bool { return c.method != http.MethodGet }

func (c *client) do(ctx context.Context, req call) (answer, error) {
	timeout := req.timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.address + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return answer{}, NewUnavailableError(req.operation, req.key, err)
	}
	res, err := c.http.Do(r)
	if err != nil {
		return answer{}, failure(req, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, failure(req, err)
	}
	a := answer{status: res.StatusCode, header: res.Header, body: body}
	return a, refusal(req, a)
}

// failure types an error without an answer. Only a request that was provably
// not sent is known not to have run.
func failure(req call, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if !req.writes() || notSent {
		return NewUnavailableError(req.operation, req.key, err)
	}
	return NewUnknownOutcomeError(req.operation, req.key, err)
}

// refusal types an answer that says that the platform could not serve the call.
func refusal(req call, a answer) error {
	if a.status == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(a.header.Get("Retry-After"))
		retryAfter := time.Duration(seconds) * time.Second
		return &RateLimitedError{operation: req.operation, key: req.key, retryAfter: retryAfter}
	}
	if a.status < http.StatusInternalServerError {
		return nil
	}
	cause := errors.Newf("status %d: %s", a.status, firstLine(a.body))
	if req.writes() {
		return NewUnknownOutcomeError(req.operation, req.key, cause)
	}
	return NewUnavailableError(req.operation, req.key, cause)
}

// firstLine shortens a body for an error text.
func firstLine(body []byte) string {
	const maxBytes = 200
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), maxBytes)])
}
