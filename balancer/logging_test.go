package balancer_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a flood of log lines when hundreds of targets register at once. The
// lines are limited, and the number of suppressed ones is logged.
func TestLogLinesOfViewChangesAreBounded(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "a-1", s)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })
	const targets = 400
	for id := range targets {
		s.set(fmt.Sprintf("servers/i-%x", id+1), registration(netip.MustParseAddrPort("10.0.0.1:80")))
	}
	eventually(t, "targets", func() bool {
		_, body := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(body, fmt.Sprintf("trefoilspring_targets %d", targets))
	})
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	lines := strings.Count(n.log.text.String(), "target registered")
	is.True(lines > 0)
	is.True(lines <= 150) // 50 per second and as many at once, for up to two seconds
}
