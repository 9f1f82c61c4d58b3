package main

import (
	"github.com/cockroachdb/errors"

	"trefoilspring.example/trefoilspring/loader"
	"trefoilspring.example/trefoilspring/operator"
	"trefoilspring.example/trefoilspring/platform"
	"trefoilspring.example/trefoilspring/publisher"
	"trefoilspring.example/trefoilspring/server"
)

// serveExitHelp lists the exit codes in the help of the commands that run, check
// or query a balancer.
const serveExitHelp = `Exit codes: 0 done, 1 failed, 2 usage or invalid settings.`

// exitHelp lists the exit codes in the help of the commands that check, change or
// list the configuration.
const exitHelp = `Exit codes: 0 done or nothing to do, 1 failed and not in force, 2 usage or
invalid input, 3 conflict with another change, 4 outcome unknown, 5 refused by
the guard against large changes.`

// codedError is an error with an exit code.
type codedError struct {
	code  int
	cause error
}

// ExitCode returns the exit code of the process.
func (e *codedError) ExitCode() int { return e.code }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.cause }

func (e *codedError) Error() string { return e.cause.Error() }

// withExitCode wraps err, if it isn't nil, in a codedError with the exit code for
// its type.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: exitCodeFor(err), cause: err}
}

// exitCodeFor returns the exit code for the type of err.
func exitCodeFor(err error) int {
	var conflict *publisher.RaceError
	var unknown *publisher.OutcomeUnknownError
	var largeChange *operator.LargeChangeError
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &largeChange):
		return exitRefused
	case isInvalidInput(err):
		return exitUsage
	}
	return exitFailed
}

// isInvalidInput reports whether err is due to invalid input: a file of the
// folder, a settings file, or a revision number. A RecordError is not, although
// it may wrap the same errors: there, the value stored in the platform is invalid.
func isInvalidInput(err error) bool {
	var file *operator.FileError
	var document *operator.DocumentError
	var syntax *loader.SyntaxError
	var noRevision *publisher.NoRevisionError
	var value *loader.ValueError
	var settings *server.SettingsError
	var record *publisher.RecordError
	var platformSettings *platform.SettingsError
	if errors.As(err, &record) {
		return false
	}
	if errors.As(err, &value) || errors.As(err, &settings) || errors.As(err, &platformSettings) {
		return true
	}
	return errors.As(err, &file) || errors.As(err, &document) || errors.As(err, &syntax) || errors.As(err, &noRevision)
}
