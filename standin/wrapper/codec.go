// Package wrapper carries UDP datagrams as whole IP packets in Geneve
// (RFC 8926) over one shared outer UDP socket, so that an ordinary QUIC library
// can run over the wire contract of docs/DESIGN.md.
//
// # Usage
//
//	link, err := wrapper.Listen("127.0.0.1:7001")
//	if err != nil {
//		return err
//	}
//	group.Go(func() error { return link.Run(ctx) })
//	conn, err := link.Open(local, fabric)
//	if err != nil {
//		return err
//	}
//	transport := quic.Transport{Conn: conn}
//
// A Link demultiplexes by the inner destination address and port. All methods
// of a Link and of a Conn may be called from several goroutines.
package wrapper

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// innerTTL is the hop limit of the inner packets.
const innerTTL = 64

// Datagram is an inner packet: a UDP datagram, or a refusal of one by ICMP.
type Datagram struct {
	// Source and Destination are the inner addresses; the ports are 0 for what
	// is not UDP.
	Source, Destination netip.AddrPort
	// Payload aliases the decoded bytes.
	Payload []byte
	// Refused is the source of the datagram that an ICMP message refused as
	// administratively prohibited; it is not valid for other packets.
	Refused netip.AddrPort
}

// Encode returns payload as a UDP datagram in an IP packet in Geneve.
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
			Version: 4, TTL: innerTTL, Protocol: layers.IPProtocolUDP,
			SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
		}
		ip, network = v4, v4
	} else {
		v6 := &layers.IPv6{
			Version: 6, HopLimit: innerTTL, NextHeader: layers.IPProtocolUDP,
			SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
		}
		ip, network = v6, v6
		geneve.Protocol = layers.EthernetTypeIPv6
	}
	if err := udp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Wrap(err, "preparing the inner checksum")
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, geneve, ip, udp, gopacket.Payload(payload))
	if err != nil {
		return nil, errors.Wrap(err, "encoding an inner packet")
	}
	return buffer.Bytes(), nil
}

// Addresses returns the inner addresses, without ports, of a wrapped packet.
func Addresses(data []byte) (source, destination netip.Addr, err error) {
	d, _, err := decodeIP(data)
	return d.Source.Addr(), d.Destination.Addr(), err
}

// Decode reads a wrapped packet.
func Decode(data []byte) (Datagram, error) {
	d, next, err := decodeIP(data)
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
		d.Refused = refusedSource(d.Payload, next)
	default: // Nobody here waits for other protocols.
	}
	return d, nil
}

func decodeIP(data []byte) (Datagram, layers.IPProtocol, error) {
	var geneve layers.Geneve
	if err := geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Datagram{}, 0, errors.Wrap(err, "decoding the Geneve header")
	}
	return decodeInner(geneve.Payload, geneve.Protocol)
}

func decodeInner(data []byte, kind layers.EthernetType) (Datagram, layers.IPProtocol, error) {
	switch kind {
	case layers.EthernetTypeIPv4:
		var ip layers.IPv4
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return Datagram{}, 0, errors.Wrap(err, "decoding the inner IPv4 header")
		}
		return datagram(ip.SrcIP, ip.DstIP, ip.Payload), ip.Protocol, nil
	case layers.EthernetTypeIPv6:
		var ip layers.IPv6
		if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return Datagram{}, 0, errors.Wrap(err, "decoding the inner IPv6 header")
		}
		return datagram(ip.SrcIP, ip.DstIP, ip.Payload), ip.NextHeader, nil
	default:
		return Datagram{}, 0, errors.Newf("the inner protocol %#x is not IP", uint16(kind))
	}
}

func datagram(source, destination, payload []byte) Datagram {
	from, _ := netip.AddrFromSlice(source)
	to, _ := netip.AddrFromSlice(destination)
	return Datagram{
		Source:      netip.AddrPortFrom(from, 0),
		Destination: netip.AddrPortFrom(to, 0),
		Payload:     payload,
	}
}
