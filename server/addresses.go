package server

import (
	"net/netip"
	"sync/atomic"

	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/tracker"
)

// addresses says who owns an address of the data network. Readers take no lock.
type addresses struct {
	current atomic.Pointer[addressTable]
}

type addressTable struct {
	origins map[netip.AddrPort]forwarder.Origin
	data    map[tracker.MemberID]netip.AddrPort
}

func (a *addresses) setAddresses(fabric []netip.AddrPort, contacts []peer.Contact) {
	table := &addressTable{
		origins: make(map[netip.AddrPort]forwarder.Origin),
		data:    make(map[tracker.MemberID]netip.AddrPort),
	}
	for _, c := range contacts {
		table.origins[c.DataAddress] = forwarder.Peer
		table.data[c.ID()] = c.DataAddress
	}
	for _, f := range fabric {
		table.origins[f] = forwarder.Fabric
	}
	a.current.Store(table)
}

func (a *addresses) origin(source netip.AddrPort) forwarder.Origin {
	return a.current.Load().origins[source]
}

func (a *addresses) dataAddress(id tracker.MemberID) netip.AddrPort {
	return a.current.Load().data[id]
}
