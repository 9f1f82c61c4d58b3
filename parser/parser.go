// Package parser extracts the fields that the data path needs from a Geneve packet,
// such as the flow and whether the packet opens or closes it.
//
// # Usage
//
//	p := parser.New()
//	var packet parser.Packet
//	if reason := p.Parse(datagram, &packet); reason != parser.Accepted {
//		counters.Add(reason.String(), 1)
//	}
//
// A Parser is not safe for concurrent use, so each goroutine that reads packets needs
// its own. Parse allocates nothing for a valid packet without options.
package parser

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// GeneveHeaderBytes is the length of a Geneve header without options.
const GeneveHeaderBytes = 8

// maxOptionsBytes bounds the total length of a packet's options, since gopacket keeps
// its offset into the Geneve header in a uint8.
const maxOptionsBytes = 240

// Parser parses Geneve packets. It reuses its decoding layers and its buffer for all
// packets.
type Parser struct {
	geneve    layers.Geneve
	ip4       layers.IPv4
	ip6       layers.IPv6
	tcp       layers.TCP
	udp       layers.UDP
	hashInput [37]byte
}

// New returns a Parser. The zero value is ready to use as well.
func New() *Parser {
	return &Parser{}
}

// Parse parses a Geneve datagram into packet. It returns Accepted, or the reason why
// the packet is rejected.
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
	if len(datagram) < GeneveHeaderBytes {
		return MalformedGeneve
	}
	if int(datagram[0]&0x3f)*4 > maxOptionsBytes {
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
	// The datagram may have padding after the IP packet.
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
		p.classifyTCP(packet)
	case layers.IPProtocolUDP:
		if err := p.udp.DecodeFromBytes(segment, gopacket.NilDecodeFeedback); err != nil {
			return MalformedTransport
		}
		if int(p.udp.Length) != len(segment) {
			return MalformedTransport
		}
		sourcePort = uint16(p.udp.SrcPort)
		destinationPort = uint16(p.udp.DstPort)
		p.classifyUDP(packet)
	default:
		return UnknownProtocol
	}
	if !validChecksum(segment, protocol, source, destination) {
		return BadTransportChecksum
	}
	packet.source = netip.AddrPortFrom(source, sourcePort)
	packet.destination = netip.AddrPortFrom(destination, destinationPort)
	packet.tcp = protocol == layers.IPProtocolTCP
	packet.flowHash = p.flowHash(packet)
	return Accepted
}

// classifyTCP sets the flow event, the sequence number, the acknowledgment number and the
// segment length of the packet.
func (p *Parser) classifyTCP(packet *Packet) {
	packet.sequence = p.tcp.Seq
	packet.acknowledgment = 0
	if p.tcp.ACK {
		packet.acknowledgment = p.tcp.Ack
	}
	packet.segmentLength = len(p.tcp.Payload)
	packet.flowEvent = FlowContinues
	if p.tcp.SYN || p.tcp.FIN {
		packet.segmentLength++
	}
	switch {
	case p.tcp.SYN && !p.tcp.ACK:
		packet.flowEvent = FlowOpens
	case p.tcp.FIN || p.tcp.RST:
		packet.flowEvent = FlowCloses
	}
}

// The first byte of a QUIC Initial packet: the header form bit and the fixed bit are
// set, and the type bits are 0 (RFC 9000, section 17.2.2).
const (
	quicInitialMask = 0xf0
	quicInitialBits = 0xc0
)

// classifyUDP sets the flow event of the packet.
func (p *Parser) classifyUDP(packet *Packet) {
	packet.flowEvent = FlowContinues
	if len(p.udp.Payload) > 0 && p.udp.Payload[0]&quicInitialMask == quicInitialBits {
		packet.flowEvent = FlowOpens
	}
}

// flowHash returns the hash of the packet's addresses, ports and protocol.
func (p *Parser) flowHash(packet *Packet) uint64 {
	source := packet.source.Addr().As16()
	destination := packet.destination.Addr().As16()
	copy(p.hashInput[:16], source[:])
	copy(p.hashInput[16:32], destination[:])
	binary.BigEndian.PutUint16(p.hashInput[32:], packet.source.Port())
	binary.BigEndian.PutUint16(p.hashInput[34:], packet.destination.Port())
	p.hashInput[36] = 0
	if packet.tcp {
		p.hashInput[36] = 1
	}
	return xxhash.Sum64(p.hashInput[:])
}

// validChecksum verifies the checksum of a TCP or UDP segment. UDP over IPv4 may omit
// it.
func validChecksum(segment []byte, protocol layers.IPProtocol, source, destination netip.Addr) bool {
	if protocol == layers.IPProtocolUDP && source.Is4() && segment[6] == 0 && segment[7] == 0 {
		return true
	}
	sum := pseudoHeaderSum(source, destination) + uint32(protocol)
	length := uint32(len(segment))
	sum += length>>16 + length&0xffff
	return gopacket.FoldChecksum(gopacket.ComputeChecksum(segment, sum)) == 0
}

// pseudoHeaderSum returns the partial checksum of the addresses in the pseudo-header.
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

// PutGeneveHeader writes a Geneve header without options to the first
// GeneveHeaderBytes of buffer, where it precedes the inner packet. It stores the hop
// count as the virtual network identifier.
func PutGeneveHeader(buffer []byte, hops uint32, ip6 bool) {
	etherType := layers.EthernetTypeIPv4
	if ip6 {
		etherType = layers.EthernetTypeIPv6
	}
	buffer[0] = 0
	buffer[1] = 0
	binary.BigEndian.PutUint16(buffer[2:], uint16(etherType))
	// The virtual network identifier has 24 bits; the last byte is reserved.
	binary.BigEndian.PutUint32(buffer[4:], hops<<8)
}
