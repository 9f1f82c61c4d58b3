package balancer_test

import (
	"encoding/binary"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/balancer"
)

const requestHead = "GET / HTTP/1.1\r\nTrefoilspring-Request-Id: id-1\r\n\r\n"

// Guards the data path end to end: an opening gets a token and reaches the target behind
// the platform's header, a later packet with the token reaches the same target unaltered,
// and the log line of a request names its caller and target.
func TestPacketsReachTheirTargetUnchanged(t *testing.T) {
	is := is.New(t)
	n, target, caller := newReadyNode(t)

	sent := packet(1000, flagSyn, 0, 7, 0, "")
	_, err := caller.WriteToUDPAddrPort(sent, n.settings.DataAddress)
	is.NoErr(err)
	got := receive(target.conn)
	is.Equal(got[:8], []byte{0, 0, 0, 0, 0, 0, 0, 0xab})
	is.Equal(got[8:36], sent[:28])
	token := binary.LittleEndian.Uint32(got[36:])
	is.True(token != 0)

	request := packet(1000, flagAck, token, 8, 100, requestHead)
	_, err = caller.WriteToUDPAddrPort(request, n.settings.DataAddress)
	is.NoErr(err)
	is.Equal(receive(target.conn)[8:], request)
	// The request ID leads from the log to the flow and its target.
	eventually(t, "log line of the request", func() bool {
		return n.log.contains(`"request-id":"id-1","target":"i-00ab"`) && n.log.contains(`"caller":"127.0.0.3:1000"`)
	})
}

// Guards against openings that get no response although the store has confirmed that no
// route has their address, and against malformed datagrams that are not counted.
func TestOpeningWithoutRouteIsReset(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitReadiness(t, 200)
	caller := newCaller(t, n)
	opening := packet(1000, flagSyn, 0, 7, 0, "")
	opening[20]++ // a port without a route
	var reset []byte
	for range 4 { // an opening each second
		_, err := caller.WriteToUDPAddrPort(opening, n.settings.DataAddress)
		is.NoErr(err)
		if reset = receive(caller); reset != nil {
			break
		}
	}
	is.Equal(len(reset), 32)
	is.Equal(reset[8], byte(flagReset))
	is.Equal(reset[10:14], []byte{3, 0, 0, 127})
	_, err := caller.WriteToUDPAddrPort([]byte("no packet"), n.settings.DataAddress)
	is.NoErr(err)
	eventually(t, "counter", func() bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, `trefoilspring_bad_packets_total{reason="too-short"} 1`)
	})
}

// Guards against packets that are dropped because they arrive before the first view.
func TestPacketsWaitForFirstView(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.setDown(true)
	target := newTargetServer(t)
	s.set("servers/i-00ab", registration(target.address))
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	caller := newCaller(t, n)
	n.awaitReadiness(t, 503)
	_, err := caller.WriteToUDPAddrPort(packet(1000, flagSyn, 0, 7, 0, ""), n.settings.DataAddress)
	is.NoErr(err)
	s.setDown(false)
	is.True(receive(target.conn) != nil)
}

// Guards against a balancer that stays without a view if the store doesn't respond but a
// seed does.
func TestViewIsFetchedFromSeed(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	first := newNode(t, "n1", s)
	first.start(t)
	eventually(t, "ready", func() bool { status, _ := get(first.settings.ReadyAddress, "/"); return status == 200 })

	cutOff := &store{}
	cutOff.setDown(true)
	second := newNode(t, "n2", cutOff)
	second.settings.Seeds = []string{"127.0.0.1:1", first.settings.PeerAddress.String()}
	second.balancer = balancer.New(second.settings, fabric(), cutOff.directory(), newLogger(&second.log))
	second.start(t)
	eventually(t, "ready", func() bool { status, _ := get(second.settings.ReadyAddress, "/"); return status == 200 })
	// Later changes arrive through the seed too.
	s.set("op/config", strings.Replace(configurationText, `"version":3`, `"version":4`, 1))
	eventually(t, "version 4", func() bool {
		_, text := get(second.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, "trefoilspring_configuration_version 4")
	})
	is.True(second.log.contains("source of the view lost"))
}

// Guards against a balancer that receives packets although the store no longer confirms
// its view.
func TestBalancerWithOutdatedViewIsNotReady(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitReadiness(t, 200)
	s.setDown(true)
	eventually(t, "out of date", func() bool {
		status, text := get(n.settings.ReadyAddress, "/")
		return status == 503 && strings.Contains(text, "out of date")
	})
	s.setDown(false)
	n.awaitReadiness(t, 200)
}

// Load pattern: a zone that operators have taken out is cut off. Its callers depend on targets
// that its balancers can't reach, and wait until the routers send them to other zones.
func TestBalancerOfAZoneWithoutTargetsIsNotReadySooner(t *testing.T) {
	const age = 2200 * time.Millisecond
	for _, out := range []bool{false, true} {
		is := is.New(t)
		s := &store{}
		s.set("op/config", configurationText)
		s.set("servers/i-00ab", strings.Replace(registration(newTargetServer(t).address), `"zone":"b"`, `"zone":"a"`, 1))
		if out {
			s.set("op/evacuate/a", "{}")
		}
		n, advance := newAgeingNode(t, s)
		n.start(t)
		n.awaitReadiness(t, 200)
		s.setDown(true)
		advance(age)
		status, text := get(n.settings.ReadyAddress, "/")
		is.Equal(status == 503 && strings.Contains(text, "out of date"), out)
	}
}

