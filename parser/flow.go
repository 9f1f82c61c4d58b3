package parser

import "net/netip"

// FlowOf returns the hash that Parse gives to packets from source to destination.
func FlowOf(source, destination netip.AddrPort, tcp bool) uint64 {
	var p Parser
	return p.hash(&Packet{source: source, destination: destination, tcp: tcp})
}
