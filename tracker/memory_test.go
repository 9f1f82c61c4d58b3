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

// maxServiceBytes lets a daemon hold the 165 services of an availability zone at
// the aim's size (2,800 over 17 zones) within a quarter of its 32 MB.
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
	track := tracker.New(1)
	track.Prepare(time.Unix(1000, 0), planner.New(1, document))
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (after.HeapAlloc - before.HeapAlloc) / services
	t.Logf("%d bytes a service", bytes)
	is.True(bytes < maxServiceBytes)
	runtime.KeepAlive(track)
}
