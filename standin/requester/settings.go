package requester

import (
	"net/netip"

	"trefoilspring.example/trefoilspring/operator"
)

// Settings are the settings of a caller process.
type Settings struct {
	// Name is the prefix of the request ids; it is unique among caller processes.
	Name string `json:"name" validate:"required"`
	// FabricAddress is the outer address of the fabric, to which packets go.
	FabricAddress netip.AddrPort `json:"fabric-address"`
	// SourcePrefixes are the inner source addresses of the flows. A flow uses the
	// first prefix whose address family is that of the service address.
	SourcePrefixes []netip.Prefix `json:"source-prefixes" validate:"min=1"`
	Loads          []Load         `json:"loads" validate:"min=1,dive"`
	// Duration is how long the loads are sent.
	Duration operator.Duration `json:"duration" validate:"min=1"`
	// Deadline is how long an attempt of a short request may take; 0 means 4 s.
	Deadline operator.Duration `json:"deadline,omitzero" validate:"min=0"`
	// Seed determines which short requests are not idempotent.
	Seed uint64 `json:"seed"`
	// Journal is the path of the journal file.
	Journal string `json:"journal" validate:"required"`
}

// Load is the load that a caller process sends to one service.
type Load struct {
	Service string `json:"service" validate:"required"`
	// Address is the service address, an inner address.
	Address netip.AddrPort `json:"address"`
	// Streams is how many long-lived streams are kept open.
	Streams int `json:"streams" validate:"min=0"`
	// Rate is how many short requests are started per second; 0 sends none.
	Rate float64 `json:"rate" validate:"min=0"`
	// NonIdempotentShare is the share of short requests that are not idempotent.
	NonIdempotentShare float64 `json:"non-idempotent-share" validate:"min=0,max=1"`
}
