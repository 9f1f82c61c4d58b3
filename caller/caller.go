// Package caller builds the packets that refuse a caller's flow: a TCP reset, or for UDP
// an ICMP message "communication administratively prohibited".
//
// # Usage
//
//	refuser := caller.New()
//	if datagram, ok := refuser.Refuse(now, &packet); ok {
//		conn.WriteToUDPAddrPort(datagram, fabric)
//	}
//
// A refusal tells the caller that no packet of the flow has reached a target. Refuse does
// not check this: use it only for such flows.
package caller

import (
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"golang.org/x/time/rate"

	"trefoilspring.example/trefoilspring/parser"
)

const (
	// refusalsPerSecond and refusalBurst bound the refusals of one Refuser.
	refusalsPerSecond = 1000
	refusalBurst      = 200
	// hopLimit is the TTL or hop limit of a refusal.
	hopLimit = 64
	// quotedBytes is the maximum length of the refused packet's part in an ICMP message.
	quotedBytes = 128
)

// Refuser builds refusals at a limited rate. It is not safe for concurrent use.
type Refuser struct {
	limiter *rate.Limiter
}

// New returns a Refuser with its full burst available.
func New() *Refuser {
	return &Refuser{limiter: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// Refuse returns the Geneve datagram that refuses the packet's flow. It returns false if
// the rate limit is reached or the refusal can't be encoded.
func (r *Refuser) Refuse(now time.Time, p *parser.Packet) ([]byte, bool) {
	if !r.limiter.AllowN(now, 1) {
		return nil, false
	}
	if p.TCP() {
		return serialize(p, resetLayers(p))
	}
	return serialize(p, prohibitedLayers(p))
}

// resetLayers returns the TCP reset for a segment of a connection that does not exist, as
// RFC 9293, section 3.10.7.1, requires.
func resetLayers(p *parser.Packet) []gopacket.SerializableLayer {
	reset := &layers.TCP{
		SrcPort: layers.TCPPort(p.Destination().Port()),
		DstPort: layers.TCPPort(p.Source().Port()),
		RST:     true,
	}
	if ack := p.Acknowledgment(); ack != 0 {
		reset.Seq = ack
	} else {
		reset.ACK = true
		reset.Ack = p.Sequence() + uint32(p.SegmentLength())
	}
	return []gopacket.SerializableLayer{reset}
}

// prohibitedLayers returns the ICMPv4 or ICMPv6 message with the start of the refused
// packet.
func prohibitedLayers(p *parser.Packet) []gopacket.SerializableLayer {
	quoted := gopacket.Payload(p.Inner()[:min(len(p.Inner()), quotedBytes)])
	if p.Source().Addr().Is4() {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited)
		return []gopacket.SerializableLayer{&layers.ICMPv4{TypeCode: code}, quoted}
	}
	code := layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodeAdminProhibited)
	// RFC 4443, section 3.1: the type, code and checksum are followed by 4 unused bytes.
	unused := gopacket.Payload(make([]byte, 4))
	return []gopacket.SerializableLayer{&layers.ICMPv6{TypeCode: code}, unused, quoted}
}

// serialize returns the Geneve datagram that holds the layers in an IP packet to the
// caller.
func serialize(p *parser.Packet, body []gopacket.SerializableLayer) ([]byte, bool) {
	ip, etherType := ipHeader(p, body[0])
	all := append([]gopacket.SerializableLayer{&layers.Geneve{Protocol: etherType}, ip}, body...)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, all...); err != nil {
		return nil, false
	}
	return buffer.Bytes(), true
}

// ipHeader returns the IP header of a packet to the caller. It registers the header with
// the payload, whose checksum includes the addresses, except for ICMPv4.
func ipHeader(p *parser.Packet, payload gopacket.SerializableLayer) (gopacket.SerializableLayer, layers.EthernetType) {
	if p.Source().Addr().Is4() {
		ip := &layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Protocol: layers.IPProtocolICMPv4,
			SrcIP:    p.Destination().Addr().AsSlice(),
			DstIP:    p.Source().Addr().AsSlice(),
		}
		if tcp, ok := payload.(*layers.TCP); ok {
			ip.Protocol = layers.IPProtocolTCP
			_ = tcp.SetNetworkLayerForChecksum(ip)
		}
		return ip, layers.EthernetTypeIPv4
	}
	ip := &layers.IPv6{
		Version:    6,
		HopLimit:   hopLimit,
		NextHeader: layers.IPProtocolICMPv6,
		SrcIP:      p.Destination().Addr().AsSlice(),
		DstIP:      p.Source().Addr().AsSlice(),
	}
	switch l := payload.(type) {
	case *layers.TCP:
		ip.NextHeader = layers.IPProtocolTCP
		_ = l.SetNetworkLayerForChecksum(ip)
	case *layers.ICMPv6:
		_ = l.SetNetworkLayerForChecksum(ip)
	}
	return ip, layers.EthernetTypeIPv6
}
