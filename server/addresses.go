package server

import (
	"net/netip"
	"sync/atomic"

	"trefoilspring.example/trefoilspring/forwarder"
	"trefoilspring.example/trefoilspring/peer"
	"trefoilspring.example/trefoilspring/tracker"
)

// addressBook maps addresses of the data network to the fabric and the peers, and peers
// to their addresses. It is safe for concurrent use; lookups take no lock.
type addressBook struct {
	table atomic.Pointer[addressTable]
}

// addressTable is one immutable state of an addressBook.
type addressTable struct {
	origins map[netip.AddrPort]forwarder.Origin
	data    map[tracker.MemberID]netip.AddrPort
}

// setAddresses replaces all addresses. An address listed as fabric and as peer counts as
// fabric.
func (a *addressBook) setAddresses(fabricAddresses []netip.AddrPort, contacts []peer.Contact) {
	table := &addressTable{
		origins: make(map[netip.AddrPort]forwarder.Origin),
		data:    make(map[tracker.MemberID]netip.AddrPort),
	}
	for _, c := range contacts {
		table.origins[c.DataAddress] = forwarder.Peer
		table.data[c.ID()] = c.DataAddress
	}
	for _, f := range fabricAddresses {
		table.origins[f] = forwarder.Fabric
	}
	a.table.Store(table)
}

// originOf returns the kind of sender that uses a source address, and Stranger if the
// address is unknown.
func (a *addressBook) originOf(source netip.AddrPort) forwarder.Origin {
	return a.table.Load().origins[source]
}

// dataAddressOf returns the data address of a peer, and an invalid address if the peer
// is unknown.
func (a *addressBook) dataAddressOf(id tracker.MemberID) netip.AddrPort {
	return a.table.Load().data[id]
}
