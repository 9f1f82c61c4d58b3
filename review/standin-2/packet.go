package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagAck = 1
	flagFin = 2
	flagRst = 4
	flagSyn = 8
)

const (
	headerBytes = 32
	idBytes     = 8
)

// packet is a packet of a flow, with the fields that PROTOCOL names.
type packet struct {
	seq, ack uint32
	flags    byte
	src, dst netip.AddrPort
	echo     uint32
	sum      uint32
	data     []byte
}

// sumKey stands for the key that clients and servers share.
const sumKey = "review-2"

// keyedSum sums all fields except echo and pad.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[:9])
	h.Write(b[10:24])
	h.Write(b[headerBytes:])
	return h.Sum32() | 1 // 0 marks resets of the system
}

func putAddr(b []byte, a netip.AddrPort, ip, port int) {
	four := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ip:], binary.BigEndian.Uint32(four[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func getAddr(b []byte, ip, port int) netip.AddrPort {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], binary.LittleEndian.Uint32(b[ip:]))
	return netip.AddrPortFrom(netip.AddrFrom4(four), binary.LittleEndian.Uint16(b[port:]))
}

func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	b[8] = p.flags
	putAddr(b, p.dst, 10, 20)
	putAddr(b, p.src, 16, 14)
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[28:], p.echo)
	binary.LittleEndian.PutUint32(b[24:], keyedSum(b))
	return b
}

// decode reads a packet. intact reports whether its sum is right; a reset of the system has
// sum 0 and no data.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headerBytes || int(binary.LittleEndian.Uint16(b[22:]))+headerBytes != len(b) {
		return p, false
	}
	p = packet{
		seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]), flags: b[8],
		dst: getAddr(b, 10, 20), src: getAddr(b, 16, 14),
		echo: binary.LittleEndian.Uint32(b[28:]), sum: binary.LittleEndian.Uint32(b[24:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	if p.sum == 0 {
		return p, p.flags&flagRst != 0 && len(p.data) == 0
	}
	return p, p.sum == keyedSum(b)
}
