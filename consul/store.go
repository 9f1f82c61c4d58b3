// Package consul is a client of the platform's key-value service, which stores the
// operators' configuration and the leases.
//
// A Store is a struct of functions. New returns one whose functions use the
// key-value and session endpoints of Consul's published HTTP API. Tests and
// programs that embed this package may replace any of the functions. Those that
// New sets may be called from several goroutines.
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
//		// The write may have taken effect: read the key, never repeat the write blindly.
//	}
//
// To follow the changes of a key, call Watch in a loop. Each call waits for a
// change:
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

// MaxValueBytes is the largest size of a value that the platform accepts.
const MaxValueBytes = 1 << 20

// DefaultWait is the usual time for which one Watch call waits for a change.
const DefaultWait = 60 * time.Second

// Store gives access to the platform's key-value service. Its functions return
// the error types of this package, to be matched with errors.As.
type Store struct {
	// Get reads one key, with Consul's consistent mode. For an absent key it returns
	// an Entry whose Found method returns false, and no error.
	Get func(ctx context.Context, key string) (Entry, error)
	// Watch waits until the index that the platform reports for the key, which is
	// the StoreIndex of its Entry, differs from after, or until wait has passed. It
	// then returns the entry. It does not wait if after is 0.
	Watch func(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// CompareAndSwap writes value if the key's index is index, or for index 0 if the
	// key is absent. Otherwise its error is a ConflictError.
	CompareAndSwap func(ctx context.Context, key string, index uint64, value []byte) error
	// Delete deletes the key if its index is index. Otherwise its error is a
	// ConflictError.
	Delete func(ctx context.Context, key string, index uint64) error
	// CreateSession creates a session and returns its id. The session lapses, and
	// releases its keys, unless it is renewed within ttl.
	CreateSession func(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewSession restarts the session's time to live. Its error is a
	// SessionLapsedError if the session no longer exists.
	RenewSession func(ctx context.Context, session string) error
	// DestroySession ends the session and releases the keys that it holds.
	DestroySession func(ctx context.Context, session string) error
	// Acquire locks the key for the session and writes value. Its error is a
	// ConflictError if another session holds the key, and a SessionLapsedError if the
	// session no longer exists.
	Acquire func(ctx context.Context, key, session string, value []byte) error
	// Release unlocks the key and writes value if the session holds the key.
	// Otherwise its error is a ConflictError.
	Release func(ctx context.Context, key, session string, value []byte) error
}

// NextIndex returns the index to pass to the next Watch call. previous is the index
// that was passed to the last call, and current is the StoreIndex of the entry it
// returned. If the index has decreased, as after the platform was restored from a
// backup, NextIndex returns 0, so that the next call does not wait.
func NextIndex(previous, current uint64) uint64 {
	if current < previous {
		return 0
	}
	// A Watch call with index 0 would not wait.
	return max(current, 1)
}
