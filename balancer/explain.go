package balancer

import (
	"net/http"
	"time"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/explainer"
)

// registerDiagnostics registers the handlers for status, counters and explanations of
// flows.
func (b *Balancer) registerDiagnostics(mux *http.ServeMux) {
	mux.HandleFunc("GET "+explainer.StatusPath, explainer.NewHandler(func(*http.Request) (any, error) {
		return b.status(time.Now()), nil
	}))
	mux.HandleFunc("GET "+explainer.CountersPath, explainer.NewHandler(func(*http.Request) (any, error) {
		return b.metrics.rejectionCounts(), nil
	}))
	mux.HandleFunc("GET "+explainer.FlowPath, explainer.NewHandler(func(r *http.Request) (any, error) {
		flow, err := explainer.ParseFlow(r.URL.Query())
		if err != nil {
			return nil, err
		}
		return b.explain(time.Now(), flow), nil
	}))
}

// stateReady is the state of a balancer that passes the readiness check. In any other
// state, status reports the reason why the balancer is not ready.
const stateReady = "ready"

func (b *Balancer) status(now time.Time) explainer.Status {
	state := b.notReadyReason()
	if state == "" {
		state = stateReady
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	version, _ := b.director.Version()
	age, _ := b.view.replica.Age(b.ViewClock())
	health := b.director.HealthSummary(now)
	status := explainer.Status{
		Name:             b.settings.Name,
		AvailabilityZone: b.settings.AvailabilityZone,
		State:            state,
		ActiveRevision:   version,
		PreparedRevision: version,
		Records:          b.director.TrackedFlows(),
		View: &explainer.View{
			Source:             b.view.source,
			AgeMs:              age.Milliseconds(),
			Targets:            b.director.Targets(),
			UnreachableTargets: health.UnreachableTargets,
			SuspectZones:       health.SuspectZones,
			ZonesOut:           health.ZonesOut,
			CrowdedServices:    health.CrowdedServices,
			Spreads:            explainSpreads(b.director.Spreads()),
			SlowTargets:        health.SlowTargets,
			LimitedServices:    health.LimitedServices,
		},
	}
	for name := range b.view.peers {
		if name != b.settings.Name {
			status.Members = append(status.Members, explainer.MemberStatus{Name: name, State: peerStateRegistered})
		}
	}
	return status
}

// peerStateRegistered is the state that status reports for every peer: a balancer only
// knows that its peers are registered.
const peerStateRegistered = "registered"

// explain reports what the director would do with the packets of a flow. It changes no
// state.
func (b *Balancer) explain(now time.Time, f explainer.Flow) explainer.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	version, _ := b.director.Version()
	e := b.director.Explain(now, &director.Packet{Source: f.Source, Destination: f.Service})
	return explainer.Explanation{
		Balancer:       b.settings.Name,
		ActiveRevision: version,
		Service:        e.Service,
		NoBuckets:      true,
		Recorded:       e.Tracked,
		Speed:          speedIfSlow(e.Speed),
		Opening:        outcome(e.Opening),
		Established:    outcome(e.Established),
		Zone:           explainPlacement(e.Placement),
		Cold:           coldLimits(e.Cold),
		Admission:      admission(e.Admission),
	}
}

// coldLimits converts the limits of cold targets to those that are reported.
func coldLimits(c director.ColdLimits) *explainer.ColdLimits {
	if !c.Target && c.Passed == 0 {
		return nil
	}
	return &explainer.ColdLimits{Target: c.Target, Passed: c.Passed, Rate: c.Rate, Balancers: c.Balancers}
}

// admission converts the admission of a flow to the one that is reported.
func admission(a director.Admission) *explainer.Admission {
	if !a.Known {
		return nil
	}
	return &explainer.Admission{
		Urgency: a.Urgency, Limited: a.Limited, Fraction: a.Fraction, CallerFraction: a.CallerFraction,
		Waiting: a.Waiting, Bound: a.Bound, Wanted: a.Wanted, Room: a.Room,
	}
}

// outcome converts a decision to the outcome that is reported.
func outcome(d director.Decision) explainer.Outcome {
	o := explainer.Outcome{Action: d.Action.String(), Reason: string(d.Reason), Why: reasonDescriptions[d.Reason]}
	if d.Action == director.Forward {
		o.Target = d.Target.Name
		o.Address = d.Target.Address
	}
	return o
}

// reasonDescriptions holds the texts of Outcome.Why.
var reasonDescriptions = map[director.Reason]string{
	director.ReasonFlow:              "the packet's token names this target",
	director.ReasonOpening:           "this target ranks first for the flow among the targets that accept new flows and are not suspect; targets of the zone named above come first",
	director.ReasonOpeningRepeated:   "the flow was seen in the last seconds and went to this target",
	director.ReasonNoRoute:           "no route of the configuration in force has this address, and no newer configuration was accepted since callers first used it",
	director.ReasonUnknownRoute:      "no route of the configuration in force has this address, but a newer configuration may have one",
	director.ReasonNoTarget:          "no target of the service accepts new flows, or those that do are cold and have got their share of them",
	director.ReasonUnknownTarget:     "no registered target of the service accepts new flows, but one may just have registered",
	director.ReasonTargetGone:        "the target that the token names was removed",
	director.ReasonOpeningRefused:    "the flow was seen in the last seconds, and its target takes no new flows",
	director.ReasonTargetUnreachable: "the target is unreachable, and the request may be repeated on another target",
	director.ReasonTargetLapsed:      "the target's registration lapsed, but it may live",
	director.ReasonNoToken:           "no target accepts the flow, so its packets have no token to carry",
	director.ReasonUnknownToken:      "no target has the token",
	director.ReasonNoView:            "there is no configuration yet",
	director.ReasonTurnedAway:        "callers ask for more than the targets of the service can do, and this flow isn't among those of its urgency that there is room for; it reached no target",
}
