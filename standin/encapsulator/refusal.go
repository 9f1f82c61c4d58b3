package encapsulator

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"
)

// Layout of an ICMP error and of the packet that it quotes, in bytes.
const (
	icmpHeaderBytes = 8
	ipv4HeaderBytes = 20
	ipv6HeaderBytes = 40
	portBytes       = 2
)

// Type and code of the ICMP message "communication administratively prohibited".
const (
	icmpv4TypeUnreachable = 3
	icmpv4CodeProhibited  = 13
	icmpv6TypeUnreachable = 1
	icmpv6CodeProhibited  = 1
)

// refusedSource returns the source address and port of the datagram that an ICMP
// message quotes, if the message says that the datagram was administratively
// prohibited. Otherwise, or if the message is too short, it returns the zero value.
// It assumes that a quoted IPv6 packet has no extension headers.
func refusedSource(message []byte, protocol layers.IPProtocol) netip.AddrPort {
	if len(message) < icmpHeaderBytes {
		return netip.AddrPort{}
	}
	quoted := message[icmpHeaderBytes:]
	if protocol == layers.IPProtocolICMPv6 {
		if message[0] != icmpv6TypeUnreachable || message[1] != icmpv6CodeProhibited || len(quoted) < ipv6HeaderBytes+portBytes {
			return netip.AddrPort{}
		}
		return quotedSource(quoted[8:24], quoted[ipv6HeaderBytes:])
	}
	if message[0] != icmpv4TypeUnreachable || message[1] != icmpv4CodeProhibited || len(quoted) < ipv4HeaderBytes+portBytes {
		return netip.AddrPort{}
	}
	header := int(quoted[0]&0x0f) * 4
	if header < ipv4HeaderBytes || len(quoted) < header+portBytes {
		return netip.AddrPort{}
	}
	return quotedSource(quoted[12:16], quoted[header:])
}

// quotedSource returns the source from the address bytes of an IP header and the
// transport header, which begins with the source port.
func quotedSource(address, transport []byte) netip.AddrPort {
	a, _ := netip.AddrFromSlice(address)
	return netip.AddrPortFrom(a, binary.BigEndian.Uint16(transport))
}
