package director_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilspring.example/trefoilspring/director"
	"trefoilspring.example/trefoilspring/tokenizer"
)

var (
	start = time.Unix(1_700_000_000, 0)
	board = netip.MustParseAddrPort("198.18.0.1:8443")
	holds = netip.MustParseAddrPort("198.18.0.1:8080")
	cards = netip.MustParseAddrPort("198.18.0.2:8443")
)

// afterLapseGrace is longer than the time for which flows of a lapsed target go on.
const afterLapseGrace = 3 * time.Second

// configuration returns an idempotent route and one that isn't, both to service desk, and an
// idempotent route to service press.
func configuration(version uint64) director.Configuration {
	desk := []director.Backend{{Service: "desk", Weight: 1}}
	return director.Configuration{
		Version: version,
		Routes: []director.Route{
			{Name: "board", Address: board, Backends: desk, Idempotent: true},
			{Name: "holds", Address: holds, Backends: desk},
			{Name: "cards", Address: cards, Backends: []director.Backend{{Service: "press", Weight: 1}}, Idempotent: true},
		},
		Services: []director.Service{{Name: "desk", ColdRate: 4}, {Name: "press"}},
	}
}

func target(id int) director.Target {
	return director.Target{
		Name:             fmt.Sprintf("t-%d", id),
		ID:               uint64(id),
		Started:          1,
		Service:          "desk",
		Address:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
		AvailabilityZone: string(rune('a' + id%3)),
		Capacity:         3,
	}
}

// newDirector returns a director whose own zone has no targets, so that its flows go to all
// zones.
func newDirector(targets int) *director.Director { return newDirectorIn("entry", targets) }

func newDirectorIn(zone string, targets int) *director.Director {
	d := director.New(1, zone)
	d.SetConfirmed(start)
	d.SetConfiguration(configuration(1))
	for id := 1; id <= targets; id++ {
		d.SetTarget(start, target(id))
	}
	return d
}

func caller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 40000)
}

// opening returns an opening packet of caller n, which the caller has sent retransmissions times
// before.
func opening(n int, retransmissions uint32) *director.Packet {
	return &director.Packet{Source: caller(n), Destination: board, Opening: true, Retransmissions: retransmissions}
}

// data returns a packet with data on an open flow of caller n.
func data(n int, route netip.AddrPort, token tokenizer.Token, sequence, acknowledged uint32) *director.Packet {
	return &director.Packet{
		Source: caller(n), Destination: route, Token: token,
		Sequence: sequence, Acknowledged: acknowledged, Data: []byte("GET / HTTP/1.1\r\n"),
	}
}

// Any balancer forwards any packet of a flow by its token alone, whatever packets it has
// seen and however many targets it knows.
func TestTokenLeadsToTheTargetOnEveryBalancer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "targets")
		first, second := newDirector(n), newDirector(rapid.IntRange(n, 60).Draw(t, "more targets"))
		flow := rapid.IntRange(0, 60000).Draw(t, "flow")
		opened := first.Decide(start, opening(flow, 0))
		if opened.Action != director.Forward {
			t.Fatalf("opening: %v", opened)
		}
		later := second.Decide(start, data(flow, board, opened.Token, 1, 1))
		if later.Action != director.Forward || later.Target.Name != opened.Target.Name {
			t.Fatalf("opened at %s, later packet: %v", opened.Target.Name, later)
		}
	})
}

func TestBalancersWithTheSameViewChooseTheSameTarget(t *testing.T) {
	is := is.New(t)
	first, second := newDirector(14), newDirector(14)
	for n := range 500 {
		is.Equal(first.Decide(start, opening(n, 0)).Token, second.Decide(start, opening(n, 0)).Token)
	}
}

func TestOpeningsFollowCapacity(t *testing.T) {
	is := is.New(t)
	d := newDirector(9)
	big := target(10)
	big.Capacity = 9
	d.SetTarget(start, big)
	count := make(map[string]int)
	const flows = 12000
	for n := range flows {
		count[d.Decide(start, opening(n, 0)).Target.Name]++
	}
	// 9 targets of 3 slots and one of 9.
	is.True(abs(count["t-10"]-flows/4) < flows/40)
	is.True(abs(count["t-1"]-flows/12) < flows/60)
}

func abs(n int) int { return max(n, -n) }

func TestDrainingTargetKeepsItsFlowsAndGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	d := newDirector(2)
	token := tokenizer.Of(1)
	leaving := target(1)
	leaving.Draining = true
	d.SetTarget(start, leaving)
	for n := range 200 {
		is.Equal(d.Decide(start, opening(n, 0)).Target.Name, "t-2")
	}
	is.Equal(d.Decide(start, data(1000, board, token, 1, 1)).Target.Name, "t-1")
}

func TestZoneThatIsOutGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	d := newDirector(9)
	d.SetZoneOut("b", true)
	for n := range 500 {
		is.True(d.Decide(start, opening(n, 0)).Target.AvailabilityZone != "b")
		is.True(d.Decide(start, opening(n, 1)).Target.AvailabilityZone != "b")
	}
	d.SetZoneOut("b", false)
	back := false
	for n := 1000; n < 1500; n++ {
		back = back || d.Decide(start, opening(n, 0)).Target.AvailabilityZone == "b"
	}
	is.True(back)
}

// An opening packet that surely can't be served is reset at once. Without a configuration, or
// with an unknown token, a packet is dropped.
func TestPacketsThatCannotBeServed(t *testing.T) {
	is := is.New(t)
	unconfigured := director.New(1, "a")
	is.Equal(unconfigured.Decide(start, opening(1, 0)).Action, director.Drop)
	d := newDirector(0)
	nowhere := opening(1, 0)
	nowhere.Destination = netip.MustParseAddrPort("198.18.0.9:1")
	d.Decide(start, opening(1, 0))
	d.Decide(start, nowhere)
	d.SetConfirmed(start.Add(time.Second))
	is.Equal(d.Decide(start, opening(1, 0)), director.Decision{Action: director.Reset, Reason: director.ReasonNoTarget})
	is.Equal(d.Decide(start, nowhere), director.Decision{Action: director.Reset, Reason: director.ReasonNoRoute})
	// Another balancer may have learnt of this token's target earlier.
	is.Equal(d.Decide(start, data(1, board, 77, 1, 1)).Action, director.Drop)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newDirector(1)
	newer := configuration(7)
	newer.Routes = newer.Routes[:1]
	is.True(d.SetConfiguration(newer))
	is.True(!d.SetConfiguration(configuration(6)))
	version, _ := d.Version()
	is.Equal(version, uint64(7))
	dropped := opening(1, 0)
	dropped.Destination = holds
	is.Equal(d.Decide(start, dropped).Reason, director.ReasonNoRoute)
}

func TestRetransmittedOpeningStaysIfTheTargetAnswersOtherFlows(t *testing.T) {
	is := is.New(t)
	d := newDirector(6)
	first := d.Decide(start, opening(1, 0))
	d.Decide(start.Add(100*time.Millisecond), data(500, board, first.Token, 1, 1))
	second := d.Decide(start.Add(200*time.Millisecond), opening(1, 1))
	is.Equal(second.Token, first.Token)
	is.Equal(second.Reason, director.ReasonOpeningRepeated)
}

// Two targets answer one opening packet, which the network doubled. The flow stays with the
// target whose answer the caller received first, though packets of the flow may carry the
// other target's token.
func TestFlowStaysWithTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	first := newDirector(6).Decide(start, opening(1, 0)).Token
	second := tokenizer.Of(1)
	is.True(first != second)
	for _, order := range [][2]tokenizer.Token{{first, second}, {second, first}} {
		d := newDirector(6)
		d.Decide(start, opening(1, 0))
		d.Decide(start.Add(200*time.Millisecond), opening(1, 1))
		now := start.Add(210 * time.Millisecond)
		is.Equal(d.Decide(now, data(1, board, order[0], 1, 1)).Token, order[0])
		is.Equal(d.Decide(now, data(1, board, order[1], 17, 1)).Token, order[0])
		is.Equal(d.Decide(now, opening(1, 2)).Token, order[0])
	}
}

func TestRestartedTargetReplacesItsEarlierRun(t *testing.T) {
	is := is.New(t)
	d := newDirector(3)
	d.Decide(start, opening(1, 0))
	again := target(1)
	again.Started = 2
	again.Service = "press"
	d.SetTarget(start, again)
	for n := range 200 {
		is.True(d.Decide(start, opening(n, 0)).Target.Name != "t-1")
	}
	p := opening(900, 0)
	p.Destination = cards
	is.Equal(d.Decide(start, p).Target.Name, "t-1")
}

// Flows are tracked for a few seconds only, so that memory use follows the load.
func TestFlowsAreForgotten(t *testing.T) {
	is := is.New(t)
	d := newDirector(3)
	for n := range 1000 {
		d.Decide(start, opening(n, 0))
	}
	is.Equal(d.TrackedFlows(), 1000)
	d.Tick(start.Add(10 * time.Second))
	is.Equal(d.TrackedFlows(), 0)
}
