package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"trefoilspring.example/trefoilspring/standin/listener"
)

// counters holds the packet counters of the fabric; Stats documents them.
type counters struct {
	sentToBalancers, cut, replies, noBalancer, malformed, unknownAddress, sendFailed atomic.Int64
}

// Stats is the response to GET /stats. All fields but the first count packets since
// the start of the fabric.
type Stats struct {
	// ReadyBalancers is the number of balancers that were ready at the last poll.
	ReadyBalancers int `json:"balancers-in"`
	// SentToBalancers counts packets of callers that were sent to a balancer.
	SentToBalancers int64 `json:"sprayed"`
	// Cut counts packets of callers that were dropped because their balancer is cut.
	Cut int64 `json:"cut"`
	// Replies counts packets that were sent to a caller.
	Replies int64 `json:"replies"`
	// NoBalancer counts packets of callers that were dropped because no balancer is
	// ready.
	NoBalancer int64 `json:"no-balancer"`
	// Malformed counts packets that were dropped because they can't be decoded.
	Malformed int64 `json:"malformed"`
	// UnknownAddress counts packets that were dropped because neither inner address
	// is a caller's, or because the caller they are for has sent nothing yet.
	UnknownAddress int64 `json:"unknown-address"`
	// SendFailed counts packets whose sending failed. They also count in
	// SentToBalancers or Replies.
	SendFailed int64 `json:"failed"`
}

// Stats returns the current counters.
func (f *Router) Stats() Stats {
	f.mu.RLock()
	ready := len(f.nextHops)
	f.mu.RUnlock()
	return Stats{
		ReadyBalancers:  ready,
		SentToBalancers: f.counters.sentToBalancers.Load(),
		Cut:             f.counters.cut.Load(),
		Replies:         f.counters.replies.Load(),
		NoBalancer:      f.counters.noBalancer.Load(),
		Malformed:       f.counters.malformed.Load(),
		UnknownAddress:  f.counters.unknownAddress.Load(),
		SendFailed:      f.counters.sendFailed.Load(),
	}
}

// serveAdmin serves the admin endpoint until ctx ends.
func (f *Router) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", f.cutHandler("balancer", true))
	mux.HandleFunc("POST /heal", f.cutHandler("balancer", false))
	mux.HandleFunc("POST /cut-zone", f.cutHandler("zone", true))
	mux.HandleFunc("POST /heal-zone", f.cutHandler("zone", false))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Stats())
	})
	return listener.Serve(ctx, f.settings.AdminAddress, mux)
}

// cutHandler returns a handler that cuts balancers, or heals them if cut is false.
// The query parameter key, "balancer" or "zone", gives the name of a balancer or a
// zone. If no balancer has it, the handler answers 404.
func (f *Router) cutHandler(key string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		want := r.URL.Query().Get(key)
		n := f.setCut(func(b Balancer) bool {
			if key == "zone" {
				return b.AvailabilityZone == want
			}
			return b.Name == want
		}, cut)
		if n == 0 {
			http.Error(w, "no balancer has this name or zone", http.StatusNotFound)
		}
	}
}
