package requester

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Size of the pool of source addresses in one prefix.
const (
	hostsPerPrefix  = 200
	firstSourcePort = 10000
	portsPerHost    = 50000
)

// sourcePool allocates inner source addresses. A pair of address and port recurs
// only after hostsPerPrefix * portsPerHost allocations.
type sourcePool struct {
	prefixes []netip.Prefix
	// allocated counts the allocations from all prefixes.
	allocated atomic.Uint64
}

// allocate returns the next source address of the address family of to. It returns
// an error if no prefix has that family.
func (s *sourcePool) allocate(to netip.Addr) (netip.AddrPort, error) {
	for _, p := range s.prefixes {
		if p.Addr().Is4() == to.Is4() {
			return sourceAddress(p.Masked().Addr(), s.allocated.Add(1)), nil
		}
	}
	return netip.AddrPort{}, errors.Newf("no source prefix has the address family of %s", to)
}

// sourceAddress returns the source address number n of the prefix that begins at
// base. Consecutive numbers differ in the host; the port changes after all hosts.
func sourceAddress(base netip.Addr, n uint64) netip.AddrPort {
	raw := base.AsSlice()
	tail := raw[len(raw)-4:]
	binary.BigEndian.PutUint32(tail, binary.BigEndian.Uint32(tail)+1+uint32(n%hostsPerPrefix))
	address, _ := netip.AddrFromSlice(raw)
	return netip.AddrPortFrom(address, uint16(firstSourcePort+n/hostsPerPrefix%portsPerHost))
}
