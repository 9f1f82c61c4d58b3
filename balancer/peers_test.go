package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Load pattern: all balancers of a large zone ask a reader for everything. It
// travels packed, and is packed once.
func TestLargeViewTravelsPacked(t *testing.T) {
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
	eventually(t, "view", func() bool { return n.log.has("first view") })
	ask := func(encoding string) (http.Header, []byte) {
		url := "http://" + n.settings.PeerAddress.String() + "/view?after=0&wait-ms=0"
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		is.NoErr(err)
		if encoding != "" {
			req.Header.Set("Accept-Encoding", encoding) // or the client unpacks by itself
		}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.Header, body
	}
	header, packed := ask("gzip")
	is.Equal(header.Get("Content-Encoding"), "gzip")
	is.True(header.Get("Held-Ms") != "")
	_, again := ask("gzip")
	is.Equal(string(again), string(packed))
	_, plain := ask("")
	is.True(len(plain) > 5*len(packed))
}
