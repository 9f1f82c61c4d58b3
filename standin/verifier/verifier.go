// Package verifier holds the HTTP conventions that the emulated callers and targets
// share: the names of headers, and the response body that belongs to a request id,
// so that a caller can verify the body.
//
// # Usage
//
//	request.Header.Set(verifier.HeaderRequestID, id)
//	complete := bytes.Equal(body, verifier.Body(id, size))
package verifier

import "crypto/sha256"

// Sizes of response bodies, in bytes.
const (
	// MaxBodyBytes is the largest body that a request GET /item may ask for.
	MaxBodyBytes = 1 << 20
	// HoldBodyBytes is the size of the body that answers a request POST /hold.
	HoldBodyBytes = 64
)

// Names of headers of requests and responses.
const (
	// HeaderRequestID is a request header, the same for all attempts of a request.
	HeaderRequestID = "request-id"
	// HeaderAttempt is a request header: the number of the attempt, from 1, of a
	// short request, and 0 for a stream.
	HeaderAttempt = "attempt"
	// HeaderIdempotency is a request header of short requests, which holds the
	// request id again.
	HeaderIdempotency = "idempotency-key"
	// HeaderDeadline is a request header: the time left until the deadline, in
	// milliseconds.
	HeaderDeadline = "deadline-ms"
	// HeaderNotRun is a response header: "true" if the target refused the request
	// without running it.
	HeaderNotRun = "not-run"
	// HeaderTarget is a response header: the name of the target.
	HeaderTarget = "target"
	// HeaderZone is a response header: the availability zone of the target.
	HeaderZone = "availability-zone"
)

// Body returns size bytes that are derived from the request id alone: the body of
// the response to that request.
func Body(id string, size int) []byte {
	body := make([]byte, 0, size+sha256.Size)
	block := sha256.Sum256([]byte(id))
	for len(body) < size {
		body = append(body, block[:]...)
		block = sha256.Sum256(block[:])
	}
	return body[:size]
}
