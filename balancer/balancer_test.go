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

const head = "GET / HTTP/1.1\r\nTrefoilspring-Request-Id: id-1\r\n\r\n"

func TestPacketsReachTheirTargetUnchanged(t *testing.T) {
	is := is.New(t)
	n, target, caller := newServing(t)

	sent := packet(1000, flagSyn, 0, 7, 0, "")
	_, err := caller.WriteToUDPAddrPort(sent, n.settings.DataAddress)
	is.NoErr(err)
	got := receive(target.conn)
	is.Equal(got[:8], []byte{0, 0, 0, 0, 0, 0, 0, 0xab})
	is.Equal(got[8:36], sent[:28])
	token := binary.LittleEndian.Uint32(got[36:])
	is.True(token != 0)

	request := packet(1000, flagAck, token, 8, 100, head)
	_, err = caller.WriteToUDPAddrPort(request, n.settings.DataAddress)
	is.NoErr(err)
	is.Equal(receive(target.conn)[8:], request)
	// The id leads to the flow and its target.
	eventually(t, "line of the request", func() bool {
		return n.log.has(`"request-id":"id-1","target":"i-00ab"`) && n.log.has(`"caller":"127.0.0.3:1000"`)
	})
}

func TestNoRouteIsReset(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	n := newNode(t, "n1", s)
	n.start(t)
	n.awaitReadiness(t, 200)
	caller := newCaller(t, n)
	opening := packet(1000, flagSyn, 0, 7, 0, "")
	opening[20]++ // the next port
	_, err := caller.WriteToUDPAddrPort(opening, n.settings.DataAddress)
	is.NoErr(err)
	reset := receive(caller)
	is.Equal(len(reset), 32)
	is.Equal(reset[8], byte(flagReset))
	is.Equal(reset[10:14], []byte{3, 0, 0, 127})
	_, err = caller.WriteToUDPAddrPort([]byte("no packet"), n.settings.DataAddress)
	is.NoErr(err)
	eventually(t, "counter", func() bool {
		_, text := get(n.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, `trefoilspring_bad_packets_total{reason="too-short"} 1`)
	})
}

// Packets that come while the view is read wait for it.
func TestPacketsWaitForTheFirstView(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.setDown(true)
	target := newServer(t)
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

// A balancer whose store doesn't answer learns everything from a seed.
func TestSeedGivesTheView(t *testing.T) {
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
	second.balancer = balancer.New(second.settings, fabric(), cutOff.directory(), logTo(&second.log))
	second.start(t)
	eventually(t, "ready", func() bool { status, _ := get(second.settings.ReadyAddress, "/"); return status == 200 })
	// What changes later arrives by the same way.
	s.set("op/config", strings.Replace(configurationText, `"version":3`, `"version":4`, 1))
	eventually(t, "version 4", func() bool {
		_, text := get(second.settings.MetricsAddress, "/metrics")
		return strings.Contains(text, "trefoilspring_configuration_version 4")
	})
	is.True(second.log.has("source of the view lost"))
}

// A balancer that no longer hears of the store calls itself not ready.
func TestOldViewIsNotReady(t *testing.T) {
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

// Load pattern: a zone is cut off from the store. Its balancers find that none of them
// knows anything newer, and go on serving the zone: those of other zones may not reach
// its targets.
func TestBalancersOfAnIsolatedZoneStayReady(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", strings.Replace(registration(newServer(t).address), `"zone":"b"`, `"zone":"a"`, 1))
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
		is.True(n.log.has("availability zone isolated"))
		_, text := get(n.settings.MetricsAddress, "/metrics")
		is.True(strings.Contains(text, "trefoilspring_zone_isolated 1"))
	}
	// One that is left alone knows too little.
	second.stop()
	is.NoErr(second.group.Wait())
	first.awaitReadiness(t, 503)
}

// If operators had taken the isolated zone out, balancers of other zones serve its
// callers better.
func TestBalancersOfAnIsolatedZoneThatIsOutAreNotReady(t *testing.T) {
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", strings.Replace(registration(newServer(t).address), `"zone":"b"`, `"zone":"a"`, 1))
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

// On a stop the balancer says so at once and forwards until the routers are gone.
func TestStopGoesOnForwarding(t *testing.T) {
	is := is.New(t)
	n, target, caller := newServing(t)
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
	is.True(time.Since(before) < 5*time.Second) // the platform kills after 6 s
}

// The flows of a target that died are reset once two connections were refused,
// and only if a peer shows that the balancer's own link works.
func TestFlowOfADeadTargetIsReset(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	target := newServer(t)
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
	time.Sleep(250 * time.Millisecond) // the target has not answered for a while
	send(packet(1000, flagAck, token, 8, 100, head))
	time.Sleep(200 * time.Millisecond)
	send(packet(1000, flagAck, token, 8, 100, head))
	reset := receive(caller)
	is.True(reset != nil)
	is.Equal(reset[8], byte(flagReset))
	is.Equal(binary.LittleEndian.Uint32(reset), uint32(100))
}

// SIGHUP has the settings read again; bad ones change nothing.
func TestSettingsAreReadAgain(t *testing.T) {
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
	eventually(t, "refusal", func() bool { return n.log.has("settings refused; the last good ones stay") })
	changed := n.settings
	changed.Seeds = []string{"127.0.0.1:1"}
	changed.ReadyAddress = netip.MustParseAddrPort("127.0.0.1:2")
	loaded <- changed
	hangup <- syscall.SIGHUP
	eventually(t, "seeds", func() bool { return n.log.has(`"msg":"settings changed","balancer":"n1","field":"seeds"`) })
	eventually(t, "fixed field", func() bool { return n.log.has(`"field":"ready-address"`) })
}

// docs/COUNTERS.md lists each metric, and no other.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/COUNTERS.md")
	is.NoErr(err)
	name := regexp.MustCompile(`trefoilspring_[a-z_]+`)
	documented := make(map[string]bool)
	for _, m := range name.FindAllString(string(page), -1) {
		documented[m] = true
	}
	sources, err := os.ReadFile("meters.go")
	is.NoErr(err)
	used := make(map[string]bool)
	for _, m := range name.FindAllString(string(sources), -1) {
		used[m] = true
	}
	is.Equal(documented, used)
}
