package wrapper

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

// Type and code of "administratively prohibited".
const (
	icmpv4Unreachable = 3
	icmpv4Prohibited  = 13
	icmpv6Unreachable = 1
	icmpv6Prohibited  = 1
)

// refusedSource returns the source of the datagram that an ICMP message quotes,
// if the message says that it was administratively prohibited.
func refusedSource(message []byte, kind layers.IPProtocol) netip.AddrPort {
	if len(message) < icmpHeaderBytes {
		return netip.AddrPort{}
	}
	quoted := message[icmpHeaderBytes:]
	if kind == layers.IPProtocolICMPv6 {
		if message[0] != icmpv6Unreachable || message[1] != icmpv6Prohibited || len(quoted) < ipv6HeaderBytes+portBytes {
			return netip.AddrPort{}
		}
		return quotedSource(quoted[8:24], quoted[ipv6HeaderBytes:])
	}
	if message[0] != icmpv4Unreachable || message[1] != icmpv4Prohibited || len(quoted) < ipv4HeaderBytes+portBytes {
		return netip.AddrPort{}
	}
	header := int(quoted[0]&0x0f) * 4
	if header < ipv4HeaderBytes || len(quoted) < header+portBytes {
		return netip.AddrPort{}
	}
	return quotedSource(quoted[12:16], quoted[header:])
}

func quotedSource(address, transport []byte) netip.AddrPort {
	a, _ := netip.AddrFromSlice(address)
	return netip.AddrPortFrom(a, binary.BigEndian.Uint16(transport))
}
