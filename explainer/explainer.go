// Package explainer defines the JSON responses in which a balancer reports its status and
// explains what it would do with a flow. The balancers of both commands, serve and
// balance, use them. The package also parses the requests.
//
// # Usage
//
//	mux.HandleFunc("GET "+explainer.StatusPath, explainer.NewHandler(func(*http.Request) (any, error) {
//		return status(), nil
//	}))
//	mux.HandleFunc("GET "+explainer.FlowPath, explainer.NewHandler(func(r *http.Request) (any, error) {
//		flow, err := explainer.ParseFlow(r.URL.Query())
//		if err != nil {
//			return nil, err
//		}
//		return explain(flow), nil
//	}))
//
// Responses are JSON. The response to an invalid request has status 400 and the text of
// the error.
package explainer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
)

// Paths at a balancer's admin or metrics address: its status, the explanation of a flow
// and its counters.
const (
	StatusPath   = "/status"
	FlowPath     = "/explain"
	CountersPath = "/debug/vars"
)

// Query parameters of a request for FlowPath.
const (
	serviceParameter  = "service"
	sourceParameter   = "source"
	protocolParameter = "protocol"
)

// Status is the state of a balancer.
type Status struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	// ActiveRevision is the revision, or on the users' platform the version, of the
	// configuration in force. PreparedRevision is the newest one that the balancer knows.
	ActiveRevision   uint64         `json:"active-revision"`
	PreparedRevision uint64         `json:"prepared-revision"`
	Members          []MemberStatus `json:"members"`
	// TrackedBuckets is the number of buckets that package tracker tracks, 0 on a balancer
	// without buckets. Records is the number of recorded flows; on a balancer whose packets
	// carry a flow token, it is the number of flows seen in the last seconds.
	TrackedBuckets int `json:"tracked-buckets"`
	Records        int `json:"records"`
	// View is nil except on balancers of the users' platform.
	View *View `json:"view,omitempty"`
}

// MemberStatus is the state of another balancer as known to the reporting one.
type MemberStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Suspect is set if the heartbeats of the balancer are late. ActiveRevision is the
	// revision in force there.
	Suspect        bool   `json:"suspect"`
	ActiveRevision uint64 `json:"active-revision"`
}

// View describes the balancer's copy of the platform's store and the health of targets
// that it has detected.
type View struct {
	// Source names the store or the peer that the last update came from. AgeMs is the time
	// in milliseconds since the store last confirmed the copy.
	Source string `json:"source"`
	AgeMs  int64  `json:"age-ms"`
	// Targets is the number of known targets. UnreachableTargets are the names of targets
	// whose last check failed, SuspectZones the zones in which so many checks failed that
	// all of their targets are suspect, and ZonesOut the zones that operators have taken
	// out. New flows avoid all of these if possible.
	Targets            int      `json:"targets"`
	UnreachableTargets []string `json:"unreachable-targets"`
	SuspectZones       []string `json:"suspect-zones"`
	ZonesOut           []string `json:"zones-out"`
	// CrowdedServices are the services some of whose flows go to other zones, because the
	// targets in the balancer's zone lack the capacity for all callers of the zone.
	CrowdedServices []string `json:"crowded-services"`
	// SlowTargets are the targets that get fewer new flows, since they answer slowly or
	// not at all.
	SlowTargets []string `json:"slow-targets,omitempty"`
	// LimitedServices are the services that turn some new flows away, because callers ask for
	// more than all of their targets can do.
	LimitedServices []string `json:"limited-services"`
	// Spreads are the load of each service in each availability zone, and the part of the
	// balancer's new flows that goes there.
	Spreads []Spread `json:"spreads,omitempty"`
}

// Spread is the load of a service in one availability zone. All numbers are as of a second
// ago.
type Spread struct {
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability-zone"`
	// Demand is how many slots the callers of the zone need, nil if it isn't known. A slot
	// is a target's capacity for one request at a time. Slots is how many are ready for new
	// flows.
	Demand *float64 `json:"demand,omitempty"`
	Slots  float64  `json:"slots"`
	// Part is the part, from 0 to 1, of the new flows of the balancer's zone that goes to
	// this zone. It is nil if there is no plan.
	Part *float64 `json:"part,omitempty"`
}

