package forwarder_test

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"trefoilspring.example/trefoilspring/batcher"
	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/parser"
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

var serviceAddress = netip.MustParseAddrPort("198.51.100.10:443")

// datagramOf returns a Geneve packet from a caller to the service, with a payload of
// zero bytes.
func datagramOf(t testing.TB, transport gopacket.SerializableLayer, protocol layers.IPProtocol, payload int) []byte {
	t.Helper()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: net.IP{203, 0, 113, 7}, DstIP: serviceAddress.Addr().AsSlice()}
	switch l := transport.(type) {
	case *layers.UDP:
		_ = l.SetNetworkLayerForChecksum(ip)
	case *layers.TCP:
		_ = l.SetNetworkLayerForChecksum(ip)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	geneve := &layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	err := gopacket.SerializeLayers(buffer, options, geneve, ip, transport, gopacket.Payload(make([]byte, payload)))
	if err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := batcher.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// deciderOf returns a Decide function that uses a tracker whose plan has one target, in
// an availability zone of the given state.
func deciderOf(target netip.AddrPort, zone operator.ZoneState) func(time.Time, []forwarder.Job) {
	document := &operator.Document{
		AvailabilityZones: map[string]operator.AvailabilityZone{"ne-a": {State: zone}},
		Services: map[string]operator.Service{"booking-desk": {
			Addresses: []netip.AddrPort{serviceAddress},
			Protocol:  operator.ProtocolQUIC,
		}},
		Targets: map[string]operator.Target{"bd-01": {
			Service:          "booking-desk",
			AvailabilityZone: "ne-a",
			Address:          target,
		}},
	}
	plan := planner.New(1, document)
	track := tracker.New(1)
	track.SetMembers([]tracker.Member{{ID: 1, Resolves: true, KeepsRecords: true}})
	track.Prepare(time.Now().Add(-time.Hour), plan)
	return func(now time.Time, jobs []forwarder.Job) {
		for i := range jobs {
			p := jobs[i].Packet()
			service := planner.ServiceID(0)
			if s, ok := plan.Service(p.Destination()); ok {
				service = s.ID()
			}
			d := track.Decide(now, tracker.Query{Service: service, Flow: p.FlowHash(), FlowEvent: p.FlowEvent(), Hops: p.Hops()})
			jobs[i].SetDecision(d, target)
		}
	}
}

// testbed holds the sockets and counters of a forwarder under test. The forwarder
// reads from data.
type testbed struct {
	fabric *net.UDPConn
	target *net.UDPConn
	data   *net.UDPConn
	vars   *expvar.Map
}

// start runs a forwarder between a socket for the fabric and one for the target.
func start(t testing.TB, zone operator.ZoneState) *testbed {
	b := &testbed{fabric: listen(t), target: listen(t), data: listen(t), vars: new(expvar.Map)}
	f := forwarder.New(b.data, forwarder.NewCounters(b.vars))
	f.Decide = deciderOf(addressOf(b.target), zone)
	f.FabricAddress = addressOf(b.fabric)
	f.OriginOf = func(source netip.AddrPort) forwarder.Origin {
		if source == addressOf(b.fabric) {
			return forwarder.Fabric
		}
		return forwarder.UnknownSource
	}
	b.run(t, f.Run)
	return b
}

func (b *testbed) run(t testing.TB, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func (b *testbed) send(t testing.TB, datagram []byte) {
	if _, err := b.fabric.WriteToUDPAddrPort(datagram, addressOf(b.data)); err != nil {
		t.Fatal(err)
	}
}

func receive(t testing.TB, conn *net.UDPConn) []byte {
	t.Helper()
	buffer := make([]byte, 4096)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return buffer[:n]
}

// awaitOne waits until a counter is 1, and fails the test after 5 s.
func (b *testbed) awaitOne(t testing.TB, name string) {
	t.Helper()
	for range 500 {
		if b.vars.Get(name).String() == "1" {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("counter %s is %s, want 1", name, b.vars.Get(name))
}

func TestInnerPacketReachesTheTargetUnchanged(t *testing.T) {
	is := is.New(t)
	b := start(t, operator.ZoneIn)
	datagram := datagramOf(t, &layers.UDP{SrcPort: 40000, DstPort: 443}, layers.IPProtocolUDP, 900)
	b.send(t, datagram)
	is.Equal(receive(t, b.target), datagram)
}

func TestUnknownServiceAddressIsCounted(t *testing.T) {
	b := start(t, operator.ZoneIn)
	b.send(t, datagramOf(t, &layers.UDP{SrcPort: 40000, DstPort: 444}, layers.IPProtocolUDP, 9))
	b.awaitOne(t, "dropped-unknown-service")
}

func TestUnacceptablePacketsAreDropped(t *testing.T) {
	b := start(t, operator.ZoneIn)
	datagram := datagramOf(t, &layers.UDP{SrcPort: 40000, DstPort: 443}, layers.IPProtocolUDP, 9)
	if _, err := b.target.WriteToUDPAddrPort(datagram, addressOf(b.data)); err != nil {
		t.Fatal(err)
	}
	b.awaitOne(t, "dropped-stranger")
	parser.PutGeneveHeader(datagram, 1, false)
	b.send(t, datagram)
	b.awaitOne(t, "dropped-wrong-hops")
	b.send(t, make([]byte, 3000))
	b.awaitOne(t, "dropped-oversize")
}

func TestRefusedSynGetsReset(t *testing.T) {
	is := is.New(t)
	b := start(t, operator.ZoneOut)
	b.send(t, datagramOf(t, &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: true, Seq: 41}, layers.IPProtocolTCP, 0))
	packet := gopacket.NewPacket(receive(t, b.fabric)[parser.GeneveHeaderBytes:], layers.LayerTypeIPv4, gopacket.Default)
	tcp := packet.Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.True(tcp.RST)
	is.Equal(tcp.Ack, uint32(42))
	is.Equal(tcp.DstPort, layers.TCPPort(40000))
	b.awaitOne(t, "refused-no-target")
}

func TestRefusedInitialGetsICMPProhibited(t *testing.T) {
	is := is.New(t)
	b := start(t, operator.ZoneOut)
	datagram := datagramOf(t, &layers.UDP{SrcPort: 40000, DstPort: 443}, layers.IPProtocolUDP, 0)
	b.send(t, datagram)
	b.awaitOne(t, "dropped-no-target") // Not an opening packet: a target may have seen the flow.
	b.send(t, initialOf(t))
	packet := gopacket.NewPacket(receive(t, b.fabric)[parser.GeneveHeaderBytes:], layers.LayerTypeIPv4, gopacket.Default)
	icmp := packet.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4)
	is.Equal(icmp.TypeCode.Code(), uint8(layers.ICMPv4CodeCommAdminProhibited))
}

// initialOf returns a Geneve packet whose payload starts like a QUIC Initial.
func initialOf(t testing.TB) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolUDP, SrcIP: net.IP{203, 0, 113, 7}, DstIP: serviceAddress.Addr().AsSlice()}
	udp := &layers.UDP{SrcPort: 40000, DstPort: 443}
	_ = udp.SetNetworkLayerForChecksum(ip)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, udp, gopacket.Payload{0xc0, 0, 0, 0, 1})
	if err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}
