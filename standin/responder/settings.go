package responder

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of an emulated target.
type Settings struct {
	Name             string `json:"name" validate:"required"`
	Service          string `json:"service" validate:"required"`
	AvailabilityZone string `json:"availability-zone" validate:"required"`
	// Address is the outer UDP address, to which balancers forward packets.
	Address netip.AddrPort `json:"address"`
	// HealthAddress is the TCP address of the health endpoint and its switches.
	HealthAddress netip.AddrPort `json:"health-address"`
	// FabricAddress is the outer address of the fabric, to which replies go.
	FabricAddress netip.AddrPort `json:"fabric-address"`
	// ServiceAddresses are the inner addresses on which the target answers.
	ServiceAddresses []netip.AddrPort `json:"service-addresses" validate:"min=1"`
	// Slots is how many short requests run concurrently.
	Slots int `json:"slots" validate:"min=1"`
	// MaxWaiting is how many short requests may wait for a slot; more are refused.
	MaxWaiting int `json:"shed-queue" validate:"min=0"`
	// WorkTime is how long a short request occupies its slot.
	WorkTime operator.Duration `json:"work-time,omitzero" validate:"min=0"`
	// ColdStartDuration is the duration of the cold start.
	ColdStartDuration operator.Duration `json:"cold" validate:"min=0"`
	// ColdStartFlowLimit is the limit of open flows when the cold start begins. The
	// limit grows linearly over ColdStartDuration to 100 times ColdStartFlowLimit;
	// after that there is none.
	ColdStartFlowLimit int64 `json:"cold-flows" validate:"min=0"`
	// CollapseDuration is how long the target drops all packets after a flow has
	// exceeded the limit of the cold start.
	CollapseDuration operator.Duration `json:"collapse" validate:"min=0"`
	// Journal is the path of the journal file.
	Journal string `json:"journal" validate:"required"`
}
