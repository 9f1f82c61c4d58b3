package balancer

import (
	"net/http"
	"time"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/explainer"
)

// handleQuestions answers status and explain.
func (b *Balancer) handleQuestions(mux *http.ServeMux) {
	mux.HandleFunc("GET "+explainer.StatusPath, explainer.Serve(func(*http.Request) (any, error) {
		return b.status(time.Now()), nil
	}))
	mux.HandleFunc("GET "+explainer.CountersPath, explainer.Serve(func(*http.Request) (any, error) {
		return b.metrics.refusals(), nil
	}))
	mux.HandleFunc("GET "+explainer.FlowPath, explainer.Serve(func(r *http.Request) (any, error) {
		flow, err := explainer.ReadFlow(r.URL.Query())
		if err != nil {
			return nil, err
		}
		return b.explain(time.Now(), flow), nil
	}))
}

// readyState is the state of a balancer that gets packets; the others say why not.
const readyState = "ready"

func (b *Balancer) status(now time.Time) explainer.Status {
	state := b.notReady(now)
	if state == "" {
		state = readyState
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	version, _ := b.director.Version()
	age, _ := b.view.replica.Age(now)
	suspicions := b.director.Suspicions(now)
	status := explainer.Status{
		Name:             b.settings.Name,
		AvailabilityZone: b.settings.AvailabilityZone,
		State:            state,
		Active:           version,
		Prepared:         version,
		Records:          b.director.Flows(),
		View: &explainer.View{
			Source:       b.view.source,
			AgeMs:        age.Milliseconds(),
			Targets:      b.director.Targets(),
			Unreachable:  suspicions.Unreachable,
			SuspectZones: suspicions.Zones,
			ZonesOut:     suspicions.Out,
			Crowded:      suspicions.Crowded,
		},
	}
	for name := range b.view.peers {
		if name != b.settings.Name {
			status.Members = append(status.Members, explainer.MemberStatus{Name: name, State: registeredState})
		}
	}
	return status
}

// registeredState is all that a balancer knows of its peers.
const registeredState = "registered"

// explain changes nothing.
func (b *Balancer) explain(now time.Time, f explainer.Flow) explainer.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	version, _ := b.director.Version()
	e := b.director.Explain(now, &director.Packet{Source: f.Source, Destination: f.Service})
	return explainer.Explanation{
		Balancer:    b.settings.Name,
		Revision:    version,
		Service:     e.Service,
		NoBuckets:   true,
		Recorded:    e.Watched,
		Opening:     outcome(e.Opening),
		Established: outcome(e.Established),
	}
}

func outcome(d director.Decision) explainer.Outcome {
	o := explainer.Outcome{Action: d.Action.String(), Reason: string(d.Reason), Why: reasonTexts[d.Reason]}
	if d.Action == director.Forward {
		o.Target = d.Target.Name
		o.Address = d.Target.Address
	}
	return o
}

var reasonTexts = map[director.Reason]string{
	director.ReasonFlow:       "the packet's token names this target",
	director.ReasonOpening:    "this target comes first for the flow, of those that take flows and that nothing speaks against, in this zone while it has room",
	director.ReasonRepeated:   "the flow was seen in the last seconds and went to this target",
	director.ReasonNoRoute:    "no route of the configuration in force has this address",
	director.ReasonNoTarget:   "no target of the service takes flows",
	director.ReasonTargetGone: "the target that the token names was removed",
	director.ReasonCutOff:     "the target can't be reached, and the request may be repeated elsewhere",
	director.ReasonLapsed:     "the target's registration lapsed, but it may live",
	director.ReasonNoToken:    "there is no target whose token the packet could carry",
	director.ReasonUnknown:    "no target has the token",
	director.ReasonNoView:     "there is no configuration yet",
}
