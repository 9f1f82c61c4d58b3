// Package watcher takes up accepted records of the operators' document, from the
// platform and from peers, and never goes back to an earlier one.
//
// Core is the decision which revision is in force; it has no clock and does no
// input or output. Watcher is the loop around it.
//
// # Usage
//
//	w := watcher.New(store)
//	w.OnDocument = func(r publisher.Record) { apply(r.Document) }
//	group.Go(func() error { return w.Run(ctx) })
//	...
//	w.Tell(recordFromPeer)
package watcher

// Verdict is what the core decided on an offered revision.
type Verdict int

// The verdicts.
const (
	// Taken means that the revision is newer and now in force.
	Taken Verdict = iota
	// Same means that the revision is already in force.
	Same
	// Older means that the revision is behind the one in force, as from a stale
	// or restored platform; it is ignored.
	Older
	// Forked means that another change has the revision in force; it is ignored.
	Forked
)

// String names the verdict.
func (v Verdict) String() string {
	switch v {
	case Taken:
		return "taken"
	case Same:
		return "same"
	case Older:
		return "older"
	case Forked:
		return "forked"
	}
	return "unknown"
}

// Counts says how many offers met each verdict.
type Counts struct {
	Taken  uint64 `json:"taken"`
	Same   uint64 `json:"same"`
	Older  uint64 `json:"older"`
	Forked uint64 `json:"forked"`
}

// Core decides which revision is in force. The zero value has none. It is for
// one goroutine.
type Core struct {
	revision uint64
	changeID string
	counts   Counts
}

// Revision returns the revision in force; 0 means none.
func (c *Core) Revision() uint64 { return c.revision }

// ChangeID returns the id of the change that made the revision in force.
func (c *Core) ChangeID() string { return c.changeID }

// Counts returns the number of offers for each verdict.
func (c *Core) Counts() Counts { return c.counts }

// Offer decides on a revision that was read from the platform or told by a peer.
func (c *Core) Offer(revision uint64, changeID string) Verdict {
	switch {
	case revision > c.revision:
		c.revision = revision
		c.changeID = changeID
		c.counts.Taken++
		return Taken
	case revision < c.revision:
		c.counts.Older++
		return Older
	case changeID != c.changeID:
		c.counts.Forked++
		return Forked
	}
	c.counts.Same++
	return Same
}
