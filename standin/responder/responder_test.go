package responder_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
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
)

func serviceAddress() netip.AddrPort { return netip.MustParseAddrPort("198.51.100.10:443") }

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// runLoad runs one target and one caller process with load, and returns the
// entries of both journals. A UDP socket stands for fabric and balancer: it sends
// packets of the target to the caller, and all others to the target.
func runLoad(t *testing.T, s responder.Settings, load requester.Load) []journal.Entry {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	fabric, err := encapsulator.ListenUDP("127.0.0.1:0")
	is.NoErr(err)
	s.Name, s.Service, s.AvailabilityZone = "bd-01", load.Service, "ne-a"
	s.Address, s.HealthAddress = loopback(), loopback()
	s.FabricAddress = netip.MustParseAddrPort(fabric.LocalAddr().String())
	s.ServiceAddresses = []netip.AddrPort{serviceAddress()}
	s.Journal = filepath.Join(folder, "bd-01.jsonl")
	target, err := responder.New(s)
	is.NoErr(err)
	caller, err := requester.New(requester.Settings{
		Name: "c1", FabricAddress: s.FabricAddress, Loads: []requester.Load{load},
		SourcePrefixes: []netip.Prefix{netip.MustParsePrefix("203.0.113.0/24")},
		Duration:       operator.Duration(500 * time.Millisecond), Journal: filepath.Join(folder, "c1.jsonl"),
	})
	is.NoErr(err)

	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return target.Run(ctx) })
	group.Go(func() error {
		var callerAddress netip.AddrPort
		_ = encapsulator.ReadPackets(fabric, func(data []byte, sender netip.AddrPort) {
			to := target.Address()
			if sender == to {
				to = callerAddress
			} else {
				callerAddress = sender
			}
			_, _ = fabric.WriteToUDPAddrPort(data, to)
		})
		return nil
	})
	is.NoErr(caller.Run(ctx))
	cancel()
	is.NoErr(fabric.Close())
	is.NoErr(group.Wait())
	var entries []journal.Entry
	for _, path := range []string{"c1.jsonl", "bd-01.jsonl"} {
		e, err := journal.Read(filepath.Join(folder, path))
		is.NoErr(err)
		entries = append(entries, e...)
	}
	return entries
}

// Load pattern: 40 non-idempotent requests a second for 0.5 s at a target with
// one slot, no queue and a work time of 300 ms. A refused request must not have
// run, since its caller sends it again.
func TestBusyTargetRefusesExcessRequestsAsNotRun(t *testing.T) {
	is := is.New(t)
	s := responder.Settings{Slots: 1, WorkTime: operator.Duration(300 * time.Millisecond)}
	load := requester.Load{Service: "booking-desk", Address: serviceAddress(), Rate: 40, NonIdempotentShare: 1}
	report := auditor.Evaluate(auditor.Input{Entries: runLoad(t, s, load)})
	is.Equal(report.Violations(), nil)
	is.True(report.Answered > 0)
	is.True(report.RefusedNotRun > 0)
}

// Load pattern: 4 streams at a target that is cold for an hour and supports 2 open
// flows.
func TestColdTargetCollapsesAboveItsFlowLimit(t *testing.T) {
	is := is.New(t)
	s := responder.Settings{
		Slots: 1, ColdStartDuration: operator.Duration(time.Hour), ColdStartFlowLimit: 2,
		CollapseDuration: operator.Duration(100 * time.Millisecond),
	}
	load := requester.Load{Service: "booking-desk", Address: serviceAddress(), Streams: 4}
	report := auditor.Evaluate(auditor.Input{Entries: runLoad(t, s, load)})
	is.True(report.Collapses > 0)
}

// A packet whose inner destination is not a service address of the target must be
// counted in the target's journal and not be answered.
func TestPacketForAnotherServiceIsRecorded(t *testing.T) {
	is := is.New(t)
	load := requester.Load{Service: "booking-desk", Address: netip.MustParseAddrPort("198.51.100.20:443"), Rate: 10}
	report := auditor.Evaluate(auditor.Input{Entries: runLoad(t, responder.Settings{Slots: 1}, load)})
	is.True(report.WrongServicePackets > 0)
	is.Equal(report.Answered, 0)
}

// A forced state takes precedence over draining, and draining over cold. A lag
// repeats the last report although the state has changed.
func TestHealthSwitchesForceAndDelayTheReport(t *testing.T) {
	is := is.New(t)
	reservation, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	health := netip.MustParseAddrPort(reservation.Addr().String())
	is.NoErr(reservation.Close())
	target, err := responder.New(responder.Settings{
		Name: "bd-01", Service: "booking-desk", AvailabilityZone: "ne-a", Slots: 3,
		Address: loopback(), HealthAddress: health, FabricAddress: loopback(),
		ServiceAddresses:  []netip.AddrPort{serviceAddress()},
		ColdStartDuration: operator.Duration(time.Minute),
		Journal:           filepath.Join(t.TempDir(), "bd-01.jsonl"),
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return target.Run(ctx) })
	url := "http://" + health.String()
	for {
		response, err := http.Get(url + "/health")
		if err == nil {
			is.NoErr(response.Body.Close())
			break
		}
		time.Sleep(time.Millisecond)
	}
	steps := []struct {
		query string
		want  responder.State
	}{
		{"", responder.StateCold},
		{"lie=healthy", responder.StateServing},
		{"lie=off&drain=1", responder.StateDraining},
		{"lag=1m&drain=0", responder.StateDraining},
		{"lag=0s", responder.StateCold},
	}
	for _, step := range steps {
		response, err := http.Post(url+"/switch?"+step.query, "", http.NoBody)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(healthState(t, url), step.want) // The state that step.query should lead to.
	}
	cancel()
	is.NoErr(group.Wait())
}

func healthState(t *testing.T, url string) responder.State {
	t.Helper()
	is := is.New(t)
	response, err := http.Get(url + "/health")
	is.NoErr(err)
	defer func() { is.NoErr(response.Body.Close()) }()
	var report responder.Report
	is.NoErr(json.NewDecoder(response.Body).Decode(&report))
	return report.State
}
