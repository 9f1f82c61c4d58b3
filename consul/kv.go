package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// keyPath is the path of the key-value API, before the key.
const keyPath = "/v1/kv/"

// pair is one element of the JSON array that the platform returns for a read. Value
// is in base64 there.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	LockIndex   uint64
	Session     string
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	return c.readEntry(ctx, request{operation: "get", key: key, query: url.Values{"consistent": {""}}})
}

func (c *client) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", strconv.FormatInt(max(wait.Milliseconds(), 1), 10)+"ms")
	}
	// Consul adds a random delay of up to 1/16 of the wait.
	timeout := wait + wait/16 + requestTimeout
	return c.readEntry(ctx, request{operation: "watch", key: key, query: query, timeout: timeout})
}

// readEntry completes req as a read of its key, sends it and decodes the response.
func (c *client) readEntry(ctx context.Context, req request) (Entry, error) {
	req.method = http.MethodGet
	req.path = keyPath + escapeKey(req.key)
	resp, err := c.do(ctx, req)
	if err != nil {
		return Entry{}, err
	}
	entry, err := DecodeEntry(resp.status, resp.header.Get(indexHeader), resp.body)
	if err != nil {
		return Entry{}, &ResponseError{operation: req.operation, key: req.key, status: resp.status, cause: err}
	}
	return entry, nil
}

// DecodeEntry decodes the response to a read of one key from its status, the value
// of its X-Consul-Index header and its body. It returns an error if the index is
// missing, so that a response with status 404 from another server, such as a
// proxy, is never taken for an absent key.
func DecodeEntry(status int, index string, body []byte) (Entry, error) {
	storeIndex, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Entry{}, errors.Wrap(err, "parsing the X-Consul-Index header")
	}
	switch status {
	case http.StatusNotFound:
		return AbsentEntry(storeIndex), nil
	case http.StatusOK:
	default:
		return Entry{}, errors.Newf("unexpected status: %s", firstLine(body))
	}
	var pairs []pair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return Entry{}, errors.Wrap(err, "decoding the key-value pairs")
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Entry{}, errors.Newf("want one key-value pair with an index, got %d pairs", len(pairs))
	}
	p := pairs[0]
	return NewEntry(EntryFields{
		Value:      p.Value,
		Index:      p.ModifyIndex,
		LockIndex:  p.LockIndex,
		Session:    p.Session,
		StoreIndex: storeIndex,
	}), nil
}

func (c *client) compareAndSwap(ctx context.Context, key string, index uint64, value []byte) error {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeEntry(ctx, request{operation: "compare-and-swap", method: http.MethodPut, key: key, query: query, body: value}, index)
}

func (c *client) delete(ctx context.Context, key string, index uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeEntry(ctx, request{operation: "delete", method: http.MethodDelete, key: key, query: query}, index)
}

// writeEntry sends a write to req's key. The platform responds with true if the
// write took effect and with false if it conflicted; writeEntry then returns a
// ConflictError with index.
func (c *client) writeEntry(ctx context.Context, req request, index uint64) error {
	if len(req.body) > MaxValueBytes {
		return &ValueSizeError{key: req.key, size: len(req.body)}
	}
	req.path = keyPath + escapeKey(req.key)
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	switch strings.TrimSpace(string(resp.body)) {
	case "true":
		return nil
	case "false":
		return NewConflictError(req.key, index)
	}
	if resp.status >= http.StatusBadRequest {
		cause := errors.Newf("request refused: %s", firstLine(resp.body))
		return &ResponseError{operation: req.operation, key: req.key, status: resp.status, cause: cause}
	}
	return NewUnknownOutcomeError(req.operation, req.key, errors.Newf("unexpected response: %s", firstLine(resp.body)))
}

// escapeKey escapes a key for a URL path, but not its slashes.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
