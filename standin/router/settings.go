package router

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of the fabric.
type Settings struct {
	// Address is the outer UDP address to which callers and targets send packets.
	Address netip.AddrPort `json:"address"`
	// AdminAddress is the TCP address of the counters and of the endpoints that cut
	// and heal balancers.
	AdminAddress netip.AddrPort `json:"admin-address"`
	Balancers    []Balancer     `json:"balancers" validate:"min=1"`
	// CallerPrefixes contain the inner addresses of all callers.
	CallerPrefixes []netip.Prefix `json:"caller-prefixes" validate:"min=1"`
	// Seed determines the choice of the balancer for each packet.
	Seed uint64 `json:"seed"`
	// PollInterval is the interval between two readiness requests to each balancer.
	PollInterval operator.Duration `json:"poll" validate:"min=1"`
}

// Balancer is one balancer to which the fabric can send packets.
type Balancer struct {
	Name             string         `json:"name"`
	AvailabilityZone string         `json:"availability-zone"`
	DataAddress      netip.AddrPort `json:"data-address"`
	AdminAddress     netip.AddrPort `json:"admin-address"`
}
