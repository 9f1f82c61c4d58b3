package sprayer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"trefoilspring.example/trefoilspring/standin/listener"
)

// counts holds the counters of the fabric, in packets.
type counts struct {
	sprayed, cut, replies, noBalancer, malformed, unknown, failed atomic.Int64
}

// Stats is the answer to GET /stats.
type Stats struct {
	BalancersIn int   `json:"balancers-in"`
	Sprayed     int64 `json:"sprayed"`
	Cut         int64 `json:"cut"`
	Replies     int64 `json:"replies"`
	NoBalancer  int64 `json:"no-balancer"`
	Malformed   int64 `json:"malformed"`
	Unknown     int64 `json:"unknown-address"`
	Failed      int64 `json:"failed"`
}

// Stats returns the present counts.
func (f *Sprayer) Stats() Stats {
	f.mu.RLock()
	in := len(f.in)
	f.mu.RUnlock()
	return Stats{
		BalancersIn: in,
		Sprayed:     f.counts.sprayed.Load(),
		Cut:         f.counts.cut.Load(),
		Replies:     f.counts.replies.Load(),
		NoBalancer:  f.counts.noBalancer.Load(),
		Malformed:   f.counts.malformed.Load(),
		Unknown:     f.counts.unknown.Load(),
		Failed:      f.counts.failed.Load(),
	}
}

func (f *Sprayer) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", f.switchHandler("balancer", true))
	mux.HandleFunc("POST /heal", f.switchHandler("balancer", false))
	mux.HandleFunc("POST /cut-zone", f.switchHandler("zone", true))
	mux.HandleFunc("POST /heal-zone", f.switchHandler("zone", false))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Stats())
	})
	return listener.Serve(ctx, f.settings.AdminAddress, mux)
}

// switchHandler cuts or heals the balancers whose name or zone the query has.
func (f *Sprayer) switchHandler(key string, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		want := r.URL.Query().Get(key)
		n := f.setCut(func(b Balancer) bool {
			if key == "zone" {
				return b.AvailabilityZone == want
			}
			return b.Name == want
		}, cut)
		if n == 0 {
			http.Error(w, "no balancer matches", http.StatusNotFound)
		}
	}
}
