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

import "trefoilspring.example/trefoilspring/publisher"

// ancestryLength is how many revisions are remembered.
const ancestryLength = 256

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
	// ancestry holds the change ids of the latest revisions that were in force.
	ancestry map[uint64]string
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
		c.remember(revision, changeID)
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

func (c *Core) remember(revision uint64, changeID string) {
	if c.ancestry == nil {
		c.ancestry = map[uint64]string{}
	}
	c.ancestry[revision] = changeID
	for known := range c.ancestry {
		if known+ancestryLength <= revision {
			delete(c.ancestry, known)
		}
	}
}

// Recover decides what to do about the platform's root, whose revision is 0 if
// it is absent. A revision that was in force here before is an old one; one with
// another change id than was in force here was accepted after the platform went
// back. What is not remembered is taken for old.
func (c *Core) Recover(revision uint64, changeID string) publisher.Recovery {
	if revision > c.revision || revision == c.revision && changeID == c.changeID {
		return publisher.LeaveRoot
	}
	if known, ok := c.ancestry[revision]; ok && known != changeID {
		return publisher.Renumber
	}
	return publisher.PutBack
}
