package sprayer

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of the fabric.
type Settings struct {
	// Address is where callers and targets send their packets.
	Address      netip.AddrPort `json:"address"`
	AdminAddress netip.AddrPort `json:"admin-address"`
	Balancers    []Balancer     `json:"balancers" validate:"min=1"`
	// CallerPrefixes are the inner addresses of callers.
	CallerPrefixes []netip.Prefix    `json:"caller-prefixes" validate:"min=1"`
	Seed           uint64            `json:"seed"`
	Poll           operator.Duration `json:"poll" validate:"min=1"`
}

// Balancer is one balancer that the fabric knows.
type Balancer struct {
	Name             string         `json:"name"`
	AvailabilityZone string         `json:"availability-zone"`
	DataAddress      netip.AddrPort `json:"data-address"`
	AdminAddress     netip.AddrPort `json:"admin-address"`
}
