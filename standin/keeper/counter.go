package keeper

import "sync"

// Calls counts what the stand-in served. A waiting watch counts as one call.
type Calls struct {
	Gets        uint64 `json:"gets"`
	Watches     uint64 `json:"watches"`
	Writes      uint64 `json:"writes"`
	Deletes     uint64 `json:"deletes"`
	Sessions    uint64 `json:"sessions"`
	RateLimited uint64 `json:"rate-limited"`
	Lost        uint64 `json:"lost-answers"`
	BytesIn     uint64 `json:"bytes-in"`
	BytesOut    uint64 `json:"bytes-out"`
	// WatchBytesOut is the part of BytesOut that answered watches.
	WatchBytesOut uint64 `json:"watch-bytes-out"`
}

type counter struct {
	mu    sync.Mutex
	calls Calls
}

func (c *counter) add(change func(*Calls)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.calls)
}

func (c *counter) read() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}
