package balancer_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// compressorBytes is the memory that one gzip writer allocates.
const compressorBytes = 800 << 10

// Guards against a slow start caused by values that are compressed before a peer requests
// them. When all balancers start at once under full load, on VMs with a sixteenth of a
// core, each allocated megabyte takes 30 ms.
func TestFirstViewAllocatesLessThanACompressor(t *testing.T) {
	is := is.New(t)
	s := &store{}
	routes := make([]string, 40)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%d","host":"198.18.1.%d","prefix":"/8443/","type":"idempotent","service":"desk"}`, i, i)
	}
	s.set("op/config", `{"version":3,"routes":[`+strings.Join(routes, ",")+`],"services":[{"name":"desk"}]}`)
	n := newNode(t, "n1", s)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < compressorBytes)
}

// itemBytes is the memory of one key in a copy of the view, without its name and its value.
const itemBytes = 64

// Load pattern: 50 balancers of a zone start together, and each requests its first view of 3,000
// targets from the same reader. A copy of the view for each of them would take as long as the
// reader's own start.
func TestReaderCopiesItsViewOnceForPeersThatStartTogether(t *testing.T) {
	is := is.New(t)
	const peers, targets = 50, 3000
	s := &store{}
	for i := range targets {
		s.set(fmt.Sprintf("servers/i-%08x", i), `{"service":"desk","address":"10.1.0.1:8080","zone":"a","capacity":2,"state":"ready"}`)
	}
	s.set("op/config", `{"version":3,"routes":[{"name":"r","host":"198.18.1.1","prefix":"/8443/","type":"idempotent","service":"desk"}],"services":[{"name":"desk"}]}`)
	n := newNode(t, "n1", s)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: peers}}
	defer client.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var group errgroup.Group
	for range peers {
		group.Go(func() error {
			res, err := client.Get("http://" + n.settings.PeerAddress.String() + "/view?after=0&wait-ms=500")
			if err != nil {
				return err
			}
			defer res.Body.Close()
			_, err = io.Copy(io.Discard, res.Body)
			return err
		})
	}
	is.NoErr(group.Wait())
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < peers*targets*itemBytes)
}