// Explanation describes what a balancer would do with the packets of one flow.
type Explanation struct {
	Balancer       string `json:"balancer"`
	ActiveRevision uint64 `json:"active-revision"`
	// Service is empty if no service has the address.
	Service string `json:"service"`
	Bucket  int    `json:"bucket"`
	// NoBuckets is set if the balancer keeps no buckets. Bucket, Tracked, BaseTarget,
	// CurrentTarget and Resolver then have no meaning.
	NoBuckets bool `json:"no-buckets,omitempty"`
	Tracked   bool `json:"tracked"`
	// Recorded is set if the balancer holds a record of the flow.
	Recorded bool `json:"recorded"`
	// BaseTarget is the target of flows without a record, CurrentTarget the target of new
	// flows. BaseTarget is empty if the bucket isn't tracked. Resolver is the balancer that
	// decides for the bucket while it is tracked.
	BaseTarget    string `json:"base-target,omitempty"`
	CurrentTarget string `json:"current-target,omitempty"`
	Resolver      string `json:"resolver,omitempty"`
	// Speed is the speed of Opening's target in relation to the other targets of its
	// service, greater than 0 and less than 1. It is left out if it is 1 or not known.
	Speed float64 `json:"speed,omitempty"`
	// Opening is the outcome for the first packet of the flow, Established the outcome for
	// a later packet.
	Opening     Outcome `json:"opening"`
	Established Outcome `json:"established"`
	// Zone says in which availability zone the flow belongs when it is opened. It is empty
	// on balancers that don't decide by zones.
	Zone string `json:"zone,omitempty"`
	// Cold is nil unless a cold target was weighed.
	Cold *ColdLimits `json:"cold,omitempty"`
	// Admission is nil unless the load of the service is known.
	Admission *Admission `json:"admission,omitempty"`
}

// ColdLimits describes what the limits of cold targets do to a new flow.
type ColdLimits struct {
	// Target is set if Opening's target is cold. Passed is how many cold targets were passed
	// over, since each has got its share of new flows.
	Target bool `json:"target"`
	Passed int  `json:"passed"`
	// Rate is how many new flows a second a cold target may get from all balancers, 0 if it
	// isn't limited. Balancers is the number of balancers that share it, 0 if it isn't known.
	Rate      float64 `json:"rate"`
	Balancers int     `json:"balancers"`
}

// Admission describes how a new flow competes for the room of its service. All numbers but
// Urgency and the fractions are requests at a time.
type Admission struct {
	// Urgency is the rank of the flow's route; 0 is the most urgent.
	Urgency int `json:"urgency"`
	// Limited is set if some new flows of the service are turned away. Fraction is the part
	// of the new flows with this urgency that is admitted, from 0 to 1.
	Limited  bool    `json:"limited"`
	Fraction float64 `json:"fraction"`
	// CallerFraction is the part of this caller's new flows that is admitted, from 0 to 1.
	CallerFraction float64 `json:"caller-fraction"`
	// Waiting is how many requests wait for answers, and Bound the number above which
	// flows begin to be turned away.
	Waiting float64 `json:"waiting"`
	Bound   float64 `json:"bound"`
	// Wanted is what all flows of this urgency would keep targets busy with, and Room what
	// the flows of all urgencies may.
	Wanted float64 `json:"wanted"`
	Room   float64 `json:"room"`
}

// Outcome is what a balancer would do with one packet.
type Outcome struct {
	Action  string         `json:"action"`
	Target  string         `json:"target,omitempty"`
	Address netip.AddrPort `json:"address,omitzero"`
	// Member is the balancer that the packet would be handed on to.
	Member string `json:"member,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Why describes the state that led to the action, in words.
	Why string `json:"why"`
}

// Flow identifies the flow that a request asks about.
type Flow struct {
	// Service is the address that the caller sends to, Source the address of the caller.
	Service, Source netip.AddrPort
	TCP             bool
}

// ParameterError reports a query parameter with an invalid value.
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

// ParseFlow parses the query parameters of a request for FlowPath. The protocol is udp if
// it is missing. All errors are of type *ParameterError.
func ParseFlow(values url.Values) (Flow, error) {
	var f Flow
	for name, address := range map[string]*netip.AddrPort{serviceParameter: &f.Service, sourceParameter: &f.Source} {
		var err error
		if *address, err = netip.ParseAddrPort(values.Get(name)); err != nil {
			return f, &ParameterError{name: name, value: values.Get(name), cause: err}
		}
	}
	switch protocol := values.Get(protocolParameter); protocol {
	case "tcp":
		f.TCP = true
	case "udp", "":
	default:
		return f, &ParameterError{name: protocolParameter, value: protocol}
	}
	return f, nil
}

// NewHandler returns a handler that responds with the JSON encoding of the value that
// respond returns, or with status 400 and the text of its error.
func NewHandler(respond func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := respond(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
}
