package consul

import (
	"fmt"
	"time"
)

// ConflictError reports that a write did not take effect, since the key has
// changed or another session holds it.
type ConflictError struct {
	key   string
	index uint64
}

// NewConflictError returns the error of a write to key that expected index.
func NewConflictError(key string, index uint64) *ConflictError {
	return &ConflictError{key: key, index: index}
}

// Key returns the key of the write.
func (e *ConflictError) Key() string { return e.key }

// Index returns the index that the write expected.
func (e *ConflictError) Index() uint64 { return e.index }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s has changed since index %d", e.key, e.index)
}

// UnavailableError reports a call that was not run.
type UnavailableError struct {
	operation string
	key       string
	cause     error
}

// NewUnavailableError returns the error of an operation on key that was not run.
func NewUnavailableError(operation, key string, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, key: key, cause: cause}
}

// Operation returns the name of the call.
func (e *UnavailableError) Operation() string { return e.operation }

// Key returns the key of the call.
func (e *UnavailableError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s of %s was not run: %v", e.operation, e.key, e.cause)
}

// UnknownOutcomeError reports a write whose answer was lost: it may have taken
// effect.
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

// Operation returns the name of the call.
func (e *UnknownOutcomeError) Operation() string { return e.operation }

// Key returns the key of the call.
func (e *UnknownOutcomeError) Key() string { return e.key }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform: %s of %s may have taken effect: %v", e.operation, e.key, e.cause)
}

// RateLimitedError reports a call that was not run, since the platform's rate
// limit was reached.
type RateLimitedError struct {
	operation  string
	key        string
	retryAfter time.Duration
}

// Operation returns the name of the call.
func (e *RateLimitedError) Operation() string { return e.operation }

// Key returns the key of the call.
func (e *RateLimitedError) Key() string { return e.key }

// RetryAfter returns how long to wait; it is 0 if the platform did not say.
func (e *RateLimitedError) RetryAfter() time.Duration { return e.retryAfter }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: %s of %s was rate limited", e.operation, e.key)
}

// LapsedError reports a session that has ended.
type LapsedError struct {
	session string
}

// NewLapsedError returns the error of a session that has ended.
func NewLapsedError(session string) *LapsedError { return &LapsedError{session: session} }

// Session returns the id of the session.
func (e *LapsedError) Session() string { return e.session }

func (e *LapsedError) Error() string {
	return fmt.Sprintf("platform: session %q has lapsed", e.session)
}

// AnswerError reports an answer that is not of the published form.
type AnswerError struct {
	operation string
	key       string
	status    int
	cause     error
}

// Operation returns the name of the call.
func (e *AnswerError) Operation() string { return e.operation }

// Key returns the key of the call.
func (e *AnswerError) Key() string { return e.key }

// Status returns the HTTP status of the answer.
func (e *AnswerError) Status() int { return e.status }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.cause }

func (e *AnswerError) Error() string {
	return fmt.Sprintf("platform: %s of %s: bad answer, status %d: %v", e.operation, e.key, e.status, e.cause)
}

// ValueSizeError reports a value larger than MaxValueBytes; nothing was sent.
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
