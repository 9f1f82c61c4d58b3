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

const keyPath = "/v1/kv/"

// pair is one element of the answer to a read. JSON holds Value in base64.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	LockIndex   uint64
	Session     string
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	return c.read(ctx, call{operation: "get", key: key, query: url.Values{"consistent": {""}}})
}

func (c *client) watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{}
	if after > 0 {
		query.Set("index", strconv.FormatUint(after, 10))
		query.Set("wait", strconv.FormatInt(max(wait.Milliseconds(), 1), 10)+"ms")
	}
	// The service adds a jitter of up to a sixteenth to the wait.
	timeout := wait + wait/16 + callTimeout
	return c.read(ctx, call{operation: "watch", key: key, query: query, timeout: timeout})
}

func (c *client) read(ctx context.Context, req call) (Entry, error) {
	req.method = http.MethodGet
	req.path = keyPath + escapeKey(req.key)
	a, err := c.do(ctx, req)
	if err != nil {
		return Entry{}, err
	}
	entry, err := DecodeEntry(a.status, a.header.Get(indexHeader), a.body)
	if err != nil {
		return Entry{}, &AnswerError{operation: req.operation, key: req.key, status: a.status, cause: err}
	}
	return entry, nil
}

// DecodeEntry reads the answer to a read of one key: its status, its
// X-Consul-Index header and its body. A missing index is an error, so that an
// answer from something else than the platform is never taken for an absent key.
func DecodeEntry(status int, index string, body []byte) (Entry, error) {
	storeIndex, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Entry{}, errors.Wrap(err, "reading the index")
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
		return Entry{}, errors.Wrap(err, "reading the pairs")
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return Entry{}, errors.Newf("want one pair with an index, not %d pairs", len(pairs))
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
	return c.write(ctx, call{operation: "compare-and-swap", method: http.MethodPut, key: key, query: query, body: value}, index)
}

func (c *client) delete(ctx context.Context, key string, index uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.write(ctx, call{operation: "delete", method: http.MethodDelete, key: key, query: query}, index)
}

// write runs a call that is answered by true, or by false for a conflict.
func (c *client) write(ctx context.Context, req call, index uint64) error {
	if len(req.body) > MaxValueBytes {
		return &ValueSizeError{key: req.key, size: len(req.body)}
	}
	req.path = keyPath + escapeKey(req.key)
	a, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return nil
	case "false":
		return NewConflictError(req.key, index)
	}
	if a.status >= http.StatusBadRequest {
		cause := errors.Newf("refused: %s", firstLine(a.body))
		return &AnswerError{operation: req.operation, key: req.key, status: a.status, cause: cause}
	}
	return NewUnknownOutcomeError(req.operation, req.key, errors.Newf("bad answer: %s", firstLine(a.body)))
}

// escapeKey escapes each part of a key, and keeps its slashes.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}
