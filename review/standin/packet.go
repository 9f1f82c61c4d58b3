package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet, as PROTOCOL.md gives them.
const (
	flagAck   = 1
	flagFin   = 2
	flagReset = 4
	flagSyn   = 8
)

const headerBytes = 32

// packet is one packet as the ends of a flow send and receive it.
type packet struct {
	from, to netip.AddrPort
	seq, ack uint32
	flags    byte
	echo     uint32
	data     []byte
	// sum is the keyed sum as it was received.
	sum uint32
}

// isSystemReset reports whether the system itself made the packet: a reset with sum 0.
func (p packet) isSystemReset() bool {
	return p.flags == flagReset && p.sum == 0 && len(p.data) == 0
}

func putEndpoint(b []byte, address, port int, a netip.AddrPort) {
	octets := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[address:], binary.BigEndian.Uint32(octets[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func endpointAt(b []byte, address, port int) netip.AddrPort {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(b[address:]))
	return netip.AddrPortFrom(netip.AddrFrom4(octets), binary.LittleEndian.Uint16(b[port:]))
}

// encode returns the packet's bytes with their sum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(b, p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	b[8] = p.flags
	putEndpoint(b, 10, 20, p.to)
	putEndpoint(b, 16, 14, p.from)
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[28:], p.echo)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[24:], keyedSum(b))
	return b
}

// decode parses a packet and reports whether its sum is right.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes {
		return packet{}, false
	}
	p := packet{
		seq: binary.LittleEndian.Uint32(b), ack: binary.LittleEndian.Uint32(b[4:]), flags: b[8],
		to: endpointAt(b, 10, 20), from: endpointAt(b, 16, 14),
		sum: binary.LittleEndian.Uint32(b[24:]), echo: binary.LittleEndian.Uint32(b[28:]),
		data: b[headerBytes:],
	}
	return p, p.sum == keyedSum(b)
}

// sumKey stands for the key that the platform doesn't disclose.
const sumKey = "review"

// keyedSum covers all fields except sum, echo and pad, and is never 0.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[:9])
	_, _ = h.Write(b[10:24])
	_, _ = h.Write(b[headerBytes:])
	return h.Sum32() | 1
}
