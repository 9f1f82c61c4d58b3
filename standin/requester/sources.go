package requester

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The inner addresses that one prefix gives.
const (
	sourceHosts     = 200
	firstSourcePort = 10000
	sourcePorts     = 50000
)

// sources gives out inner source addresses, each a new one.
type sources struct {
	prefixes []netip.Prefix
	next     atomic.Uint64
}

// take returns the next source address of the family of to.
func (s *sources) take(to netip.Addr) (netip.AddrPort, error) {
	for _, p := range s.prefixes {
		if p.Addr().Is4() == to.Is4() {
			return nth(p.Masked().Addr(), s.next.Add(1)), nil
		}
	}
	return netip.AddrPort{}, errors.Newf("no source prefix of the family of %s", to)
}

func nth(base netip.Addr, n uint64) netip.AddrPort {
	bytes := base.AsSlice()
	tail := bytes[len(bytes)-4:]
	binary.BigEndian.PutUint32(tail, binary.BigEndian.Uint32(tail)+1+uint32(n%sourceHosts))
	address, _ := netip.AddrFromSlice(bytes)
	return netip.AddrPortFrom(address, uint16(firstSourcePort+n/sourceHosts%sourcePorts))
}
