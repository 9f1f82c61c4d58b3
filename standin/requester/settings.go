package requester

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of a caller process.
type Settings struct {
	// Name begins the id of each request and is unique among caller processes.
	Name          string         `json:"name" validate:"required"`
	FabricAddress netip.AddrPort `json:"fabric-address"`
	// SourcePrefixes are the inner addresses of the virtual callers; the first
	// of the family of a service address is used.
	SourcePrefixes []netip.Prefix    `json:"source-prefixes" validate:"min=1"`
	Loads          []Load            `json:"loads" validate:"min=1,dive"`
	Duration       operator.Duration `json:"duration" validate:"min=1"`
	// Deadline is how long an attempt of a short request may take; 0 stands for 4 s.
	Deadline operator.Duration `json:"deadline,omitzero" validate:"min=0"`
	Seed     uint64            `json:"seed"`
	Journal  string            `json:"journal" validate:"required"`
}

// Load is what callers ask of one service.
type Load struct {
	Service string         `json:"service" validate:"required"`
	Address netip.AddrPort `json:"address"`
	// Streams is how many long-lived streams are kept open.
	Streams int `json:"streams" validate:"min=0"`
	// Rate is how many short requests are begun in a second.
	Rate float64 `json:"rate" validate:"min=0"`
	// NonIdempotentShare is the share of short requests that are not idempotent.
	NonIdempotentShare float64 `json:"non-idempotent-share" validate:"min=0,max=1"`
}
