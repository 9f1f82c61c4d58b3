package publisher

import "fmt"

// RecordError reports a value, read from the platform or from a peer, that is not
// a valid root, snapshot or record.
type RecordError struct {
	revision uint64
	cause    error
}

// Revision returns the revision of the record, or 0 if it could not be decoded.
func (e *RecordError) Revision() uint64 { return e.revision }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.cause }

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of revision %d is invalid: %v", e.revision, e.cause)
}

// RaceError reports a change that was not accepted because another change was
// accepted since the revision that it is based on.
type RaceError struct {
	base     uint64
	accepted Root
}

// Base returns the revision that the refused change was based on.
func (e *RaceError) Base() uint64 { return e.base }

// Accepted returns the root of the revision that is accepted instead.
func (e *RaceError) Accepted() Root { return e.accepted }

func (e *RaceError) Error() string {
	a := e.accepted
	return fmt.Sprintf("conflict: based on revision %d, but revision %d is accepted (change %s by %s at %s)",
		e.base, a.Revision, a.ChangeID, a.Author, a.Time.UTC().Format("2006-01-02T15:04:05Z"))
}

// NotAcceptedError reports a change for whose write the platform's response was
// lost, but which provably did not take effect and never will. The change may
// safely be made again.
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

// OutcomeUnknownError reports a change that may or may not have been accepted: the
// response to its write was lost, and the platform could not be read afterwards.
type OutcomeUnknownError struct {
	revision uint64
	changeID string
	cause    error
}

// Revision returns the revision that the change has if it was accepted.
func (e *OutcomeUnknownError) Revision() uint64 { return e.revision }

// ChangeID returns the id of the change.
func (e *OutcomeUnknownError) ChangeID() string { return e.changeID }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: revision %d may be accepted as change %s: %v", e.revision, e.changeID, e.cause)
}

// NoRevisionError reports that the history does not contain a revision.
type NoRevisionError struct {
	revision uint64
}

// Revision returns the requested revision.
func (e *NoRevisionError) Revision() uint64 { return e.revision }

func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the history", e.revision)
}

// GapError reports that the patches of a root can't turn the held record into
// the root's revision: they don't reach back to the held revision, or the held
// record belongs to another line of changes.
type GapError struct {
	held     uint64
	revision uint64
}

// Held returns the revision of the record that the reader held.
func (e *GapError) Held() uint64 { return e.held }

// Revision returns the revision of the root.
func (e *GapError) Revision() uint64 { return e.revision }

func (e *GapError) Error() string {
	return fmt.Sprintf("no patches lead from revision %d to %d", e.held, e.revision)
}
