package router_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/standin/auditor"
	"trefoilspring.example/trefoilspring/standin/encapsulator"
	"trefoilspring.example/trefoilspring/standin/journal"
	"trefoilspring.example/trefoilspring/standin/requester"
	"trefoilspring.example/trefoilspring/standin/responder"
	"trefoilspring.example/trefoilspring/standin/router"
)

// forwardPackets forwards every packet from socket to the target that chooseTarget
// returns, until the test ends. It takes the place of a balancer.
func forwardPackets(t *testing.T, socket *net.UDPConn, chooseTarget func() netip.AddrPort) {
	t.Helper()
	var group errgroup.Group
	group.Go(func() error {
		return encapsulator.ReadPackets(socket, func(data []byte, _ netip.AddrPort) {
			_, _ = socket.WriteToUDPAddrPort(data, chooseTarget())
		})
	})
	t.Cleanup(func() {
		_ = socket.Close()
		_ = group.Wait()
	})
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// deployment is a fabric, one emulated balancer, two targets of one service and one
// caller process.
type deployment struct {
	service      netip.AddrPort
	prefix       netip.Prefix
	chooseTarget func(targets []netip.AddrPort) netip.AddrPort
}

// run sends load for one second and returns the report on the journals of the
// caller process and the targets.
func (d deployment) run(t *testing.T) auditor.Report {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer ready.Close()

	socket, err := encapsulator.ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	fabric, err := router.New(router.Settings{
		Address: loopback(), AdminAddress: loopback(), Seed: 7, PollInterval: operator.Duration(10 * time.Millisecond),
		CallerPrefixes: []netip.Prefix{d.prefix},
		Balancers: []router.Balancer{{
			Name: "lb-1", DataAddress: socket.LocalAddr().(*net.UDPAddr).AddrPort(),
			AdminAddress: netip.MustParseAddrPort(ready.Listener.Addr().String()),
		}},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	var targets []netip.AddrPort
	for _, name := range []string{"bd-01", "bd-02"} {
		target, err := responder.New(responder.Settings{
			Name: name, Service: "booking-desk", AvailabilityZone: "ne-a",
			Address: loopback(), HealthAddress: loopback(), FabricAddress: fabric.Address(),
			ServiceAddresses: []netip.AddrPort{d.service}, Slots: 3, MaxWaiting: 8,
			Journal: filepath.Join(folder, name+".jsonl"),
		})
		is.NoErr(err)
		targets = append(targets, target.Address())
		group.Go(func() error { return target.Run(ctx) })
	}
	forwardPackets(t, socket, func() netip.AddrPort { return d.chooseTarget(targets) })
	group.Go(func() error { return fabric.Run(ctx) })
	for fabric.Stats().ReadyBalancers == 0 {
		time.Sleep(time.Millisecond)
	}
	caller, err := requester.New(requester.Settings{
		Name: "c1", FabricAddress: fabric.Address(), SourcePrefixes: []netip.Prefix{d.prefix},
		Loads: []requester.Load{{
			Service: "booking-desk", Address: d.service, Streams: 4, Rate: 20, NonIdempotentShare: 0.5,
		}},
		Duration: operator.Duration(time.Second), Seed: 7, Journal: filepath.Join(folder, "c1.jsonl"),
	})
	is.NoErr(err)
	is.NoErr(caller.Run(ctx))
	cancel()
	is.NoErr(group.Wait())

	var entries []journal.Entry
	for _, name := range []string{"c1", "bd-01", "bd-02"} {
		e, err := journal.Read(filepath.Join(folder, name+".jsonl"))
		is.NoErr(err)
		entries = append(entries, e...)
	}
	return auditor.Evaluate(auditor.Input{Entries: entries, Seed: 7})
}

// firstTarget chooses the same target for every packet.
func firstTarget(targets []netip.AddrPort) netip.AddrPort { return targets[0] }

// Load pattern: 4 streams and 20 short requests a second for one second, half of
// them not idempotent. Each must be answered, over IPv4 and over IPv6.
func TestRequestsPassFabricBalancerAndTarget(t *testing.T) {
	cases := map[string]deployment{
		"ipv4": {
			service: netip.MustParseAddrPort("198.51.100.10:443"),
			prefix:  netip.MustParsePrefix("203.0.113.0/24"), chooseTarget: firstTarget,
		},
		"ipv6": {
			service: netip.MustParseAddrPort("[2001:db8::10]:443"),
			prefix:  netip.MustParsePrefix("2001:db8:203::/64"), chooseTarget: firstTarget,
		},
	}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := d.run(t)
			is.Equal(report.Violations(), nil)
			is.True(report.Requests > 10)
			is.Equal(report.Answered, report.Requests)
		})
	}
}
