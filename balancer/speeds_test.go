package balancer_test

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/aggregator"
	"trefoilspring.example/trefoilspring/balancer"
	"trefoilspring.example/trefoilspring/platform"
)

// Load pattern: one of four targets takes six times as long as the others. A balancer that reads
// no reports learns it from its reader.
func TestSlowTargetIsKnownWithoutReports(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	class := aggregator.ClassCount{
		Class: aggregator.Class{Service: "s"}, Openings: 20, Requests: 20, Answered: 20, Timed: 20, Time: 15*20*time.Millisecond + 5*120*time.Millisecond,
	}
	var targets []aggregator.TargetCount
	for id := range uint64(4) {
		s.set(fmt.Sprint("servers/i-", id), registration(newTargetServer(t).address))
		targets = append(targets, aggregator.TargetCount{Target: id, Begun: 5, Answered: 5, Timed: 5, Time: 5 * 20 * time.Millisecond})
	}
	targets[2].Time *= 6
	for n := range 4 {
		s.set(fmt.Sprint("trefoilspring/balancers/r-", n), `{"availability-zone":"a","address":"127.0.0.1:9","strength":0}`)
	}
	var nodes []*node
	for i := range 3 {
		n := newNode(t, fmt.Sprint("a-", i), s)
		n.settings.LinkMbps, n.settings.Cores = 1000, 4 // so that no r-0 to r-3 is a reader
		n.balancer = balancer.New(n.settings, platform.Fabric(), s.directory(), newLogger(&n.log))
		n.start(t)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.awaitMetric(t, "trefoilspring_load_zones 1")
	}
	reader := awaitCombining(t, nodes, 2)
	other := nodes[slices.IndexFunc(nodes, func(n *node) bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, "trefoilspring_load_combining 0\n")
	})]
	var sentAt time.Time
	clock, receivedAt := "", time.Time{}
	eventually(t, "slow target", func() bool {
		if time.Since(sentAt) >= time.Second {
			sentAt = time.Now()
			r := aggregator.Report{AvailabilityZone: "a", Window: time.Second, Held: sentAt.Sub(receivedAt), Classes: []aggregator.ClassCount{class}, Services: []string{"s"}, Targets: targets}
			if clock == "" {
				r.Window = 0
			} else {
				r.Clock, _ = strconv.ParseInt(clock, 10, 64)
			}
			for n := range 4 {
				r.Balancer = fmt.Sprint("r-", n)
				data, err := r.Encode()
				is.NoErr(err)
				clock = reader.sendReport(t, base64.RawStdEncoding.EncodeToString(data)).Get("Load-Clock")
			}
			receivedAt = time.Now()
		}
		return other.log.contains(`"count":1,"targets":["i-2"],"lowest-speed"`)
	})
}
