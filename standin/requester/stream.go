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

	"trefoilspring.example/trefoilspring/standin/answerer"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// Timing of long-lived streams.
const (
	stallTimeout  = 5 * time.Second
	reopenBackoff = 500 * time.Millisecond
)

// keepStreams keeps the long-lived streams of a load open until ctx ends.
func (c *Requester) keepStreams(ctx context.Context, load Load) error {
	var group errgroup.Group
	for n := range load.Streams {
		group.Go(func() error { return c.keepStream(ctx, load, n) })
		pause(ctx, streamSpacing)
	}
	return group.Wait()
}

func (c *Requester) keepStream(ctx context.Context, load Load, n int) error {
	for ctx.Err() == nil {
		record := c.openStream(ctx, load, c.id(load, journal.KindStream, n))
		if err := c.journal.Append(journal.Entry{Request: &record}); err != nil {
			return err
		}
		if record.Outcome == journal.Answered {
			return nil
		}
		n += load.Streams // The next one is a request of its own.
		pause(ctx, reopenBackoff)
	}
	return nil
}

// openStream reads one stream until it fails or the caller ends it.
func (c *Requester) openStream(ctx context.Context, load Load, id string) journal.Request {
	record := journal.Request{
		ID: id, Final: true, Service: load.Service, Kind: journal.KindStream, Whole: true,
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
	finish(&record, f, err)
	record.Whole = !is[*OrderError](err)
	if record.Outcome == journal.Answered && lines == 0 {
		record.Outcome = journal.Unanswered
	}
	return record
}

// OrderError reports a line of a stream that is not the next one.
type OrderError struct {
	want int
	got  string
}

// Want returns the number that was due.
func (e *OrderError) Want() int { return e.want }

// Got returns the line.
func (e *OrderError) Got() string { return e.got }

func (e *OrderError) Error() string {
	return "a stream sent " + strconv.Quote(e.got) + " in place of line " + strconv.Itoa(e.want)
}

// readStream returns how many lines it read. It ends after a line, so that a
// stream which has stalled is never taken for one that the caller ended.
func (f *flow) readStream(ctx context.Context, load Load, id string) (int, error) {
	requestCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	watchdog := time.AfterFunc(stallTimeout, func() { cancel(errors.New("the stream has stalled")) })
	defer watchdog.Stop()
	request, err := newRequest(requestCtx, http.MethodGet, load, "/stream", id, 0)
	if err != nil {
		return 0, err
	}
	body, acknowledge := io.Pipe()
	defer func() { _ = acknowledge.Close() }()
	request.Body = body
	request.ContentLength = -1
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0, errors.Wrap(withCause(requestCtx, err), "opening the stream")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, &StatusError{status: response.StatusCode}
	}
	reader := bufio.NewReader(response.Body)
	for n := 0; ; n++ {
		line, err := reader.ReadString('\n')
		if err != nil {
			return n, errors.Wrap(withCause(requestCtx, err), "reading the stream")
		}
		if line != strconv.Itoa(n)+"\n" {
			return n, &OrderError{want: n, got: line}
		}
		if ctx.Err() != nil {
			return n + 1, nil
		}
		watchdog.Reset(stallTimeout)
		if _, err := acknowledge.Write([]byte{'\n'}); err != nil {
			return n + 1, errors.Wrap(withCause(requestCtx, err), "acknowledging a line")
		}
	}
}

func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// newRequest builds a request with the headers that targets know.
func newRequest(ctx context.Context, method string, load Load, path, id string, attempt int) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+load.Address.String()+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "building the request for %s", path)
	}
	request.Header.Set(answerer.HeaderRequestID, id)
	request.Header.Set(answerer.HeaderAttempt, strconv.Itoa(attempt))
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(answerer.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return request, nil
}
