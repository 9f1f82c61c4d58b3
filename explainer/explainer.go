// Package explainer holds what balancers say of themselves and of single flows when
// they are asked, whichever fabric they run on, and reads the questions.
//
// # Usage
//
//	mux.HandleFunc("GET "+explainer.StatusPath, explainer.Serve(func(*http.Request) (any, error) {
//		return status(), nil
//	}))
//	mux.HandleFunc("GET "+explainer.FlowPath, explainer.Serve(func(r *http.Request) (any, error) {
//		flow, err := explainer.ReadFlow(r.URL.Query())
//		if err != nil {
//			return nil, err
//		}
//		return explain(flow), nil
//	}))
//
// Answers are JSON. A question that can't be read is answered with status 400 and
// the error's text.
package explainer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
)

// Paths at the address where a balancer answers.
const (
	StatusPath   = "/status"
	FlowPath     = "/explain"
	CountersPath = "/debug/vars"
)

// Parameters of a question about a flow.
const (
	serviceName  = "service"
	sourceName   = "source"
	protocolName = "protocol"
)

// Status is what a balancer says of itself.
type Status struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	// Active is the revision or version of the configuration in force, Prepared the
	// newest revision that the balancer knows.
	Active   uint64         `json:"active-revision"`
	Prepared uint64         `json:"prepared-revision"`
	Members  []MemberStatus `json:"members"`
	// TrackedBuckets and Records are of balancers that keep flows in buckets; where
	// packets carry a token, Records are the flows of the last seconds.
	TrackedBuckets int `json:"tracked-buckets"`
	Records        int `json:"records"`
	// View is of balancers that follow the users' platform.
	View *View `json:"view,omitempty"`
}

// MemberStatus is another balancer as this one sees it.
type MemberStatus struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Suspect bool   `json:"suspect"`
	Active  uint64 `json:"active-revision"`
}

// View is what a balancer believes of the store and of targets.
type View struct {
	// Source is whom it learned from last, AgeMs how many milliseconds ago the store
	// confirmed what it knows.
	Source string `json:"source"`
	AgeMs  int64  `json:"age-ms"`
	// Targets counts the targets that it knows; the others are names of those that
	// take no new flows if it can be avoided.
	Targets      int      `json:"targets"`
	Unreachable  []string `json:"unreachable-targets"`
	SuspectZones []string `json:"suspect-zones"`
	ZonesOut     []string `json:"zones-out"`
	// Crowded are services of which some flows leave the balancer's zone, since its
	// targets have no room for all that its callers ask for.
	Crowded []string `json:"crowded-services"`
}

// Explanation is what a balancer says of one flow.
type Explanation struct {
	Balancer string `json:"balancer"`
	Revision uint64 `json:"active-revision"`
	// Service is empty where no service has the address.
	Service string `json:"service"`
	Bucket  int    `json:"bucket"`
	// NoBuckets says that the balancer keeps no buckets, so that Bucket and what
	// follows from it mean nothing.
	NoBuckets bool `json:"no-buckets,omitempty"`
	Tracked   bool `json:"tracked"`
	// Recorded says that this balancer holds a record of the flow.
	Recorded bool `json:"recorded"`
	// Base and Current are targets; a bucket that isn't tracked has Current only.
	Base     string `json:"base-target,omitempty"`
	Current  string `json:"current-target,omitempty"`
	Resolver string `json:"resolver,omitempty"`
	// Opening is what happens to the first packet of the flow, Established to a
	// later one.
	Opening     Outcome `json:"opening"`
	Established Outcome `json:"established"`
}

// Outcome is what a balancer would do with one packet.
type Outcome struct {
	Action  string         `json:"action"`
	Target  string         `json:"target,omitempty"`
	Address netip.AddrPort `json:"address,omitzero"`
	// Member is the balancer that the packet is handed on to.
	Member string `json:"member,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Why says in words which state led there.
	Why string `json:"why"`
}

// Flow is the flow that a question is about.
type Flow struct {
	// Service is the address that the caller sends to, Source that of the caller.
	Service, Source netip.AddrPort
	TCP             bool
}

// ParameterError reports a question that can't be read.
type ParameterError struct {
	name, value string
	cause       error
}

// Name returns the name of the parameter.
func (e *ParameterError) Name() string { return e.name }

// Unwrap returns the cause, if there is one.
func (e *ParameterError) Unwrap() error { return e.cause }

func (e *ParameterError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("reading the parameter %s: %v", e.name, e.cause)
	}
	return fmt.Sprintf("reading the parameter %s: unknown value %q", e.name, e.value)
}

// ReadFlow reads the parameters of a question about a flow. An error is a
// ParameterError.
func ReadFlow(values url.Values) (Flow, error) {
	var f Flow
	for name, address := range map[string]*netip.AddrPort{serviceName: &f.Service, sourceName: &f.Source} {
		var err error
		if *address, err = netip.ParseAddrPort(values.Get(name)); err != nil {
			return f, &ParameterError{name: name, value: values.Get(name), cause: err}
		}
	}
	switch protocol := values.Get(protocolName); protocol {
	case "tcp":
		f.TCP = true
	case "udp", "":
	default:
		return f, &ParameterError{name: protocolName, value: protocol}
	}
	return f, nil
}

// Serve returns a handler that answers with JSON, and with status 400 to a question
// that answer can't read.
func Serve(answer func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := answer(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A caller that went away needs no answer.
		_ = json.NewEncoder(w).Encode(v)
	}
}
