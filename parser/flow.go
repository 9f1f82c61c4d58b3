package parser

import "net/netip"

// FlowHash returns the flow hash that Parse computes for packets from source to
// destination.
func FlowHash(source, destination netip.AddrPort, tcp bool) uint64 {
	var p Parser
	return p.flowHash(&Packet{source: source, destination: destination, tcp: tcp})
}
