package requester

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/verifier"
)

// Timing of long-lived streams.
const (
	// stallTimeout is how long a stream may go without a line before it has failed.
	stallTimeout = 5 * time.Second
	// reopenBackoff is the time between the failure of a stream and its replacement.
	reopenBackoff = 500 * time.Millisecond
)

// maintainStreams keeps the long-lived streams of a load open until ctx ends. It
// returns an error if the journal fails.
func (c *Requester) maintainStreams(ctx context.Context, load Load) error {
	var group errgroup.Group
	start := time.Now()
	for n := range load.Streams {
		// The times don't depend on when the earlier streams were opened, so a caller
		// process that was delayed catches up.
		sleep(ctx, time.Until(start.Add(time.Duration(n)*streamStartInterval)))
		group.Go(func() error { return c.maintainStream(ctx, load, n) })
	}
	return group.Wait()
}

// maintainStream keeps one stream open until ctx ends, and replaces it by another
// when it fails. Each is written to the journal.
func (c *Requester) maintainStream(ctx context.Context, load Load, n int) error {
	for ctx.Err() == nil {
		record := c.runStream(ctx, load, c.requestID(load, journal.KindStream, n))
		if err := c.journal.Append(journal.Entry{Request: &record}); err != nil {
			return err
		}
		if record.Outcome == journal.Answered {
			return nil
		}
		n += load.Streams // The replacement is a new request and needs an id of its own.
		sleep(ctx, reopenBackoff)
	}
	return nil
}

// runStream opens a stream on a new flow, reads it until it fails or ctx ends, and
// returns its record.
func (c *Requester) runStream(ctx context.Context, load Load, id string) journal.Request {
	record := journal.Request{
		ID: id, Final: true, Service: load.Service, Kind: journal.KindStream, Complete: true,
		StartUnixMs: time.Now().UnixMilli(),
	}
	f, err := c.dial(context.WithoutCancel(ctx), load.Address)
	if f != nil {
		defer f.close()
	}
	lines := 0
	if err == nil {
		lines, err = f.readStream(ctx, load, id)
	}
	finishRecord(&record, f, err)
	record.Complete = !isError[*StreamOrderError](err)
	if record.Outcome == journal.Answered && lines == 0 {
		record.Outcome = journal.Unanswered
	}
	return record
}

// StreamOrderError reports a line of a stream that does not have the expected number.
type StreamOrderError struct {
	want int
	got  string
}

// Want returns the expected number.
func (e *StreamOrderError) Want() int { return e.want }

// Got returns the line that was received.
func (e *StreamOrderError) Got() string { return e.got }

func (e *StreamOrderError) Error() string {
	return "the stream sent the line " + strconv.Quote(e.got) + ", expected number " + strconv.Itoa(e.want)
}

// readStream reads a stream, acknowledges each line and returns how many lines it
// read. When ctx ends, it goes on until the next line and then returns without an
// error. So a stream that has stalled fails with the stall timeout, and is not
// recorded as one that the caller closed.
func (f *flow) readStream(ctx context.Context, load Load, id string) (int, error) {
	requestCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	watchdog := time.AfterFunc(stallTimeout, func() { cancel(errors.New("the stream has stalled: no line within the stall timeout")) })
	defer watchdog.Stop()
	request, err := newRequest(requestCtx, http.MethodGet, load, "/stream", id, 0)
	if err != nil {
		return 0, err
	}
	body, acknowledgements := io.Pipe()
	defer func() { _ = acknowledgements.Close() }()
	request.Body = body
	request.ContentLength = -1
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0, errors.Wrap(streamError(requestCtx, err), "opening the stream")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, &StatusError{status: response.StatusCode}
	}
	reader := bufio.NewReader(response.Body)
	for n := 0; ; n++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			return n, errors.Wrap(streamError(requestCtx, err), "reading the stream")
		}
		if line != strconv.Itoa(n)+"\n" {
			return n, &StreamOrderError{want: n, got: line}
		}
		if ctx.Err() != nil {
			return n + 1, nil
		}
		watchdog.Reset(stallTimeout)
		if _, err := acknowledgements.Write([]byte{'\n'}); err != nil {
			return n + 1, errors.Wrap(streamError(requestCtx, err), "acknowledging a line")
		}
	}
}

// streamError returns the cause of the end of ctx if it has ended, and err
// otherwise. It turns io.EOF into io.ErrUnexpectedEOF, since a target never ends a
// stream.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// newRequest returns a request with the headers of package verifier: its id, the
// number of the attempt, and the time until the deadline of ctx if it has one.
func newRequest(ctx context.Context, method string, load Load, path, id string, attempt int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+load.Address.String()+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "building the request for %s", path)
	}
	request.Header.Set(verifier.HeaderRequestID, id)
	request.Header.Set(verifier.HeaderAttempt, strconv.Itoa(attempt))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(verifier.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return request, nil
}
