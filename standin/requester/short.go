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

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/verifier"
)

// Parameters of short requests.
const (
	defaultDeadline = 4 * time.Second // of one attempt
	maxAttempts     = 2
	retryBackoff    = 100 * time.Millisecond
	itemBytes       = 4 << 10 // size of the body of an answer to an item request
)

// StatusError reports a response whose HTTP status is not 200 and which does not
// say that the request did not run.
type StatusError struct {
	status int
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

func (e *StatusError) Error() string {
	return fmt.Sprintf("the target answered with HTTP status %d", e.status)
}

// NotRunError reports a response with which a target refused a request and which
// says that the request did not run.
type NotRunError struct{}

func (*NotRunError) Error() string { return "the target refused the request without running it" }

// BodyMismatchError reports a response whose body is not the one that belongs to
// the request.
type BodyMismatchError struct {
	bytes int
}

// Bytes returns the length of the body that was received.
func (e *BodyMismatchError) Bytes() int { return e.bytes }

func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("the body of %d bytes is not the one that belongs to the request", e.bytes)
}

// sendShortRequests starts short requests at the rate of a load until ctx ends, and
// waits for their outcome. It returns an error if the journal fails.
func (c *Requester) sendShortRequests(ctx context.Context, load Load, random *rand.Rand) error {
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
		kind := journal.KindIdempotent
		if random.Float64() < load.NonIdempotentShare {
			kind = journal.KindNonIdempotent
		}
		id := c.requestID(load, kind, n)
		group.Go(func() error { return c.sendWithRetries(context.WithoutCancel(ctx), load, id, kind) })
	}
}

// sendWithRetries sends one short request, retries it if that is safe, and writes
// each attempt to the journal.
func (c *Requester) sendWithRetries(ctx context.Context, load Load, id string, kind journal.Kind) error {
	for attempt := 1; ; attempt++ {
		record := c.sendAttempt(ctx, load, id, kind, attempt)
		record.Final = attempt == maxAttempts || !canRetry(kind, record.Outcome)
		if err := c.journal.Append(journal.Entry{Request: &record}); err != nil {
			return err
		}
		if record.Final {
			return nil
		}
		sleep(ctx, retryBackoff)
	}
}

// canRetry reports whether a request may be sent again after an attempt with this
// outcome: if it did not run, or if it is idempotent and was not answered.
func canRetry(kind journal.Kind, outcome journal.Outcome) bool {
	switch outcome {
	case journal.Answered:
		return false
	case journal.RefusedNotRun:
		return true
	default:
		return kind == journal.KindIdempotent
	}
}

// sendAttempt sends the attempt n of a short request on a new flow and returns its
// record, without Final.
func (c *Requester) sendAttempt(ctx context.Context, load Load, id string, kind journal.Kind, n int) journal.Request {
	start := time.Now()
	record := journal.Request{
		ID: id, Attempt: n, Service: load.Service, Kind: kind, Complete: true,
		StartUnixMs: start.UnixMilli(),
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(time.Duration(c.settings.Deadline), defaultDeadline))
	defer cancel()
	f, err := c.dial(ctx, load.Address)
	if f != nil {
		defer f.close()
	}
	if err == nil {
		err = f.roundTrip(ctx, load, id, kind, n)
	}
	finishRecord(&record, f, err)
	record.LatencyUs = time.Since(start).Microseconds()
	return record
}

// roundTrip sends a short request and checks the response. It returns a
// NotRunError, a StatusError or a BodyMismatchError if the response is not the
// complete answer.
func (f *flow) roundTrip(ctx context.Context, load Load, id string, kind journal.Kind, n int) error {
	method, path, size := http.MethodGet, fmt.Sprintf("/item?id=%s&bytes=%d", id, itemBytes), itemBytes
	if kind == journal.KindNonIdempotent {
		method, path, size = http.MethodPost, "/hold?id="+id, verifier.HoldBodyBytes
	}
	request, err := newRequest(ctx, method, load, path, id, n)
	if err != nil {
		return err
	}
	request.Header.Set(verifier.HeaderIdempotency, id)
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "sending the request")
	}
	defer response.Body.Close()
	if response.Header.Get(verifier.HeaderNotRun) == "true" {
		return &NotRunError{}
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{status: response.StatusCode}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the answer")
	}
	if !bytes.Equal(body, verifier.Body(id, size)) {
		return &BodyMismatchError{bytes: len(body)}
	}
	return nil
}

// finishRecord sets the end and the outcome of an attempt that ended with err,
// and what f knows of it; f may be nil.
func finishRecord(record *journal.Request, f *flow, err error) {
	record.EndUnixMs = time.Now().UnixMilli()
	if f != nil {
		f.addToRecord(record)
	}
	record.Outcome = outcomeOf(err, record.LastReceivedUnixMs > 0)
	if err != nil {
		record.Detail = err.Error()
		record.Complete = !isError[*BodyMismatchError](err)
	}
}

// outcomeOf returns the outcome of an attempt that ended with err; received says
// whether the flow received any packet. A body that does not match counts as an
// answer here, and finishRecord clears Complete for it.
func outcomeOf(err error, received bool) journal.Outcome {
	switch {
	case err == nil || isError[*BodyMismatchError](err):
		return journal.Answered
	case isError[*NotRunError](err), isError[*RefusedError](err):
		return journal.RefusedNotRun
	case isError[*StatusError](err):
		return journal.Unanswered
	case received:
		return journal.Broken
	default:
		return journal.Unanswered
	}
}

// isError reports whether err has an error of type T in its chain.
func isError[T error](err error) bool {
	var wanted T
	return errors.As(err, &wanted)
}
