package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
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
