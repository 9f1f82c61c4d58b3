package balancer_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/explainer"
)

// Guards the content of status and of explanations of flows, and the error for an invalid
// parameter.
func TestStatusAndExplain(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("op/evacuate/c", "x")
	s.set("servers/i-1f", registration(newTargetServer(t).address))
	n := newNode(t, "a-1", s)
	n.start(t)
	eventually(t, "view", func() bool { return n.log.contains("first view") })

	var status explainer.Status
	getJSON(t, n, explainer.StatusPath, &status)
	is.Equal(status.Name, "a-1")
	is.Equal(status.State, "ready")
	is.Equal(status.ActiveRevision, uint64(3))
	is.Equal(status.View.Targets, 1)
	is.Equal(status.View.Source, "store")
	is.Equal(status.View.ZonesOut, []string{"c"})

	var e explainer.Explanation
	getJSON(t, n, explainer.FlowPath+"?service=198.18.0.1:443&source=203.0.113.7:50123", &e)
	is.Equal(e.Service, "s")
	is.Equal(e.Opening.Target, "i-1f")
	is.Equal(e.Opening.Action, "forward")
	is.True(e.Opening.Why != "")
	is.True(e.Zone != "")
	eventually(t, "spread", func() bool {
		getJSON(t, n, explainer.StatusPath, &status)
		return len(status.View.Spreads) > 0
	})
	is.Equal(status.View.Spreads[0].Service, "s")
	is.True(status.View.Spreads[0].Part == nil) // no demand was reported
	getJSON(t, n, explainer.FlowPath+"?service=198.18.0.9:443&source=203.0.113.7:50123", &e)
	is.Equal(e.Opening.Reason, "unknown-route") // the view may lag behind

	code, body := get(n.settings.MetricsAddress, explainer.FlowPath+"?service=somewhere&source=203.0.113.7:50123")
	is.Equal(code, http.StatusBadRequest)
	is.Equal(body, "reading the parameter service: not an ip:port\n")

	var counters map[string]uint64
	getJSON(t, n, explainer.CountersPath, &counters)
	is.Equal(len(counters), 0)
}

// getJSON decodes the JSON at a path of a balancer's metrics address into v.
func getJSON(t *testing.T, n *node, path string, v any) {
	t.Helper()
	code, body := get(n.settings.MetricsAddress, path)
	if code != http.StatusOK {
		t.Fatal(code, body)
	}
	if err := json.Unmarshal([]byte(body), v); err != nil {
		t.Fatal(err)
	}
}