// Guards against a zone without ready balancers when it is cut off from the store. Its
// balancers find that none of them has a newer view and stay ready, since balancers of
// other zones may be unable to reach its targets.
func TestBalancersOfAnIsolatedZoneStayReady(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", strings.Replace(registration(newTargetServer(t).address), `"zone":"b"`, `"zone":"a"`, 1))
	first, second := newNode(t, "n1", s), newNode(t, "n2", s)
	first.start(t)
	second.start(t)
	for _, n := range []*node{first, second} {
		eventually(t, "peers", func() bool {
			_, text := get(n.settings.MetricsAddress, "/metrics")
			return strings.Contains(text, "trefoilspring_peers 2")
		})
	}
	s.setDown(true)
	time.Sleep(6 * time.Second)
	for _, n := range []*node{first, second} {
		status, _ := get(n.settings.ReadyAddress, "/")
		is.Equal(status, 200)
		is.True(n.log.contains("availability zone isolated"))
		_, text := get(n.settings.MetricsAddress, "/metrics")
		is.True(strings.Contains(text, "trefoilspring_zone_isolated 1"))
	}
	// A single balancer can't tell whether the zone is isolated.
	second.stop()
	is.NoErr(second.group.Wait())
	first.awaitReadiness(t, 503)
}

// Guards against balancers that stay ready in an isolated zone that operators have taken
// out: balancers of other zones serve its callers better.
func TestBalancersOfAnIsolatedZoneThatIsOutAreNotReady(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", strings.Replace(registration(newTargetServer(t).address), `"zone":"b"`, `"zone":"a"`, 1))
	s.set("op/evacuate/a", "{}")
	first, second := newNode(t, "n1", s), newNode(t, "n2", s)
	first.start(t)
	second.start(t)
	first.awaitReadiness(t, 200)
	second.awaitReadiness(t, 200)
	s.setDown(true)
	first.awaitReadiness(t, 503)
	second.awaitReadiness(t, 503)
}

// Guards against packets that are lost when a balancer stops: it reports not ready at
// once, and keeps forwarding until the routers have stopped sending.
func TestStoppingBalancerKeepsForwarding(t *testing.T) {
	is := is.New(t)
	n, target, caller := newReadyNode(t)
	before := time.Now()
	n.stop()
	n.awaitReadiness(t, 503)
	for port := range uint16(10) {
		_, err := caller.WriteToUDPAddrPort(packet(2000+port, flagSyn, 0, 7, 0, ""), n.settings.DataAddress)
		is.NoErr(err)
		is.True(receive(target.conn) != nil)
		time.Sleep(100 * time.Millisecond)
	}
	is.NoErr(n.group.Wait())
	is.True(time.Since(before) < 5*time.Second) // the platform kills the process after 6 s
}

// Guards against flows that hang on an unreachable target. They are reset after two
// refused connections, but only if a peer shows that the balancer's own link works.
func TestFlowOfUnreachableTargetIsReset(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	target := newTargetServer(t)
	s.set("servers/i-00ab", registration(target.address))
	n, peer := newNode(t, "n1", s), newNode(t, "n2", s)
	n.start(t)
	peer.start(t)
	eventually(t, "peer", func() bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, "trefoilspring_peers 2")
	})
	caller := newCaller(t, n)
	send := func(p []byte) {
		_, err := caller.WriteToUDPAddrPort(p, n.settings.DataAddress)
		is.NoErr(err)
	}
	send(packet(1000, flagSyn, 0, 7, 0, ""))
	token := binary.LittleEndian.Uint32(receive(target.conn)[36:])
	send(packet(1000, flagAck, token, 8, 100, ""))
	receive(target.conn)
	target.conn.Close()
	target.listener.Close()
	time.Sleep(250 * time.Millisecond) // the target has been silent for 250 ms
	send(packet(1000, flagAck, token, 8, 100, requestHead))
	time.Sleep(200 * time.Millisecond)
	send(packet(1000, flagAck, token, 8, 100, requestHead))
	reset := receive(caller)
	is.True(reset != nil)
	is.Equal(reset[8], byte(flagReset))
	is.Equal(binary.LittleEndian.Uint32(reset), uint32(100))
}

// Guards against a SIGHUP that has no effect, and against invalid settings that replace
// valid ones.
func TestSettingsAreReloadedOnSIGHUP(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	hangup := make(chan os.Signal, 1)
	loaded := make(chan balancer.Settings, 1)
	n.balancer.Hangup = hangup
	n.balancer.LoadSettings = func() (balancer.Settings, error) {
		select {
		case settings := <-loaded:
			return settings, nil
		default:
			return balancer.Settings{}, errors.New("unexpected end of JSON input")
		}
	}
	n.start(t)
	n.awaitReadiness(t, 200)
	hangup <- syscall.SIGHUP
	eventually(t, "refusal", func() bool { return n.log.contains("settings refused; the last good ones stay") })
	changed := n.settings
	changed.Seeds = []string{"127.0.0.1:1"}
	changed.ReadyAddress = netip.MustParseAddrPort("127.0.0.1:2")
	loaded <- changed
	hangup <- syscall.SIGHUP
	eventually(t, "seeds", func() bool { return n.log.contains(`"msg":"settings changed","balancer":"n1","field":"seeds"`) })
	eventually(t, "fixed field", func() bool { return n.log.contains(`"field":"ready-address"`) })
}

// Guards against metrics that docs/COUNTERS.md lacks, and entries without a metric.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/COUNTERS.md")
	is.NoErr(err)
	name := regexp.MustCompile(`trefoilspring_[a-z_]+`)
	documented := make(map[string]bool)
	for _, m := range name.FindAllString(string(page), -1) {
		documented[m] = true
	}
	sources, err := os.ReadFile("metrics.go")
	is.NoErr(err)
	used := make(map[string]bool)
	for _, m := range name.FindAllString(string(sources), -1) {
		used[m] = true
	}
	is.Equal(documented, used)
}
