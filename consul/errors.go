package consul

import (
	"fmt"
	"time"
)

// ConflictError reports a write that did not take effect. For CompareAndSwap and
// Delete, the key has changed. For Acquire, another session holds the key. For
// Release, the session does not hold the key.
type ConflictError struct {
	key   string
	index uint64
}

// NewConflictError returns the error of a write to key that required the key's
// index to be index.
func NewConflictError(key string, index uint64) *ConflictError {
	return &ConflictError{key: key, index: index}
}

// Key returns the key of the write.
func (e *ConflictError) Key() string { return e.key }

// Index returns the index that the write required. It is 0 for Acquire and Release.
func (e *ConflictError) Index() uint64 { return e.index }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s has changed since index %d or is held by another session", e.key, e.index)
}

// UnavailableError reports an operation that failed without an effect: a read that
// got no usable response, or a write that could not be sent.
type UnavailableError struct {
	operation string
	key       string
	cause     error
}

// NewUnavailableError returns the error of an operation on key that failed without
// an effect.
func NewUnavailableError(operation, key string, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, key: key, cause: cause}
}

// Operation returns the name of the operation.
func (e *UnavailableError) Operation() string { return e.operation }

// Key returns the key, session id or session name of the operation.
func (e *UnavailableError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s of %s was not run: %v", e.operation, e.key, e.cause)
}

// UnknownOutcomeError reports a write that may have taken effect, because the
// response was lost or does not say.
type UnknownOutcomeError struct {
	operation string
	key       string
	cause     error
}

// NewUnknownOutcomeError returns the error of a write to key that may have taken
// effect.
func NewUnknownOutcomeError(operation, key string, cause error) *UnknownOutcomeError {
	return &UnknownOutcomeError{operation: operation, key: key, cause: cause}
}

// Operation returns the name of the operation.
func (e *UnknownOutcomeError) Operation() string { return e.operation }

// Key returns the key, session id or session name of the operation.
func (e *UnknownOutcomeError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform: %s of %s may have taken effect: %v", e.operation, e.key, e.cause)
}

// RateLimitedError reports an operation that the platform did not run because its
// rate limit was reached.
type RateLimitedError struct {
	operation  string
	key        string
	retryAfter time.Duration
}

// Operation returns the name of the operation.
func (e *RateLimitedError) Operation() string { return e.operation }

// Key returns the key, session id or session name of the operation.
func (e *RateLimitedError) Key() string { return e.key }

// RetryAfter returns how long to wait before the next attempt, in whole seconds. It
// is 0 if the response did not say.
func (e *RateLimitedError) RetryAfter() time.Duration { return e.retryAfter }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: %s of %s was rate limited", e.operation, e.key)
}

// SessionLapsedError reports that a session no longer exists: it was not renewed in
// time, or was destroyed.
type SessionLapsedError struct {
	session string
}

// NewSessionLapsedError returns the error of an operation by a session that no longer
// exists.
func NewSessionLapsedError(session string) *SessionLapsedError {
	return &SessionLapsedError{session: session}
}

// Session returns the id of the session.
func (e *SessionLapsedError) Session() string { return e.session }

func (e *SessionLapsedError) Error() string {
	return fmt.Sprintf("platform: session %q has lapsed", e.session)
}

// ResponseError reports a response that is not as Consul's API documents it.
type ResponseError struct {
	operation string
	key       string
	status    int
	cause     error
}

// Operation returns the name of the operation.
func (e *ResponseError) Operation() string { return e.operation }

// Key returns the key, session id or session name of the operation.
func (e *ResponseError) Key() string { return e.key }

// Status returns the HTTP status of the response.
func (e *ResponseError) Status() int { return e.status }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.cause }

func (e *ResponseError) Error() string {
	return fmt.Sprintf("platform: %s of %s: unexpected response with status %d: %v", e.operation, e.key, e.status, e.cause)
}

// ValueSizeError reports a write that was not sent because its value is larger
// than MaxValueBytes.
type ValueSizeError struct {
	key  string
	size int
}

// Key returns the key of the write.
func (e *ValueSizeError) Key() string { return e.key }

// Size returns the size of the value in bytes.
func (e *ValueSizeError) Size() int { return e.size }

func (e *ValueSizeError) Error() string {
	return fmt.Sprintf("platform: the value of %s has %d bytes, more than %d", e.key, e.size, MaxValueBytes)
}
