package responder

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of a target.
type Settings struct {
	Name             string         `json:"name" validate:"required"`
	Service          string         `json:"service" validate:"required"`
	AvailabilityZone string         `json:"availability-zone" validate:"required"`
	Address          netip.AddrPort `json:"address"`
	HealthAddress    netip.AddrPort `json:"health-address"`
	FabricAddress    netip.AddrPort `json:"fabric-address"`
	// ServiceAddresses are the inner addresses that the target answers on.
	ServiceAddresses []netip.AddrPort `json:"service-addresses" validate:"min=1"`
	// Slots is how many short requests run at once.
	Slots int `json:"slots" validate:"min=1"`
	// ShedQueue is how many short requests may wait for a slot.
	ShedQueue int `json:"shed-queue" validate:"min=0"`
	// WorkTime is how long a short request takes.
	WorkTime operator.Duration `json:"work-time,omitzero" validate:"min=0"`
	// Cold is how long the target is cold after its start.
	Cold operator.Duration `json:"cold" validate:"min=0"`
	// ColdFlows is how many open flows the target bears when it starts; over
	// Cold this grows linearly to 100 times as many.
	ColdFlows int64 `json:"cold-flows" validate:"min=0"`
	// Collapse is how long the target is silent after it got more.
	Collapse operator.Duration `json:"collapse" validate:"min=0"`
	Journal  string            `json:"journal" validate:"required"`
}
