package balancer_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
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
