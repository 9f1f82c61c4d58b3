// Package parser reads what the data path needs from a Geneve packet: the flow,
// and whether the packet opens or ends it.
//
// # Usage
//
//	p := parser.New()
//	var packet parser.Packet
//	if reason := p.Parse(datagram, &packet); reason != parser.Accepted {
//		counters.Add(reason.String(), 1)
//	}
//
// A Parser is not safe for use from several goroutines; each reader has its
// own. Parse allocates nothing for a well-formed packet without options.
package parser

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// HeaderBytes is the length of a Geneve header without options.
const HeaderBytes = 8

// maxOptionBytes bounds the options of a packet: the codec counts its position
// in eight bits.
const maxOptionBytes = 240

// Parser holds the decoding layers that packets are read into.
type Parser struct {
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	key    [37]byte
}

// New returns a Parser; the zero value works as well.
func New() *Parser {
	return &Parser{}
}

// Parse reads a Geneve datagram into packet.
func (p *Parser) Parse(datagram []byte, packet *Packet) Reason {
	if reason := p.parseGeneve(datagram, packet); reason != Accepted {
		return reason
	}
	switch packet.etherType {
	case layers.EthernetTypeIPv4:
		return p.parseIPv4(packet)
	case layers.EthernetTypeIPv6:
		return p.parseIPv6(packet)
	default:
		return UnknownEtherType
	}
}

func (p *Parser) parseGeneve(datagram []byte, packet *Packet) Reason {
	if len(datagram) < HeaderBytes {
		return MalformedGeneve
	}
	if int(datagram[0]&0x3f)*4 > maxOptionBytes {
		return MalformedGeneve
	}
	if err := p.geneve.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
		return MalformedGeneve
	}
	if p.geneve.Version != 0 || p.geneve.OAMPacket {
		return MalformedGeneve
	}
	if p.geneve.CriticalOption {
		return CriticalOption
	}
	packet.hops = p.geneve.VNI
	packet.etherType = p.geneve.Protocol
	packet.inner = p.geneve.Payload
	return Accepted
}

func (p *Parser) parseIPv4(packet *Packet) Reason {
	if err := p.ip4.DecodeFromBytes(packet.inner, gopacket.NilDecodeFeedback); err != nil {
		return MalformedIP
	}
	header := int(p.ip4.IHL) * 4
	total := int(p.ip4.Length)
	if p.ip4.Version != 4 || total > len(packet.inner) || total < header {
		return MalformedIP
	}
	if p.ip4.Flags&layers.IPv4MoreFragments != 0 || p.ip4.FragOffset != 0 {
		return Fragment
	}
	if gopacket.FoldChecksum(gopacket.ComputeChecksum(packet.inner[:header], 0)) != 0 {
		return BadIPChecksum
	}
	source, _ := netip.AddrFromSlice(p.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ip4.DstIP)
	// Bytes behind the IP packet do not belong to it.
	packet.inner = packet.inner[:total]
	return p.parseTransport(packet, packet.inner[header:], p.ip4.Protocol, source, destination)
}

func (p *Parser) parseIPv6(packet *Packet) Reason {
	if len(packet.inner) < ip6HeaderBytes || packet.inner[0]>>4 != 6 {
		return MalformedIP
	}
	next := layers.IPProtocol(packet.inner[6])
	if next == layers.IPProtocolIPv6Fragment {
		return Fragment
	}
	if next != layers.IPProtocolTCP && next != layers.IPProtocolUDP {
		return UnknownProtocol
	}
	if err := p.ip6.DecodeFromBytes(packet.inner, gopacket.NilDecodeFeedback); err != nil {
		return MalformedIP
	}
	total := ip6HeaderBytes + int(p.ip6.Length)
	if total > len(packet.inner) || p.ip6.Length == 0 {
		return MalformedIP
	}
	source, _ := netip.AddrFromSlice(p.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ip6.DstIP)
	packet.inner = packet.inner[:total]
	return p.parseTransport(packet, packet.inner[ip6HeaderBytes:], next, source, destination)
}

const ip6HeaderBytes = 40

