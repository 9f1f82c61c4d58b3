package balancer_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/replicator"
)

// suspendedTime is how long the VM of a test stands still.
const suspendedTime = 30 * time.Second

// newSuspendableNode returns a node and a function that makes it appear as if its VM had
// been suspended: time has passed, but the clock of time.Now hasn't counted it.
func newSuspendableNode(t *testing.T, s *store) (*node, func()) {
	t.Helper()
	n, advance := newAgeingNode(t, s)
	return n, func() { advance(suspendedTime) }
}

// newAgeingNode returns a node whose view doesn't age, and a function that makes the view
// appear older.
func newAgeingNode(t *testing.T, s *store) (*node, func(time.Duration)) {
	t.Helper()
	n := newNode(t, "n1", s)
	began := time.Now()
	var added atomic.Int64
	n.balancer.ViewClock = func() time.Time { return began.Add(time.Duration(added.Load())) }
	return n, func(by time.Duration) { added.Add(int64(by)) }
}

// viewAge returns the age of the view that a balancer tells its peers.
func viewAge(t *testing.T, n *node) time.Duration {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.settings.PeerAddress.String()+"/view?after=0&wait-ms=0", nil)
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	var u replicator.Update
	is.NoErr(cbor.NewDecoder(res.Body).Decode(&u))
	return u.Age
}

// A balancer whose VM was suspended must neither pass for ready nor tell its peers that its
// view is recent, before it has asked the store again.
func TestSuspendedBalancerKnowsThatItsViewIsOld(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	n, suspend := newSuspendableNode(t, s)
	n.start(t)
	n.awaitReadiness(t, 200)
	s.setDown(true)
	suspend()
	status, text := get(n.settings.ReadyAddress, "/")
	is.Equal(status, 503)
	is.True(strings.Contains(text, "out of date"))
	is.True(viewAge(t, n) >= suspendedTime)
	s.setDown(false)
	n.awaitReadiness(t, 200)
	eventually(t, "a recent view", func() bool { return viewAge(t, n) < suspendedTime })
}

// The answer to a query from before the suspension is as old as the suspension was long.
func TestAnswerFromBeforeTheSuspensionIsOld(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	n, suspend := newSuspendableNode(t, s)
	n.start(t)
	n.awaitReadiness(t, 200)
	n.awaitPeers(t, 1)
	before := s.waiting.Load()
	eventually(t, "a query that waits", func() bool { return s.waiting.Load() > before })
	suspend()
	s.set("op/evacuate/b", "{}")
	eventually(t, "the change", func() bool { return n.log.contains("availability zone changed") })
	is.True(n.log.contains("view was out of date"))
	status, _ := get(n.settings.ReadyAddress, "/")
	is.Equal(status, 503)
	n.awaitReadiness(t, 200)
}

// A target that left while the balancer's VM was suspended must get no new flows. Its
// registration didn't lapse in an outage of the store, as the view's age alone would say.
func TestTargetThatLeftDuringTheSuspensionIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.set("op/config", configurationText)
	s.set("servers/i-00ab", registration(newTargetServer(t).address))
	n, suspend := newSuspendableNode(t, s)
	n.start(t)
	n.awaitReadiness(t, 200)
	suspend()
	s.set("servers/i-00ab", "")
	eventually(t, "the removal", func() bool { return n.log.contains("target removed") })
	_, text := get(n.settings.MetricsAddress, "/metrics")
	is.True(strings.Contains(text, "trefoilspring_targets 0\n"))
}
