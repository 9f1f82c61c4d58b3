package journal

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// KindStream stays open until the caller ends it.
	KindStream Kind = "stream"
	// KindIdempotent is a short idempotent request, which callers may retry.
	KindIdempotent Kind = "item"
	// KindNonIdempotent is a short request that is not idempotent. Callers retry it
	// only if it was refused without having run.
	KindNonIdempotent Kind = "hold"
)

// Outcome is how an attempt ended for its caller.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered is a complete or partial response, or a stream that the caller ended
	// itself.
	Answered Outcome = "answered"
	// RefusedNotRun is a refusal that states that the request did not run.
	RefusedNotRun Outcome = "refused-not-run"
	// Unanswered is a connection on which the caller received nothing, or an error
	// response.
	Unanswered Outcome = "unanswered"
	// Broken is a connection that failed after the caller had received a packet
	// from the target.
	Broken Outcome = "broken"
)

// Request is one attempt of a caller; the attempts of a request share its ID.
type Request struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	// Final is true for the last attempt of a request.
	Final   bool    `json:"final"`
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
	// Complete is false if a part of the response is missing or wrong.
	Complete bool `json:"whole"`
	// Target is the target that the connection led to, and Zone its availability
	// zone. Both are empty if the connection was not set up.
	Target string `json:"target,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Flow is the source address and port of the connection.
	Flow string `json:"flow"`
	// Detail is the text of the error, if the attempt failed.
	Detail string `json:"detail,omitempty"`
	// StartUnixMs is the beginning of the attempt, LastReceivedUnixMs the time of
	// the last packet from the target (0 if there was none), and EndUnixMs the end
	// of the attempt, in milliseconds since 1970.
	StartUnixMs        int64 `json:"start-unix-ms"`
	LastReceivedUnixMs int64 `json:"heard-unix-ms,omitempty"`
	EndUnixMs          int64 `json:"end-unix-ms"`
	// LatencyUs is the duration of the attempt in microseconds; 0 for a stream.
	LatencyUs int64 `json:"latency-us"`
}

// Run is one attempt that a target began to process. UnixMs is the time of its
// beginning, in milliseconds since 1970.
type Run struct {
	Target  string `json:"target"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Kind    Kind   `json:"kind"`
	Flow    string `json:"flow"`
	UnixMs  int64  `json:"unix-ms"`
}

// Arrival is the first packet of a flow that reached a target. UnixMs is its time,
// in milliseconds since 1970.
type Arrival struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	Flow   string `json:"flow"`
	UnixMs int64  `json:"unix-ms"`
}

// Packets sums the packets that reached a target since its previous Packets entry.
type Packets struct {
	Target  string `json:"target"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Count is the number of packets for the target's own service, and WrongService
	// the number of packets for another one.
	Count        int64 `json:"count"`
	WrongService int64 `json:"wrong-service"`
	// FirstUnixMs and LastUnixMs are the times of the first and the last packet of
	// Count, in milliseconds since 1970; 0 if there was none.
	FirstUnixMs int64 `json:"first-unix-ms"`
	LastUnixMs  int64 `json:"last-unix-ms"`
}

// Collapse is the failure of a target that got more flows than it could serve while
// it was cold. OpenFlows is the number of its open flows at that time; UnixMs is the
// time, in milliseconds since 1970.
type Collapse struct {
	Target    string `json:"target"`
	Zone      string `json:"zone"`
	OpenFlows int64  `json:"open-flows"`
	UnixMs    int64  `json:"unix-ms"`
}
