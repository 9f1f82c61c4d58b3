// Package caller builds what a refused caller is told: a TCP reset, or an ICMP
// message "communication administratively prohibited" for UDP.
//
// # Usage
//
//	refuser := caller.New()
//	if datagram, ok := refuser.Refuse(now, &packet); ok {
//		conn.WriteToUDPAddrPort(datagram, fabric)
//	}
//
// A refusal says that nothing of the flow has reached a target; it is the user's
// duty to call Refuse only where that holds.
package caller

import (
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"golang.org/x/time/rate"

	"trefoilspring.example/trefoilspring/parser"
)

const (
	// refusalsPerSecond bounds the refusals that one Refuser sends.
	refusalsPerSecond = 1000
	refusalBurst      = 200
	hopLimit          = 64
	// quotedBytes of the refused packet go into an ICMP message, at most.
	quotedBytes = 128
)

// Refuser builds refusals at a bounded rate. It is not safe for use from several
// goroutines.
type Refuser struct {
	limiter *rate.Limiter
}

// New returns a Refuser.
func New() *Refuser {
	return &Refuser{limiter: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// Refuse returns the Geneve datagram that refuses the packet's flow, and false if
// too many refusals were sent lately or the packet can't be answered.
func (r *Refuser) Refuse(now time.Time, p *parser.Packet) ([]byte, bool) {
	if !r.limiter.AllowN(now, 1) {
		return nil, false
	}
	if p.TCP() {
		return encode(p, resetTo(p))
	}
	return encode(p, prohibitedTo(p))
}

// resetTo answers as RFC 9293, section 3.10.7.1, asks.
func resetTo(p *parser.Packet) []gopacket.SerializableLayer {
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

func prohibitedTo(p *parser.Packet) []gopacket.SerializableLayer {
	quoted := gopacket.Payload(p.Inner()[:min(len(p.Inner()), quotedBytes)])
	if p.Source().Addr().Is4() {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited)
		return []gopacket.SerializableLayer{&layers.ICMPv4{TypeCode: code}, quoted}
	}
	code := layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodeAdminProhibited)
	unused := gopacket.Payload(make([]byte, 4))
	return []gopacket.SerializableLayer{&layers.ICMPv6{TypeCode: code}, unused, quoted}
}

func encode(p *parser.Packet, body []gopacket.SerializableLayer) ([]byte, bool) {
	ip, etherType := network(p, body[0])
	all := append([]gopacket.SerializableLayer{&layers.Geneve{Protocol: etherType}, ip}, body...)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, all...); err != nil {
		return nil, false
	}
	return buffer.Bytes(), true
}

// network returns the IP header towards the caller, and binds the checksum of
// the layer above to it.
func network(p *parser.Packet, above gopacket.SerializableLayer) (gopacket.SerializableLayer, layers.EthernetType) {
	if p.Source().Addr().Is4() {
		ip := &layers.IPv4{
			Version:  4,
			TTL:      hopLimit,
			Protocol: layers.IPProtocolICMPv4,
			SrcIP:    p.Destination().Addr().AsSlice(),
			DstIP:    p.Source().Addr().AsSlice(),
		}
		if tcp, ok := above.(*layers.TCP); ok {
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
	switch l := above.(type) {
	case *layers.TCP:
		ip.NextHeader = layers.IPProtocolTCP
		_ = l.SetNetworkLayerForChecksum(ip)
	case *layers.ICMPv6:
		_ = l.SetNetworkLayerForChecksum(ip)
	}
	return ip, layers.EthernetTypeIPv6
}
