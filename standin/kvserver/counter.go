package kvserver

import "sync"

// CallCounts counts the API calls that the stand-in received and the bytes of their
// bodies. A blocking query counts as one call, however long it waits.
type CallCounts struct {
	// Gets counts reads that answer at once, and Watches counts blocking queries.
	Gets    uint64 `json:"gets"`
	Watches uint64 `json:"watches"`
	Writes  uint64 `json:"writes"`
	Deletes uint64 `json:"deletes"`
	// Sessions counts calls that create, renew or destroy a session.
	Sessions uint64 `json:"sessions"`
	// RateLimited counts calls that were refused by the switches read-rate and
	// write-rate.
	RateLimited uint64 `json:"rate-limited"`
	// LostAnswers counts writes that ran without a response, by the switch lose-answers.
	LostAnswers uint64 `json:"lost-answers"`
	BytesIn     uint64 `json:"bytes-in"`
	BytesOut    uint64 `json:"bytes-out"`
	// WatchBytesOut is the part of BytesOut that went to blocking queries.
	WatchBytesOut uint64 `json:"watch-bytes-out"`
}

// counter guards a CallCounts value for use from several goroutines.
type counter struct {
	mu    sync.Mutex
	calls CallCounts
}

// update calls change with the guarded value.
func (c *counter) update(change func(*CallCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.calls)
}

// snapshot returns a copy of the guarded value.
func (c *counter) snapshot() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}
