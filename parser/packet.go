package parser

import (
	"net/netip"

	"github.com/gopacket/gopacket/layers"
)

// Reason says why a packet was not accepted.
type Reason uint8

// The reasons.
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

// Reasons lists all reasons but Accepted.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := Accepted + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Mark says what a packet does to its flow.
type Mark uint8

// The marks. UDP other than a QUIC Initial carries MarkNone.
const (
	MarkNone Mark = iota
	MarkOpening
	MarkClosing
)

// Packet is what Parse found. Its inner bytes alias the datagram.
type Packet struct {
	hops        uint32
	source      netip.AddrPort
	destination netip.AddrPort
	tcp         bool
	mark        Mark
	flow        uint64
	inner       []byte
	etherType   layers.EthernetType
	sequence    uint32
	ack         uint32
	payload     int
}

// Hops returns how often balancers have handed the packet on.
func (p *Packet) Hops() uint32 { return p.hops }

// Source returns the caller's address.
func (p *Packet) Source() netip.AddrPort { return p.source }

// Destination returns the service address.
func (p *Packet) Destination() netip.AddrPort { return p.destination }

// TCP reports whether the inner packet is TCP; otherwise it is UDP.
func (p *Packet) TCP() bool { return p.tcp }

// Mark returns what the packet does to its flow. A QUIC Initial is marked as
// opening whichever protocol the service has.
func (p *Packet) Mark() Mark { return p.mark }

// Flow returns the hash of addresses, ports and protocol.
func (p *Packet) Flow() uint64 { return p.flow }

// Inner returns the inner IP packet.
func (p *Packet) Inner() []byte { return p.inner }

// Sequence returns the TCP sequence number.
func (p *Packet) Sequence() uint32 { return p.sequence }

// Acknowledgment returns the TCP acknowledgment number, 0 without the ACK flag.
func (p *Packet) Acknowledgment() uint32 { return p.ack }

// SegmentLength returns how far the TCP segment moves the sequence number.
func (p *Packet) SegmentLength() int { return p.payload }
