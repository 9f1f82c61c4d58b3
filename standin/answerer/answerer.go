// Package answerer holds what callers and targets agree on: the names of headers
// and the answer that belongs to a request.
//
// # Usage
//
//	request.Header.Set(answerer.HeaderRequestID, id)
//	whole := bytes.Equal(answer, answerer.Body(id, size))
package answerer

import "crypto/sha256"

// Sizes of answers, in bytes.
const (
	MaxBodyBytes  = 1 << 20
	HoldBodyBytes = 64
)

// Names of headers.
const (
	HeaderRequestID   = "request-id"
	HeaderAttempt     = "attempt"
	HeaderIdempotency = "idempotency-key"
	// HeaderDeadline is the time that is left, in milliseconds.
	HeaderDeadline = "deadline-ms"
	// HeaderNotRun is "true" on a refusal of a request that did not run.
	HeaderNotRun = "not-run"
	HeaderTarget = "target"
	HeaderZone   = "availability-zone"
)

// Body returns the answer to the request id, derived from the id alone.
func Body(id string, size int) []byte {
	body := make([]byte, 0, size+sha256.Size)
	block := sha256.Sum256([]byte(id))
	for len(body) < size {
		body = append(body, block[:]...)
		block = sha256.Sum256(block[:])
	}
	return body[:size]
}
