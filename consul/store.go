// Package consul talks to the platform's key-value service, which holds the
// operators' configuration and the leases.
//
// A Store is a set of function fields. New fills them with an adapter for
// Consul's published KV and session HTTP API; tests and embedders may replace
// any of them. All functions of a Store made by New may be called from several
// goroutines.
//
// # Usage
//
//	store := consul.New("http://127.0.0.1:8500")
//	entry, err := store.Get(ctx, "trefoilspring/document")
//	if err != nil {
//		return err
//	}
//	err = store.CompareAndSwap(ctx, "trefoilspring/document", entry.Index(), value)
//	var unknown *consul.UnknownOutcomeError
//	if errors.As(err, &unknown) {
//		// The write may have taken effect: read it back, never repeat it blindly.
//	}
//
// A watch is a loop of Watch calls, each of which waits for a change:
//
//	after := uint64(0)
//	for {
//		entry, err := store.Watch(ctx, key, after, consul.DefaultWait)
//		if err != nil {
//			return err
//		}
//		after = consul.NextIndex(after, entry.StoreIndex())
//	}
package consul

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// DefaultWait is how long one Watch call waits for a change.
const DefaultWait = 60 * time.Second

// Store is the platform as its callers see it. Errors are of the types of this
// package, matched by errors.As.
type Store struct {
	// Get reads one key. An absent key is an Entry that is not found, and no
	// error.
	Get func(ctx context.Context, key string) (Entry, error)
	// Watch waits until the key's index differs from after, or until wait is
	// over, and reads it. It returns at once when after is 0.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// CompareAndSwap writes value if the key's index is still index; index 0
	// writes only if the key is absent.
	CompareAndSwap func(ctx context.Context, key string, index uint64, value []byte) error
	// Delete removes the key if its index is still index.
	Delete func(ctx context.Context, key string, index uint64) error
	// CreateSession makes a session, which lapses unless renewed in its time to
	// live, and returns its id.
	CreateSession func(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewSession starts the session's time to live anew.
	RenewSession func(ctx context.Context, session string) error
	// DestroySession ends the session and releases what it holds.
	DestroySession func(ctx context.Context, session string) error
	// Acquire locks the key for the session and writes value; a key that another
	// session holds is a ConflictError.
	Acquire func(ctx context.Context, key, session string, value []byte) error
	// Release unlocks the key and writes value, if the session holds it.
	Release func(ctx context.Context, key, session string, value []byte) error
}

// NextIndex returns the index for the next Watch call, given the one of the
// call before and the one that was answered. An index that goes backwards, as
// after a restore, starts the watch anew.
func NextIndex(before, answered uint64) uint64 {
	if answered < before {
		return 0
	}
	// An index of 0 would not wait.
	return max(answered, 1)
}
