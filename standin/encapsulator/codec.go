// Package encapsulator carries UDP datagrams in a Geneve tunnel (RFC 8926): each is
// sent as a complete IP packet with a Geneve header over one shared outer UDP socket.
// With it, an ordinary QUIC library uses the wire format that docs/DESIGN.md
// specifies.
//
// # Usage
//
//	tunnel, err := encapsulator.Listen("127.0.0.1:7001")
//	if err != nil {
//		return err
//	}
//	group.Go(func() error { return tunnel.Run(ctx) })
//	conn, err := tunnel.Open(local, fabric)
//	if err != nil {
//		return err
//	}
//	transport := quic.Transport{Conn: conn}
//
// A Tunnel delivers a packet to the Conn that has its inner destination address and
// port. All methods of a Tunnel and of a Conn may be called concurrently.
package encapsulator

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// innerHopLimit is the TTL or hop limit of the inner packets.
const innerHopLimit = 64

// Datagram is a decoded inner packet: a UDP datagram, or an ICMP message that a
// datagram was refused.
type Datagram struct {
	// Source and Destination are the inner addresses; the ports are 0 unless the
	// packet is UDP.
	Source, Destination netip.AddrPort
	// Payload is a part of the decoded byte slice, not a copy.
	Payload []byte
	// RefusedSource is the source of the datagram that an ICMP message refused as
	// administratively prohibited; it is the zero value for other packets.
	RefusedSource netip.AddrPort
}

// Encode returns payload as a UDP datagram in an IP packet with a Geneve header.
// Source and destination must have the same address family. It returns an error if
// a header can't be encoded.
func Encode(source, destination netip.AddrPort, payload []byte) ([]byte, error) {
	buffer := gopacket.NewSerializeBufferExpectedSize(64, len(payload))
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(source.Port()),
		DstPort: layers.UDPPort(destination.Port()),
	}
	geneve := &layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if source.Addr().Is4() {
		v4 := &layers.IPv4{
			Version: 4, TTL: innerHopLimit, Protocol: layers.IPProtocolUDP,
			SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
		}
		ip, network = v4, v4
	} else {
		v6 := &layers.IPv6{
			Version: 6, HopLimit: innerHopLimit, NextHeader: layers.IPProtocolUDP,
			SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
		}
		ip, network = v6, v6
		geneve.Protocol = layers.EthernetTypeIPv6
	}
	if err := udp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Wrap(err, "preparing the checksum of the inner UDP header")
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, geneve, ip, udp, gopacket.Payload(payload))
	if err != nil {
		return nil, errors.Wrap(err, "encoding an inner packet")
	}
	return buffer.Bytes(), nil
}

// InnerAddresses returns the inner IP addresses of a packet with a Geneve header.
// It returns an error if the Geneve header or the inner IP header is malformed.
func InnerAddresses(data []byte) (source, destination netip.Addr, err error) {
	d, _, err := decodeGeneve(data)
	return d.Source.Addr(), d.Destination.Addr(), err
}

// Decode decodes a packet with a Geneve header. It returns an error if a header is
// malformed. For an inner protocol other than UDP and ICMP, the payload is that of
// the IP packet.
func Decode(data []byte) (Datagram, error) {
	d, next, err := decodeGeneve(data)
	if err != nil {
		return d, err
	}
	switch next {
	case layers.IPProtocolUDP:
		var udp layers.UDP
		if err := udp.DecodeFromBytes(d.Payload, gopacket.NilDecodeFeedback); err != nil {
			return d, errors.Wrap(err, "decoding the inner UDP header")
		}
		d.Source = netip.AddrPortFrom(d.Source.Addr(), uint16(udp.SrcPort))
		d.Destination = netip.AddrPortFrom(d.Destination.Addr(), uint16(udp.DstPort))
		d.Payload = udp.Payload
	case layers.IPProtocolICMPv4, layers.IPProtocolICMPv6:
		d.RefusedSource = refusedSource(d.Payload, next)
	default: // Callers and targets use no other inner protocols.
	}
	return d, nil
}

// decodeGeneve decodes the Geneve header and the inner IP header. It returns the IP
// payload and its protocol; the ports of the addresses are 0.
func decodeGeneve(data []byte) (Datagram, layers.IPProtocol, error) {
	var geneve layers.Geneve
	if err := geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Datagram{}, 0, errors.Wrap(err, "decoding the Geneve header")
	}
	return decodeIP(geneve.Payload, geneve.Protocol)
}

// decodeIP decodes an IPv4 or IPv6 header, according to the protocol type of the
// Geneve header.
func decodeIP(data []byte, protocol layers.EthernetType) (Datagram, layers.IPProtocol, error) {
	switch protocol {
	case layers.EthernetTypeIPv4:
		var ip layers.IPv4
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return Datagram{}, 0, errors.Wrap(err, "decoding the inner IPv4 header")
		}
		return newDatagram(ip.SrcIP, ip.DstIP, ip.Payload), ip.Protocol, nil
	case layers.EthernetTypeIPv6:
		var ip layers.IPv6
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return Datagram{}, 0, errors.Wrap(err, "decoding the inner IPv6 header")
		}
		return newDatagram(ip.SrcIP, ip.DstIP, ip.Payload), ip.NextHeader, nil
	default:
		return Datagram{}, 0, errors.Newf("the Geneve protocol type %#x is neither IPv4 nor IPv6", uint16(protocol))
	}
}

// newDatagram returns a datagram with the IP addresses source and destination.
func newDatagram(source, destination, payload []byte) Datagram {
	from, _ := netip.AddrFromSlice(source)
	to, _ := netip.AddrFromSlice(destination)
	return Datagram{
		Source:      netip.AddrPortFrom(from, 0),
		Destination: netip.AddrPortFrom(to, 0),
		Payload:     payload,
	}
}
