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
	// requestTimeout limits the duration of a request, in addition to the wait of a
	// Watch call.
	requestTimeout = 5 * time.Second
	// maxResponseBytes is the number of bytes that are read of a response body. It is
	// enough for a value of MaxValueBytes in base64.
	maxResponseBytes = 2 * MaxValueBytes
	// indexHeader is the response header with the index for the next Watch call.
	indexHeader = "X-Consul-Index"
)

// New returns a Store that uses Consul's HTTP API at address, a URL such as
// "http://127.0.0.1:8500". It does not connect yet.
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

// client calls Consul's HTTP API.
type client struct {
	address string
	http    *http.Client
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: requestTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     2 * DefaultWait,
	}
	return &http.Client{Transport: transport}
}

// request holds the parameters of one HTTP request to the platform.
type request struct {
	// operation is the name of the operation in error messages.
	operation string
	method    string
	path      string
	// key is the key, session id or session name that error messages name.
	key   string
	query url.Values
	body  []byte
	// timeout limits the duration of the request. 0 means requestTimeout.
	timeout time.Duration
}

// response holds an HTTP response of the platform.
type response struct {
	status int
	header http.Header
	body   []byte
}

// isWrite reports whether the request may change the platform's data.
func (r request) isWrite() bool { return r.method != http.MethodGet }

// do sends a request and returns the response. Its errors are an UnavailableError,
// an UnknownOutcomeError, which it returns only for writes, and a RateLimitedError.
func (c *client) do(ctx context.Context, req request) (response, error) {
	timeout := req.timeout
	if timeout == 0 {
		timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := c.address + req.path
	if len(req.query) > 0 {
		requestURL += "?" + req.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, req.method, requestURL, bytes.NewReader(req.body))
	if err != nil {
		return response{}, NewUnavailableError(req.operation, req.key, err)
	}
	res, err := c.http.Do(r)
	if err != nil {
		return response{}, newTransportError(req, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return response{}, newTransportError(req, err)
	}
	resp := response{status: res.StatusCode, header: res.Header, body: body}
	return resp, newStatusError(req, resp)
}

// newTransportError returns the error of a request that failed without a complete
// response. It is an UnavailableError if the request is a read or was provably not
// sent, and otherwise an UnknownOutcomeError.
func newTransportError(req request, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if !req.isWrite() || notSent {
		return NewUnavailableError(req.operation, req.key, err)
	}
	return NewUnknownOutcomeError(req.operation, req.key, err)
}

// newStatusError returns the error of a response with status 429, which is a
// RateLimitedError, or 500 and above. It returns nil for all other responses.
func newStatusError(req request, resp response) error {
	if resp.status == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(resp.header.Get("Retry-After"))
		retryAfter := time.Duration(seconds) * time.Second
		return &RateLimitedError{operation: req.operation, key: req.key, retryAfter: retryAfter}
	}
	if resp.status < http.StatusInternalServerError {
		return nil
	}
	cause := errors.Newf("status %d: %s", resp.status, firstLine(resp.body))
	if req.isWrite() {
		return NewUnknownOutcomeError(req.operation, req.key, cause)
	}
	return NewUnavailableError(req.operation, req.key, cause)
}

// firstLine returns the first line of a response body, cut to 200 bytes, for an
// error message.
func firstLine(body []byte) string {
	const maxBytes = 200
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), maxBytes)])
}
