package test_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/explainer"
)

// runAgainst runs a command of an operator against a balancer that responds with the values at
// their paths, and returns the output.
func runAgainst(t *testing.T, responses map[string]any, command string, args ...string) string {
	t.Helper()
	mux := http.NewServeMux()
	for path, value := range responses {
		mux.HandleFunc(path, explainer.NewHandler(func(*http.Request) (any, error) { return value, nil }))
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	args = append([]string{command, "--admin", strings.TrimPrefix(server.URL, "http://")}, args...)
	out, err := exec.Command(filepath.Join(binaryFolder, "trefoilspring"), args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return string(out)
}

func golden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "hardload", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards the text of status with slow targets, a limited service and a plan.
func TestTextOfStatus(t *testing.T) {
	demand, home, away := 14.2, 0.71, 0.29
	status := explainer.Status{
		Name: "front-a-1", AvailabilityZone: "a", State: "ready", ActiveRevision: 8, PreparedRevision: 8, Records: 31,
		View: &explainer.View{
			Source: "store", AgeMs: 240, Targets: 9,
			SlowTargets: []string{"i-4", "i-7"}, LimitedServices: []string{"desk"}, CrowdedServices: []string{"desk"},
			Spreads: []explainer.Spread{
				{Service: "desk", AvailabilityZone: "a", Demand: &demand, Slots: 15, Part: &home},
				{Service: "desk", AvailabilityZone: "b", Slots: 12.5, Part: &away},
			},
		},
	}
	got := runAgainst(t, map[string]any{
		explainer.StatusPath: status, explainer.CountersPath: map[string]int{"refused-turned-away": 12, "dropped-opening-unknown": 3},
	}, "status")
	is.New(t).Equal(got, golden(t, "status.txt"))
}

// Guards the text of explain for a flow that is turned away, one to a slow target, and one that
// only cold targets could get.
func TestTextOfExplain(t *testing.T) {
	admission := explainer.Admission{Urgency: 1, Limited: true, Fraction: 0.62, CallerFraction: 0.2, Waiting: 51.3, Bound: 40, Wanted: 60.5, Room: 42}
	base := explainer.Explanation{
		Balancer: "front-a-1", ActiveRevision: 8, Service: "desk", NoBuckets: true,
		Zone:        "b: 0.71 of new flows stay in this zone by the plan for all zones, and this one goes to another",
		Opening:     explainer.Outcome{Action: "forward", Target: "i-4", Address: netip.MustParseAddrPort("10.0.0.4:80"), Reason: "opening", Why: "it ranks first"},
		Established: explainer.Outcome{Action: "drop", Reason: "no-token", Why: "the packet has no token"},
	}
	for name, change := range map[string]func(*explainer.Explanation){
		"turned-away": func(e *explainer.Explanation) {
			e.Admission = &admission
			e.Opening = explainer.Outcome{Action: "reset", Reason: "turned-away", Why: "there is too little room"}
		},
		"slow": func(e *explainer.Explanation) {
			e.Speed = 0.2
			e.Admission = &explainer.Admission{Fraction: 1, CallerFraction: 1, Waiting: 12, Bound: 40, Wanted: 9, Room: 42}
		},
		"cold": func(e *explainer.Explanation) {
			e.Zone = "any: no target of the flow's zone is ready"
			e.Cold = &explainer.ColdLimits{Passed: 2, Rate: 4, Balancers: 30}
			e.Opening = explainer.Outcome{Action: "reset", Reason: "no-target", Why: "no target accepts the flow"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := base
			change(&e)
			got := runAgainst(t, map[string]any{explainer.FlowPath: e}, "explain", "--service", "198.51.100.10:443", "--source", "203.0.113.7:50123")
			is.New(t).Equal(got, golden(t, "explain-"+name+".txt"))
		})
	}
}
