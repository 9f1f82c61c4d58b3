package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against full views that are sent uncompressed, or compressed for each peer, when
// all balancers of a large zone request one from the same reader.
func TestLargeViewIsCompressedOnce(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	const targets = 300
	for n := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8009)
		s.set(fmt.Sprintf("servers/i-%x", n+1), registration(address))
	}
	n := newNode(t, "a-1", s)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })
	requestView := func(encoding string) (http.Header, []byte) {
		url := "http://" + n.settings.PeerAddress.String() + "/view?after=0&wait-ms=0"
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		is.NoErr(err)
		if encoding != "" {
			req.Header.Set("Accept-Encoding", encoding) // without it, the client decompresses the body itself
		}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.Header, body
	}
	header, compressed := requestView("gzip")
	is.Equal(header.Get("Content-Encoding"), "gzip")
	is.True(header.Get("Held-Ms") != "")
	_, again := requestView("gzip")
	is.Equal(string(again), string(compressed))
	_, plain := requestView("")
	is.True(len(plain) > 5*len(compressed))
}

// Another writer's entries among the balancers' registrations must neither pass for the
// store nor make this balancer depend on a peer that doesn't exist.
func TestInvalidRegistrationsOfBalancersAreIgnored(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	invalid := map[string]string{
		"no-address":       `{"availability-zone":"a","address":"","strength":2}`,
		"no-port":          `{"availability-zone":"a","address":"127.0.0.1:0","strength":2}`,
		"port-too-large":   `{"availability-zone":"a","address":"127.0.0.1:65536","strength":2}`,
		"no-host":          `{"availability-zone":"a","address":"0.0.0.0:9000","strength":2}`,
		"strong":           `{"availability-zone":"a","address":"127.0.0.1:9","strength":1000000000}`,
		"strong-float":     `{"availability-zone":"a","address":"127.0.0.1:9","strength":1e300}`,
		"weak":             `{"availability-zone":"a","address":"127.0.0.1:9","strength":-1}`,
		"no-zone":          `{"address":"127.0.0.1:9","strength":2}`,
		"deeply-nested":    strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"another-language": "<xml/>",
	}
	for name, value := range invalid {
		s.set("trefoilspring/balancers/"+name, value)
	}
	n := newNode(t, "a-1", s)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })
	for name := range invalid {
		is.True(n.log.contains(`"key":"trefoilspring/balancers/` + name + `"`))
		is.True(!n.log.contains(`"peer":"` + name + `"`))
	}
	s.set("op/config", strings.Replace(configurationText, `"version":3`, `"version":4`, 1))
	eventually(t, "next configuration", func() bool { return n.log.contains(`"configuration in force"`) })
}

// A registration that another writer overwrote no longer names a balancer.
func TestOverwrittenRegistrationOfABalancerIsDropped(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("trefoilspring/balancers/b-1", `{"availability-zone":"b","address":"127.0.0.1:9","strength":0}`)
	n := newNode(t, "a-1", s)
	n.start(t)
	n.awaitPeers(t, 2) // b-1 and this balancer itself
	s.set("trefoilspring/balancers/b-1", "[]")
	n.awaitPeers(t, 1)
	_, text := get(n.settings.MetricsAddress, "/metrics")
	is.True(strings.Contains(text, "trefoilspring_entry_errors_total 1"))
}