func (p *Parser) parseTransport(packet *Packet, segment []byte, protocol layers.IPProtocol, source, destination netip.Addr) Reason {
	var sourcePort, destinationPort uint16
	switch protocol {
	case layers.IPProtocolTCP:
		if err := p.tcp.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil {
			return MalformedTransport
		}
		sourcePort = uint16(p.tcp.SrcPort)
		destinationPort = uint16(p.tcp.DstPort)
		p.markTCP(packet)
	case layers.IPProtocolUDP:
		if err := p.udp.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil {
			return MalformedTransport
		}
		if int(p.udp.Length) != len(segment) {
			return MalformedTransport
		}
		sourcePort = uint16(p.udp.SrcPort)
		destinationPort = uint16(p.udp.DstPort)
		p.markUDP(packet)
	default:
		return UnknownProtocol
	}
	if !checksumHolds(segment, protocol, source, destination) {
		return BadTransportChecksum
	}
	packet.source = netip.AddrPortFrom(source, sourcePort)
	packet.destination = netip.AddrPortFrom(destination, destinationPort)
	packet.tcp = protocol == layers.IPProtocolTCP
	packet.flow = p.hash(packet)
	return Accepted
}

func (p *Parser) markTCP(packet *Packet) {
	packet.sequence = p.tcp.Seq
	packet.ack = 0
	if p.tcp.ACK {
		packet.ack = p.tcp.Ack
	}
	packet.payload = len(p.tcp.Payload)
	packet.mark = MarkNone
	if p.tcp.SYN || p.tcp.FIN {
		packet.payload++
	}
	switch {
	case p.tcp.SYN && !p.tcp.ACK:
		packet.mark = MarkOpening
	case p.tcp.FIN || p.tcp.RST:
		packet.mark = MarkClosing
	}
}

// The first byte of a QUIC long header: form and fixed bits set, type Initial
// (RFC 9000, section 17.2.2).
const (
	quicInitialMask = 0xf0
	quicInitialBits = 0xc0
)

func (p *Parser) markUDP(packet *Packet) {
	packet.mark = MarkNone
	if len(p.udp.Payload) > 0 && p.udp.Payload[0]&quicInitialMask == quicInitialBits {
		packet.mark = MarkOpening
	}
}

func (p *Parser) hash(packet *Packet) uint64 {
	source := packet.source.Addr().As16()
	destination := packet.destination.Addr().As16()
	copy(p.key[:16], source[:])
	copy(p.key[16:32], destination[:])
	binary.BigEndian.PutUint16(p.key[32:], packet.source.Port())
	binary.BigEndian.PutUint16(p.key[34:], packet.destination.Port())
	p.key[36] = 0
	if packet.tcp {
		p.key[36] = 1
	}
	return xxhash.Sum64(p.key[:])
}

// checksumHolds verifies the checksum of TCP and UDP. UDP over IPv4 may go
// without one.
func checksumHolds(segment []byte, protocol layers.IPProtocol, source, destination netip.Addr) bool {
	if protocol == layers.IPProtocolUDP && source.Is4() && segment[6] == 0 && segment[7] == 0 {
		return true
	}
	sum := pseudoHeaderSum(source, destination) + uint32(protocol)
	length := uint32(len(segment))
	sum += length>>16 + length&0xffff
	return gopacket.FoldChecksum(gopacket.ComputeChecksum(segment, sum)) == 0
}

func pseudoHeaderSum(source, destination netip.Addr) uint32 {
	if source.Is4() {
		s := source.As4()
		d := destination.As4()
		return gopacket.ComputeChecksum(d[:], gopacket.ComputeChecksum(s[:], 0))
	}
	s := source.As16()
	d := destination.As16()
	return gopacket.ComputeChecksum(d[:], gopacket.ComputeChecksum(s[:], 0))
}

// PutHeader writes a Geneve header without options before the inner packet; the
// buffer starts HeaderBytes before it.
func PutHeader(buffer []byte, hops uint32, ip6 bool) {
	etherType := layers.EthernetTypeIPv4
	if ip6 {
		etherType = layers.EthernetTypeIPv6
	}
	buffer[0] = 0
	buffer[1] = 0
	binary.BigEndian.PutUint16(buffer[2:], uint16(etherType))
	// The network identifier has 24 bits; the last byte is reserved.
	binary.BigEndian.PutUint32(buffer[4:], hops<<8)
}
