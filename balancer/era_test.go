package balancer_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/replicator"
)

// newNodeAfterReturn returns a registered node of era 1 whose store has come back from a copy
// with a configuration only.
func newNodeAfterReturn(t *testing.T) (*node, *store) {
	t.Helper()
	s := &store{era: 1}
	s.set("op/config", configurationText)
	s.set("servers/i-1", registration(netip.MustParseAddrPort("10.1.0.1:8009")))
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitPeers(t, 1)
	older := strings.Replace(configurationText, `"version":3`, `"version":2`, 1)
	s.returnTo(1, replicator.Item{Key: "op/config", Value: []byte(older), Revision: 1})
	eventually(t, "new era", func() bool { return n.log.contains("new era of the store") })
	return n, s
}

// Guards against a balancer that takes what an older copy of the store lacks for removed, that
// goes back to an older configuration, or that doesn't register again.
func TestStoreThatComesBackFromAnOlderCopy(t *testing.T) {
	is := is.New(t)
	n, s := newNodeAfterReturn(t)
	returned := time.Now()
	is.True(n.log.contains("older configuration ignored"))
	// What is written now has lower revisions than before.
	s.set("servers/i-2", registration(netip.MustParseAddrPort("10.1.0.2:8009")))
	eventually(t, "new target", func() bool { return n.log.contains(`"target":"i-2"`) })
	is.True(!n.log.contains("target removed"))
	eventually(t, "second lease", func() bool { return s.leases.Load() == 2 })
	is.True(time.Since(returned) < director.ReregistrationSpread+2*time.Second) // the view's lag
	// The first target isn't written again.
	eventually(t, "end of the grace", func() bool { return n.log.contains(`"keys-given-up":1`) })
	is.True(time.Since(returned) > replicator.RewriteGrace-time.Second)
	_, text := get(n.settings.MetricsAddress, "/metrics")
	is.True(strings.Contains(text, "trefoilspring_store_era 2"))
}

// A peer whose view is of an earlier era gets all keys, with the era beside the update; one
// with a later era gets none. An earlier release asks without an era.
func TestPeersExchangeTheEra(t *testing.T) {
	is := is.New(t)
	n, _ := newNodeAfterReturn(t)
	view := func(query string) (int, http.Header, int64) {
		res, err := http.Get("http://" + n.settings.PeerAddress.String() + "/view?wait-ms=0&" + query)
		is.NoErr(err)
		defer res.Body.Close()
		return res.StatusCode, res.Header, res.ContentLength
	}
	status, header, size := view("after=1000&era=1")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("View-Era"), "2")
	is.True(header.Get("Era-Age-Ms") != "")
	is.True(size == -1 || size > int64(len(configurationText)/2))
	for _, query := range []string{"after=1&era=3", "after=1000"} {
		status, _, size = view(query)
		is.Equal(status, http.StatusOK)
		is.True(size < 20)
	}
	for _, bad := range []string{"-1", "x", fmt.Sprint(1e30)} {
		status, _, _ = view("after=1&era=" + bad)
		is.Equal(status, http.StatusBadRequest)
	}
}
