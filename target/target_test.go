package target_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/assessor"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/target"
)

// probeOnce runs a Prober until the first probe of a target whose health endpoint is the
// handler. It returns the outcome of the probe and the counters.
func probeOnce(t *testing.T, handler http.HandlerFunc) (assessor.Probe, map[string]int64) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	plan := planner.New(1, &operator.Document{Targets: map[string]operator.Target{
		"bd-01": {Health: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
	}})
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	var probe assessor.Probe
	var mu sync.Mutex
	counts := make(map[string]int64)
	p := target.New()
	p.Targets = func() []*planner.Target { return []*planner.Target{plan.Target(planner.NewTargetID("bd-01"))} }
	p.Count = func(name string, n int64) {
		mu.Lock()
		defer mu.Unlock()
		counts[name] += n
	}
	p.OnProbe = func(_ planner.TargetID, outcome assessor.Probe) {
		probe = outcome
		stop()
	}
	is.New(t).NoErr(p.Run(ctx))
	return probe, counts
}

func TestProbeReadsTheStartTime(t *testing.T) {
	is := is.New(t)
	probe, counts := probeOnce(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"state":"serving","started-unix-ms":1764846488000,"load":0.3,"slots":3,"open-flows":120}`)
	})
	is.True(probe.Answered)
	is.Equal(probe.Started.UnixMilli(), int64(1764846488000))
	is.Equal(counts["probes"], int64(1))
}

func TestFailedProbesAreCountedByReason(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"probe-malformed":   func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"state":7`) },
		"probe-timed-out":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"probe-unreachable": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for reason, handler := range handlers {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			probe, counts := probeOnce(t, handler)
			is.True(!probe.Answered)
			is.Equal(counts[reason], int64(1))
		})
	}
}
