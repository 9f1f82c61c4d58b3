package responder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilspring.example/trefoilspring/standin/answerer"
	"trefoilspring.example/trefoilspring/standin/journal"
)

// streamInterval is the time between two lines of a stream.
const streamInterval = time.Second

// stream sends numbered lines until the caller ends the request, each after the
// caller has acknowledged the one before, so that it stalls when packets are
// lost in either direction.
func (t *Responder) stream(w http.ResponseWriter, r *http.Request) {
	t.name(w)
	t.run(r, journal.KindStream)
	ticker := time.NewTicker(streamInterval)
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

func (t *Responder) item(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 || size > answerer.MaxBodyBytes {
		http.Error(w, "bytes is out of range", http.StatusBadRequest)
		return
	}
	t.short(w, r, journal.KindItem, size)
}

func (t *Responder) hold(w http.ResponseWriter, r *http.Request) {
	t.short(w, r, journal.KindHold, answerer.HoldBodyBytes)
}

// short runs a short request in a slot, or sheds it.
func (t *Responder) short(w http.ResponseWriter, r *http.Request, kind journal.Kind, size int) {
	t.name(w)
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !t.slots.acquire(ctx) {
		w.Header().Set(answerer.HeaderNotRun, "true")
		http.Error(w, "too much work", http.StatusServiceUnavailable)
		return
	}
	defer t.slots.release()
	t.run(r, kind)
	select {
	case <-ctx.Done():
		http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
		return
	case <-time.After(time.Duration(t.settings.WorkTime)):
	}
	_, _ = w.Write(answerer.Body(r.Header.Get(answerer.HeaderRequestID), size))
}

// name tells the caller who answers.
func (t *Responder) name(w http.ResponseWriter) {
	w.Header().Set(answerer.HeaderTarget, t.settings.Name)
	w.Header().Set(answerer.HeaderZone, t.settings.AvailabilityZone)
}

// run records that a request begins to run.
func (t *Responder) run(r *http.Request, kind journal.Kind) {
	attempt, _ := strconv.Atoi(r.Header.Get(answerer.HeaderAttempt))
	t.record(journal.Entry{Run: &journal.Run{
		Target: t.settings.Name, Zone: t.settings.AvailabilityZone, Service: t.settings.Service,
		ID: r.Header.Get(answerer.HeaderRequestID), Attempt: attempt,
		Kind: kind, Flow: r.RemoteAddr, UnixMs: time.Now().UnixMilli(),
	}})
}

// withDeadline bounds the request by its deadline header; the caller's
// cancellation ends it too.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(answerer.HeaderDeadline))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
