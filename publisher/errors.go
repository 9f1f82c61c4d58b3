package publisher

import "fmt"

// RecordError reports a value of the platform that is no valid record.
type RecordError struct {
	revision uint64
	cause    error
}

// Revision returns the revision of the record, or 0 if it could not be read.
func (e *RecordError) Revision() uint64 { return e.revision }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.cause }

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of revision %d is invalid: %v", e.revision, e.cause)
}

// RaceError reports a change that was not accepted, since another one came
// first.
type RaceError struct {
	base  uint64
	other Root
}

// Base returns the revision that the refused change was based on.
func (e *RaceError) Base() uint64 { return e.base }

// Other returns the root that is accepted in its place.
func (e *RaceError) Other() Root { return e.other }

func (e *RaceError) Error() string {
	o := e.other
	return fmt.Sprintf("conflict: based on revision %d, but revision %d is accepted (change %s by %s at %s)",
		e.base, o.Revision, o.ChangeID, o.Author, o.Time.UTC().Format("2006-01-02T15:04:05Z"))
}

// NotAcceptedError reports a change whose answer was lost and which provably did
// not take effect and never will; it is safe to try again.
type NotAcceptedError struct {
	changeID string
	cause    error
}

// ChangeID returns the id of the change.
func (e *NotAcceptedError) ChangeID() string { return e.changeID }

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.cause }

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("change %s did not take effect, it is safe to run again: %v", e.changeID, e.cause)
}

// OutcomeUnknownError reports a change that may or may not be accepted, since
// the platform could not be read after its answer was lost.
type OutcomeUnknownError struct {
	revision uint64
	changeID string
	cause    error
}

// Revision returns the revision that the change would have.
func (e *OutcomeUnknownError) Revision() uint64 { return e.revision }

// ChangeID returns the id of the change.
func (e *OutcomeUnknownError) ChangeID() string { return e.changeID }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: revision %d may be accepted as change %s: %v", e.revision, e.changeID, e.cause)
}

// NoRevisionError reports a revision that is not in the history.
type NoRevisionError struct {
	revision uint64
}

// Revision returns the revision that was asked for.
func (e *NoRevisionError) Revision() uint64 { return e.revision }

func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the history", e.revision)
}

// GapError reports a root whose patches don't lead to it from the revision held.
type GapError struct {
	held     uint64
	revision uint64
}

// Held returns the revision held.
func (e *GapError) Held() uint64 { return e.held }

// Revision returns the revision of the root.
func (e *GapError) Revision() uint64 { return e.revision }

func (e *GapError) Error() string {
	return fmt.Sprintf("no patches lead from revision %d to %d", e.held, e.revision)
}
