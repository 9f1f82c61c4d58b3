package requester

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/answerer"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// Policy of short requests.
const (
	shortDeadline = 4 * time.Second
	maxAttempts   = 2
	retryBackoff  = 100 * time.Millisecond
	itemBytes     = 4 << 10
)

// StatusError reports an answer that is neither an answer nor a refusal.
type StatusError struct {
	status int
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string { return fmt.Sprintf("the target answered %d", e.status) }

// NotRunError reports a target's refusal which says that a request did not run.
type NotRunError struct{}

func (*NotRunError) Error() string { return "the target refused the request, which did not run" }

// PartialError reports an answer that is not the whole one.
type PartialError struct {
	bytes int
}

// Bytes returns the length of what came.
func (e *PartialError) Bytes() int { return e.bytes }

func (e *PartialError) Error() string {
	return fmt.Sprintf("the answer of %d bytes is not the one that was asked for", e.bytes)
}

// sendShort begins short requests at the rate of a load until ctx ends.
func (c *Requester) sendShort(ctx context.Context, load Load, random *rand.Rand) error {
	if load.Rate <= 0 {
		return nil
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / load.Rate))
	defer ticker.Stop()
	var group errgroup.Group
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
		kind := journal.KindItem
		if random.Float64() < load.NonIdempotentShare {
			kind = journal.KindHold
		}
		id := c.id(load, kind, n)
		group.Go(func() error { return c.short(context.WithoutCancel(ctx), load, id, kind) })
	}
}

// short sends one request, with retries where they are safe.
func (c *Requester) short(ctx context.Context, load Load, id string, kind journal.Kind) error {
	for attempt := 1; ; attempt++ {
		record := c.attempt(ctx, load, id, kind, attempt)
		record.Final = attempt == maxAttempts || !mayRetry(kind, record.Outcome)
		if err := c.journal.Append(journal.Entry{Request: &record}); err != nil {
			return err
		}
		if record.Final {
			return nil
		}
		pause(ctx, retryBackoff)
	}
}

// mayRetry says whether a request can be sent again without running twice.
func mayRetry(kind journal.Kind, outcome journal.Outcome) bool {
	switch outcome {
	case journal.Answered:
		return false
	case journal.RefusedNotRun:
		return true
	default:
		return kind == journal.KindItem
	}
}

func (c *Requester) attempt(ctx context.Context, load Load, id string, kind journal.Kind, n int) journal.Request {
	start := time.Now()
	record := journal.Request{
		ID: id, Attempt: n, Service: load.Service, Kind: kind, Whole: true,
		StartUnixMs: start.UnixMilli(),
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(time.Duration(c.settings.Deadline), shortDeadline))
	defer cancel()
	f, err := c.dial(ctx, load.Address)
	if f != nil {
		defer f.close()
	}
	if err == nil {
		err = f.ask(ctx, load, id, kind, n)
	}
	finish(&record, f, err)
	record.LatencyUs = time.Since(start).Microseconds()
	return record
}

// ask sends the request and checks the whole answer.
func (f *flow) ask(ctx context.Context, load Load, id string, kind journal.Kind, n int) error {
	method, path, size := http.MethodGet, fmt.Sprintf("/item?id=%s&bytes=%d", id, itemBytes), itemBytes
	if kind == journal.KindHold {
		method, path, size = http.MethodPost, "/hold?id="+id, answerer.HoldBodyBytes
	}
	request, err := newRequest(ctx, method, load, path, id, n)
	if err != nil {
		return err
	}
	request.Header.Set(answerer.HeaderIdempotency, id)
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "sending the request")
	}
	defer response.Body.Close()
	if response.Header.Get(answerer.HeaderNotRun) == "true" {
		return &NotRunError{}
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{status: response.StatusCode}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if !bytes.Equal(body, answerer.Body(id, size)) {
		return &PartialError{bytes: len(body)}
	}
	return nil
}

// finish fills in the outcome of an attempt that ended with err.
func finish(record *journal.Request, f *flow, err error) {
	record.EndUnixMs = time.Now().UnixMilli()
	if f != nil {
		f.describe(record)
	}
	record.Outcome = outcome(err, record.HeardUnixMs > 0)
	if err != nil {
		record.Detail = err.Error()
		record.Whole = !is[*PartialError](err)
	}
}

func outcome(err error, heard bool) journal.Outcome {
	switch {
	case err == nil || is[*PartialError](err):
		return journal.Answered
	case is[*NotRunError](err), is[*RefusedError](err):
		return journal.RefusedNotRun
	case is[*StatusError](err):
		return journal.Unanswered
	case heard:
		return journal.Broken
	default:
		return journal.Unanswered
	}
}

// is says whether err has an error of type T in its chain.
func is[T error](err error) bool {
	var wanted T
	return errors.As(err, &wanted)
}
