package journal

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// KindStream stays open until the caller ends it.
	KindStream Kind = "stream"
	// KindItem is a short idempotent request.
	KindItem Kind = "item"
	// KindHold is a short request that is not idempotent.
	KindHold Kind = "hold"
)

// Outcome is what a caller saw of an attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered is an answer, or a stream that the caller ended itself.
	Answered Outcome = "answered"
	// RefusedNotRun is a refusal which says that the request did not run.
	RefusedNotRun Outcome = "refused-not-run"
	// Unanswered is a connection that never heard anything, or an error answer.
	Unanswered Outcome = "unanswered"
	// Broken is a connection that failed after it had heard something.
	Broken Outcome = "broken"
)

// Request is one attempt of a caller; the attempts of a request share its ID.
type Request struct {
	ID      string  `json:"id"`
	Attempt int     `json:"attempt"`
	Final   bool    `json:"final"`
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
	// Whole is false if an answer arrived that was not the whole one.
	Whole bool `json:"whole"`
	// Target and Zone name the far end of the connection, if it was set up.
	Target string `json:"target,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Flow   string `json:"flow"`
	Detail string `json:"detail,omitempty"`
	// StartUnixMs, HeardUnixMs (the last sign of the target) and EndUnixMs are
	// milliseconds since 1970.
	StartUnixMs int64 `json:"start-unix-ms"`
	HeardUnixMs int64 `json:"heard-unix-ms,omitempty"`
	EndUnixMs   int64 `json:"end-unix-ms"`
	LatencyUs   int64 `json:"latency-us"`
}

// Run is one request that a target began to run.
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

// Arrival is the first packet of a flow that reached a target.
type Arrival struct {
	Target string `json:"target"`
	Zone   string `json:"zone"`
	Flow   string `json:"flow"`
	UnixMs int64  `json:"unix-ms"`
}

// Packets sums the packets that reached a target since its last entry.
type Packets struct {
	Target       string `json:"target"`
	Zone         string `json:"zone"`
	Service      string `json:"service"`
	Count        int64  `json:"count"`
	WrongService int64  `json:"wrong-service"`
	FirstUnixMs  int64  `json:"first-unix-ms"`
	LastUnixMs   int64  `json:"last-unix-ms"`
}

// Collapse is a target that got more flows than it could bear while cold.
type Collapse struct {
	Target    string `json:"target"`
	Zone      string `json:"zone"`
	OpenFlows int64  `json:"open-flows"`
	UnixMs    int64  `json:"unix-ms"`
}
