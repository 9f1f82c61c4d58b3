package parser

import (
	"net/netip"

	"github.com/gopacket/gopacket/layers"
)

// Reason is the result of Parse: Accepted, or why the packet was rejected.
type Reason uint8

// The reasons. Accepted stands for a valid packet.
const (
	Accepted Reason = iota
	MalformedGeneve
	CriticalOption
	UnknownEtherType
	MalformedIP
	Fragment
	BadIPChecksum
	UnknownProtocol
	MalformedTransport
	BadTransportChecksum
	reasonCount
)

var reasonNames = [reasonCount]string{
	"accepted",
	"malformed-geneve",
	"critical-option",
	"unknown-ether-type",
	"malformed-ip",
	"fragment",
	"bad-ip-checksum",
	"unknown-protocol",
	"malformed-transport",
	"bad-transport-checksum",
}

func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons except Accepted.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := Accepted + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// FlowEvent says whether a packet opens or closes its flow.
type FlowEvent uint8

// The flow events. FlowContinues stands for a packet that neither opens nor closes its
// flow. Every UDP packet other than a QUIC Initial has it.
const (
	FlowContinues FlowEvent = iota
	FlowOpens
	FlowCloses
)

// Packet holds the fields of a parsed packet. Its inner bytes alias the datagram.
type Packet struct {
	hops           uint32
	source         netip.AddrPort
	destination    netip.AddrPort
	tcp            bool
	flowEvent      FlowEvent
	flowHash       uint64
	inner          []byte
	etherType      layers.EthernetType
	sequence       uint32
	acknowledgment uint32
	segmentLength  int
}

// Hops returns how many times the packet was passed from one balancer to another.
func (p *Packet) Hops() uint32 { return p.hops }

// Source returns the caller's address and port.
func (p *Packet) Source() netip.AddrPort { return p.source }

// Destination returns the service's address and port.
func (p *Packet) Destination() netip.AddrPort { return p.destination }

// TCP reports whether the inner packet is TCP; otherwise it is UDP.
func (p *Packet) TCP() bool { return p.tcp }

// FlowEvent returns whether the packet opens or closes its flow. It is FlowOpens for a
// QUIC Initial even if the service has another protocol.
func (p *Packet) FlowEvent() FlowEvent { return p.flowEvent }

// FlowHash returns the hash of the flow's addresses, ports and protocol.
func (p *Packet) FlowHash() uint64 { return p.flowHash }

// Inner returns the inner IP packet.
func (p *Packet) Inner() []byte { return p.inner }

// Sequence returns the TCP sequence number.
func (p *Packet) Sequence() uint32 { return p.sequence }

// Acknowledgment returns the TCP acknowledgment number, or 0 without the ACK flag.
func (p *Packet) Acknowledgment() uint32 { return p.acknowledgment }

// SegmentLength returns by how much the TCP segment advances the sequence number: the
// length of its payload, plus 1 if it has a SYN or FIN flag.
func (p *Packet) SegmentLength() int { return p.segmentLength }
