package parser_test

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/parser"
)

// innerStart is the offset of the inner packet in a datagram.
const innerStart = parser.GeneveHeaderBytes

func serialize(t testing.TB, all ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, all...); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func header4(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version:  4,
		TTL:      64,
		Protocol: protocol,
		SrcIP:    net.IP{203, 0, 113, 7},
		DstIP:    net.IP{198, 51, 100, 10},
	}
}

func header6(protocol layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version:    6,
		HopLimit:   64,
		NextHeader: protocol,
		SrcIP:      net.ParseIP("2001:db8::7"),
		DstIP:      net.ParseIP("2001:db8::10"),
	}
}

func udp4(t testing.TB, payload ...byte) []byte {
	ip := header4(layers.IPProtocolUDP)
	udp := &layers.UDP{SrcPort: 40000, DstPort: 443}
	_ = udp.SetNetworkLayerForChecksum(ip)
	return serialize(t, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, udp, gopacket.Payload(payload))
}

func tcp4(t testing.TB, tcp *layers.TCP) []byte {
	ip := header4(layers.IPProtocolTCP)
	tcp.SrcPort = 40000
	tcp.DstPort = 443
	_ = tcp.SetNetworkLayerForChecksum(ip)
	return serialize(t, &layers.Geneve{Protocol: layers.EthernetTypeIPv4}, ip, tcp, gopacket.Payload("abc"))
}

func tcp6(t testing.TB, tcp *layers.TCP) []byte {
	ip := header6(layers.IPProtocolTCP)
	tcp.SrcPort = 40000
	tcp.DstPort = 443
	_ = tcp.SetNetworkLayerForChecksum(ip)
	return serialize(t, &layers.Geneve{Protocol: layers.EthernetTypeIPv6}, ip, tcp, gopacket.Payload("abc"))
}

func TestFlowEventsOfAcceptedPackets(t *testing.T) {
	cases := []struct {
		name     string
		datagram []byte
		event    parser.FlowEvent
		tcp      bool
	}{
		{"quic initial", udp4(t, 0xc3, 0, 0, 0, 1), parser.FlowOpens, false},
		{"quic handshake", udp4(t, 0xe3, 0, 0, 0, 1), parser.FlowContinues, false},
		{"quic short header", udp4(t, 0x43, 1, 2), parser.FlowContinues, false},
		{"empty udp", udp4(t), parser.FlowContinues, false},
		{"syn", tcp4(t, &layers.TCP{SYN: true}), parser.FlowOpens, true},
		{"syn ack", tcp4(t, &layers.TCP{SYN: true, ACK: true}), parser.FlowContinues, true},
		{"ack", tcp4(t, &layers.TCP{ACK: true}), parser.FlowContinues, true},
		{"fin", tcp4(t, &layers.TCP{FIN: true, ACK: true}), parser.FlowCloses, true},
		{"rst", tcp4(t, &layers.TCP{RST: true}), parser.FlowCloses, true},
		{"syn over ipv6", tcp6(t, &layers.TCP{SYN: true}), parser.FlowOpens, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p parser.Packet
			is.Equal(parser.New().Parse(c.datagram, &p), parser.Accepted)
			is.Equal(p.FlowEvent(), c.event)
			is.Equal(p.TCP(), c.tcp)
			is.Equal(p.Destination().Port(), uint16(443))
			is.Equal(len(p.Inner()), len(c.datagram)-innerStart)
		})
	}
}

// edit returns a copy of the datagram with one byte replaced.
func edit(datagram []byte, at int, value byte) []byte {
	changed := append([]byte(nil), datagram...)
	changed[at] = value
	return changed
}

// fixIPChecksum updates the checksum of the inner IPv4 header in place, and returns the
// datagram.
func fixIPChecksum(datagram []byte) []byte {
	ip := datagram[innerStart : innerStart+20]
	binary.BigEndian.PutUint16(ip[10:], 0)
	sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(ip, 0))
	binary.BigEndian.PutUint16(ip[10:], sum)
	return datagram
}

