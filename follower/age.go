package follower

import (
	"time"

	"trefoilspring.example/trefoilspring/replicator"
)

// clockSlack allows for the granularity of the clocks by which a source and the one that
// queries it measure a wait.
const clockSlack = 50 * time.Millisecond

// StoreAnswerAge returns the age that an answer of the store to a watch or a listing may
// have when it arrives. elapsed is the time since the query was sent, and wait how long the
// store was to wait for a change.
//
// The store says nothing about when it answered, and an answer may be held up on its way or
// by a process that stands still. An answer without changes left the store no sooner than
// the wait had passed; any other may have left it at once.
func StoreAnswerAge(u replicator.Update, elapsed, wait time.Duration) time.Duration {
	if !u.Full && len(u.Items) == 0 && elapsed >= wait-clockSlack {
		return max(elapsed-wait, 0)
	}
	return elapsed
}

// PeerAnswerAge returns the age that an answer of a peer may have when it arrives, beyond
// the age that it states. elapsed is the time since the query was sent, and waited the time
// from the query's arrival at the peer until the peer determined the stated age.
func PeerAnswerAge(elapsed, waited time.Duration) time.Duration { return max(elapsed-waited, 0) }
