package tracker_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// maxServiceBytes is the maximum heap size of a service without tracked buckets. The 165
// services of an availability zone at the size that the system is designed for (2,800
// services in 17 zones) then take at most a quarter of a balancer's 32 MB.
const maxServiceBytes = 48 << 10

func TestMemoryOfPlainServices(t *testing.T) {
	is := is.New(t)
	const services = 200
	document := documentOf(nil)
	for i := range services {
		document.Services[fmt.Sprintf("service-%d", i)] = operator.Service{
			Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.MustParseAddr("198.51.100.11"), uint16(1000+i))},
			Protocol:  operator.ProtocolQUIC,
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	loaded := tracker.New(1)
	loaded.Prepare(time.Unix(1000, 0), planner.New(1, document))
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (after.HeapAlloc - before.HeapAlloc) / services
	t.Logf("%d bytes per service", bytes)
	is.True(bytes < maxServiceBytes)
	runtime.KeepAlive(loaded)
}
