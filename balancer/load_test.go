package balancer_test

import (
	"encoding/base64"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/balancer"
	"trefoilspring.example/trefoilspring/platform"
)

// newNodeIn returns a balancer of an availability zone that is not started.
func newNodeIn(t *testing.T, zone, name string, s *store) *node {
	t.Helper()
	n := newNode(t, name, s)
	n.settings.AvailabilityZone = zone
	n.balancer = balancer.New(n.settings, platform.Fabric(), s.directory(), slog.New(slog.NewJSONHandler(&n.log, nil)))
	return n
}

// awaitMetric waits until the metrics have a line.
func (n *node) awaitMetric(t *testing.T, line string) {
	t.Helper()
	eventually(t, n.settings.Name+": "+line, func() bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, line+"\n")
	})
}

// Each balancer learns the load of all zones, whether it reads the store or asks a peer. The
// zone's remaining balancers go on when the other zone, and then one of their readers, ends.
func TestLoadReachesAllBalancers(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", registration(newTargetServer(t).address))
	nodes := make([]*node, 0, 5)
	for n := range 4 {
		nodes = append(nodes, newNode(t, fmt.Sprint("a-", n), s))
	}
	remote := newNodeIn(t, "b", "b-0", s)
	for _, n := range append(nodes, remote) {
		n.start(t)
	}
	for _, n := range append(nodes, remote) {
		n.awaitReadiness(t, http.StatusOK)
		n.awaitMetric(t, "trefoilspring_load_zones 2")
	}
	for _, n := range nodes {
		n.awaitMetric(t, "trefoilspring_load_reporters 4")
	}
	awaitCombining(t, nodes, 2)
	remote.stop()
	for _, n := range nodes {
		eventually(t, "zone lost", func() bool { return n.log.contains(`"msg":"load of zone lost"`) })
		is.True(n.log.contains(`"zone":"b"`))
	}
	lost := awaitCombining(t, nodes, 2)
	lost.stop()
	nodes = slices.DeleteFunc(nodes, func(n *node) bool { return n == lost })
	for _, n := range nodes {
		n.awaitMetric(t, "trefoilspring_load_reporters 3")
	}
}

// awaitCombining waits until as many nodes combine load reports, and returns one of them.
func awaitCombining(t *testing.T, nodes []*node, count int) *node {
	t.Helper()
	var found []*node
	eventually(t, fmt.Sprint(count, " nodes that combine reports"), func() bool {
		found = found[:0]
		for _, n := range nodes {
			if _, text := get(n.settings.MetricsAddress, "/metrics"); strings.Contains(text, "trefoilspring_load_combining 1\n") {
				found = append(found, n)
			}
		}
		return len(found) == count
	})
	return found[0]
}

// sendReport sends a load report in a request for the view, and returns the response's header.
func (n *node) sendReport(t *testing.T, text string) http.Header {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.settings.PeerAddress.String()+"/view?after=0&wait-ms=0", nil)
	is.NoErr(err)
	if text != "" {
		req.Header.Set("Load-Report", text)
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
	return res.Header
}

// Reports that can't be used are counted by reason, and the response has the view all the same.
func TestUnusableLoadReportsAreDropped(t *testing.T) {
	is := is.New(t)
	n, _, _ := newReadyNode(t)
	n.awaitMetric(t, "trefoilspring_load_zones 1") // the balancer knows itself as one of its zone
	stranger := aggregator.Report{Balancer: "stranger", AvailabilityZone: "a", Window: time.Second}
	data, err := stranger.Encode()
	is.NoErr(err)
	frozen := aggregator.Report{Balancer: "n1", AvailabilityZone: "a", Window: time.Second, Clock: 1}
	frozenData, err := frozen.Encode()
	is.NoErr(err)
	for report, reason := range map[string]string{
		"AgA":        "newer-format",
		"not base64": "malformed",
		base64.RawStdEncoding.EncodeToString(data):       "unknown-balancer",
		base64.RawStdEncoding.EncodeToString(frozenData): "too-old",
		strings.Repeat("A", 20000):                       "too-large",
	} {
		is.True(n.sendReport(t, report).Get("Load-Clock") != "")
		n.awaitMetric(t, fmt.Sprintf("trefoilspring_load_reports_dropped_total{reason=%q} 1", reason))
	}
	is.True(n.log.contains(`"msg":"load report dropped"`))
	older := n.sendReport(t, "") // a balancer of a release without load reports
	is.Equal(older.Get("Load-Clock")+older.Get("Load-Picture"), "")
}

// A reader that has just started has no load of its zone yet, and one of a release without load
// reports never has. The zone's other reader is asked in the same round.
func TestNextReaderIsAskedIfOneHasNoLoad(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	empty, err := aggregator.Answer{}.Encode()
	is.New(t).NoErr(err)
	for zone, withoutLoad := range map[string]http.HandlerFunc{
		"b": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(empty) },
		"c": http.NotFound,
	} {
		known, err := aggregator.Answer{Summary: &aggregator.Summary{AvailabilityZone: zone, Balancers: 2}}.Encode()
		is.New(t).NoErr(err)
		var first atomic.Pointer[string]
		for _, name := range []string{zone + "-1", zone + "-2"} {
			reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(nil, &name) || *first.Load() == name {
					withoutLoad(w, r)
					return
				}
				_, _ = w.Write(known)
			}))
			t.Cleanup(reader.Close)
			s.set("trefoilspring/balancers/"+name, fmt.Sprintf(`{"availability-zone":%q,"address":%q,"strength":0}`, zone, reader.Listener.Addr()))
		}
	}
	n := newNode(t, "a-1", s)
	n.start(t)
	n.awaitMetric(t, "trefoilspring_load_zones 3")
}

// The load stays known while the store is down and views grow old.
func TestLoadStaysKnownWithoutTheStore(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	nodes := []*node{newNode(t, "a-0", s), newNode(t, "a-1", s), newNode(t, "a-2", s), newNodeIn(t, "b", "b-0", s)}
	for _, n := range nodes {
		n.start(t)
	}
	for _, n := range nodes {
		n.awaitMetric(t, "trefoilspring_load_zones 2")
	}
	s.setDown(true)
	time.Sleep(aggregator.SummaryTTL + 3*time.Second)
	for _, n := range nodes {
		n.awaitMetric(t, "trefoilspring_load_zones 2")
		is.True(!n.log.contains(`"msg":"load of zone lost"`))
	}
}
