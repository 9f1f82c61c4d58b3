// Package watcher watches the platform for accepted records of the operators' document
// and puts the latest one in force. It also accepts records from peers, and never
// replaces the record in force by an earlier one. If the platform itself returns to an
// earlier revision, Watcher writes the record in force to it again.
//
// Core decides which revision is in force; it has no clock and does no input or output.
// Watcher is the loop that queries the platform.
//
// # Usage
//
//	w := watcher.New(store)
//	w.OnRecord = func(r publisher.Record) { apply(r.Document) }
//	group.Go(func() error { return w.Run(ctx) })
//	...
//	w.Offer(recordFromPeer)
package watcher

import "trefoilspring.example/trefoilspring/publisher"

// maxChangeIDs is the number of latest revisions whose change IDs are remembered.
const maxChangeIDs = 256

// Verdict is the decision of Core on an offered revision.
type Verdict int

// The verdicts.
const (
	// Taken means that the revision is newer and now in force.
	Taken Verdict = iota
	// Same means that the revision is already in force.
	Same
	// Older means that the revision is lower than the one in force, and is ignored. A
	// platform that answers with stale data or was restored from a backup offers such
	// revisions.
	Older
	// Forked means that the revision in force has the same number but belongs to
	// another change. The offered revision is ignored.
	Forked
)

// String returns the name of the verdict in lower case.
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

// Counts holds the number of offers for each verdict.
type Counts struct {
	Taken  uint64 `json:"taken"`
	Same   uint64 `json:"same"`
	Older  uint64 `json:"older"`
	Forked uint64 `json:"forked"`
}

// Core decides which revision is in force. In its zero value none is. It is not safe for
// concurrent use.
type Core struct {
	revision uint64
	changeID string
	counts   Counts
	// changeIDs holds the change IDs of the latest revisions that came in force.
	changeIDs map[uint64]string
}

// Revision returns the revision in force, or 0 if there is none.
func (c *Core) Revision() uint64 { return c.revision }

// ChangeID returns the ID of the change that created the revision in force.
func (c *Core) ChangeID() string { return c.changeID }

// Counts returns the number of offers for each verdict.
func (c *Core) Counts() Counts { return c.counts }

// Offer decides on a revision from the platform or a peer. The revision comes in force if
// it is higher than the one in force.
func (c *Core) Offer(revision uint64, changeID string) Verdict {
	switch {
	case revision > c.revision:
		c.revision = revision
		c.changeID = changeID
		c.rememberChangeID(revision, changeID)
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

// rememberChangeID stores the change ID of a revision, and drops those of revisions that
// are maxChangeIDs or more behind it.
func (c *Core) rememberChangeID(revision uint64, changeID string) {
	if c.changeIDs == nil {
		c.changeIDs = map[uint64]string{}
	}
	c.changeIDs[revision] = changeID
	for known := range c.changeIDs {
		if known+maxChangeIDs <= revision {
			delete(c.changeIDs, known)
		}
	}
}

// PlanRecovery decides whether the platform has returned to an earlier revision, and how
// to recover from that, given the revision and the change ID of the platform's root. The
// revision of an absent root is 0.
//
// If this balancer remembers the revision with another change ID, operators published the
// change after the platform had gone back, and the change is renumbered. Otherwise the
// root is an earlier one, and the record in force is written again. A revision that is
// not remembered counts as an earlier one.
func (c *Core) PlanRecovery(revision uint64, changeID string) publisher.Recovery {
	if revision > c.revision || revision == c.revision && changeID == c.changeID {
		return publisher.KeepRoot
	}
	if known, ok := c.changeIDs[revision]; ok && known != changeID {
		return publisher.RenumberRoot
	}
	return publisher.RestoreRoot
}