func TestReasonsOfRejectedPackets(t *testing.T) {
	good := udp4(t, 0xc3, 0, 0, 0, 1)
	good6 := tcp6(t, &layers.TCP{SYN: true})
	cases := []struct {
		name     string
		datagram []byte
		reason   parser.Reason
	}{
		{"empty", nil, parser.MalformedGeneve},
		{"truncated geneve", good[:7], parser.MalformedGeneve},
		{"geneve version", edit(good, 0, 0x40), parser.MalformedGeneve},
		{"control packet", edit(good, 1, 0x80), parser.MalformedGeneve},
		{"options beyond the end", edit(good, 0, 0x3c), parser.MalformedGeneve},
		{"longest options", edit(good, 0, 0x3f), parser.MalformedGeneve},
		{"critical option", edit(good, 1, 0x40), parser.CriticalOption},
		{"not ip", edit(good, 3, 0x06), parser.UnknownEtherType},
		{"truncated ip", good[:innerStart+12], parser.MalformedIP},
		{"truncated payload", good[:len(good)-1], parser.MalformedIP},
		{"fragment", fixIPChecksum(edit(good, innerStart+6, 0x20)), parser.Fragment},
		{"later fragment", fixIPChecksum(edit(good, innerStart+7, 0x10)), parser.Fragment},
		{"ip checksum", edit(good, innerStart+8, 63), parser.BadIPChecksum},
		{"icmp", fixIPChecksum(edit(good, innerStart+9, 1)), parser.UnknownProtocol},
		{"udp length", edit(good, innerStart+25, 200), parser.MalformedTransport},
		{"udp checksum", edit(good, len(good)-1, 9), parser.BadTransportChecksum},
		{"tcp checksum", edit(good6, len(good6)-1, 9), parser.BadTransportChecksum},
		{"ipv6 fragment", edit(good6, innerStart+6, 44), parser.Fragment},
		{"ipv6 hop by hop", edit(good6, innerStart+6, 0), parser.UnknownProtocol},
		{"ipv6 truncated", good6[:innerStart+39], parser.MalformedIP},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p parser.Packet
			is.Equal(parser.New().Parse(c.datagram, &p).String(), c.reason.String())
		})
	}
}

func TestUnknownOptionIsIgnored(t *testing.T) {
	is := is.New(t)
	ip := header4(layers.IPProtocolUDP)
	udp := &layers.UDP{SrcPort: 40000, DstPort: 443}
	_ = udp.SetNetworkLayerForChecksum(ip)
	option := &layers.GeneveOption{Class: 0xff01, Type: 1, Length: 8, Data: []byte{1, 2, 3, 4}}
	geneve := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: []*layers.GeneveOption{option}}
	datagram := serialize(t, geneve, ip, udp, gopacket.Payload("x"))
	var p parser.Packet
	is.Equal(parser.New().Parse(datagram, &p), parser.Accepted)
}

func TestParseAllocatesNothing(t *testing.T) {
	is := is.New(t)
	pr := parser.New()
	var p parser.Packet
	for _, datagram := range [][]byte{udp4(t, make([]byte, 1200)...), tcp4(t, &layers.TCP{ACK: true}), tcp6(t, &layers.TCP{ACK: true})} {
		n := testing.AllocsPerRun(1000, func() { pr.Parse(datagram, &p) })
		is.Equal(n, 0.0)
	}
}

func TestPutGeneveHeaderWritesHops(t *testing.T) {
	is := is.New(t)
	datagram := udp4(t, 1, 2, 3)
	parser.PutGeneveHeader(datagram, 2, false)
	var p parser.Packet
	is.Equal(parser.New().Parse(datagram, &p), parser.Accepted)
	is.Equal(p.Hops(), uint32(2))
}

func FuzzParse(f *testing.F) {
	f.Add(udp4(f, 0xc3, 0, 0, 0, 1))
	f.Add(tcp4(f, &layers.TCP{SYN: true}))
	f.Add(tcp6(f, &layers.TCP{SYN: true}))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var p parser.Packet
		if parser.New().Parse(datagram, &p) != parser.Accepted {
			return
		}
		if len(p.Inner()) > len(datagram)-parser.GeneveHeaderBytes || !p.Source().IsValid() || !p.Destination().IsValid() {
			t.Fatalf("Parse accepted %x as %+v", datagram, p)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	datagram := udp4(b, make([]byte, 1200)...)
	pr := parser.New()
	var p parser.Packet
	b.ReportAllocs()
	for b.Loop() {
		pr.Parse(datagram, &p)
	}
}
