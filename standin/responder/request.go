package responder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/verifier"
)

// streamLineInterval is the minimum time between two lines of a stream.
const streamLineInterval = time.Second

// handleStream sends numbered lines until the caller ends the request. It sends a
// line only after the caller has acknowledged the previous one with one byte of
// the request body, so the stream stalls if packets are lost in either direction.
func (t *Responder) handleStream(w http.ResponseWriter, r *http.Request) {
	t.setTargetHeaders(w)
	t.recordRun(r, journal.KindStream)
	ticker := time.NewTicker(streamLineInterval)
	defer ticker.Stop()
	acknowledgement := make([]byte, 1)
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "%d\n", n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if _, err := io.ReadFull(r.Body, acknowledgement); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// handleItem answers a short idempotent request with a body of as many bytes as
// the query parameter "bytes" says.
func (t *Responder) handleItem(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > verifier.MaxBodyBytes {
		http.Error(w, "the parameter bytes is missing, not a number or out of range", http.StatusBadRequest)
		return
	}
	t.serveShort(w, r, journal.KindIdempotent, size)
}

// handleHold answers a short request that is not idempotent.
func (t *Responder) handleHold(w http.ResponseWriter, r *http.Request) {
	t.serveShort(w, r, journal.KindNonIdempotent, verifier.HoldBodyBytes)
}

// serveShort runs a short request in a slot for the work time of the target. If it
// gets no slot, it answers 503 with the header that says the request did not run.
func (t *Responder) serveShort(w http.ResponseWriter, r *http.Request, kind journal.Kind, size int) {
	t.setTargetHeaders(w)
	ctx, cancel := withRequestDeadline(r)
	defer cancel()
	if !t.slots.acquire(ctx) {
		w.Header().Set(verifier.HeaderNotRun, "true")
		http.Error(w, "no free slot for the request", http.StatusServiceUnavailable)
		return
	}
	defer t.slots.release()
	t.recordRun(r, kind)
	select {
	case <-ctx.Done():
		http.Error(w, "the deadline of the request passed", http.StatusGatewayTimeout)
		return
	case <-time.After(time.Duration(t.settings.WorkTime)):
	}
	_, _ = w.Write(verifier.Body(r.Header.Get(verifier.HeaderRequestID), size))
}

// setTargetHeaders sets the response headers that name the target and its zone.
func (t *Responder) setTargetHeaders(w http.ResponseWriter) {
	w.Header().Set(verifier.HeaderTarget, t.settings.Name)
	w.Header().Set(verifier.HeaderZone, t.settings.AvailabilityZone)
}

// recordRun writes to the journal that a request begins to run.
func (t *Responder) recordRun(r *http.Request, kind journal.Kind) {
	attempt, _ := strconv.Atoi(r.Header.Get(verifier.HeaderAttempt))
	t.record(journal.Entry{Run: &journal.Run{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone, Service: t.settings.Service,
		ID: r.Header.Get(verifier.HeaderRequestID), Attempt: attempt,
		Kind: kind, Flow: r.RemoteAddr, UnixMs: time.Now().UnixMilli(),
	}})
}

// withRequestDeadline returns a context that ends when the caller cancels the
// request, or when the time in its deadline header has passed.
func withRequestDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(verifier.HeaderDeadline))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
