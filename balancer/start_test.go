package balancer_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// packerBytes is what one packer of values allocates.
const packerBytes = 800 << 10

// Load pattern: all balancers start at once under full load on VMs with a sixteenth of
// a core, where each megabyte that is allocated takes 30 ms. None of them packs what
// nobody has asked for.
func TestFirstViewAllocatesLessThanAPacker(t *testing.T) {
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
	eventually(t, "view", func() bool { return n.log.has("first view") })
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < packerBytes)
}
