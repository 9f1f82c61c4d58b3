package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilspring.example/trefoilspring/detector"
	"trefoilspring.example/trefoilspring/tracker"
)

// fleet runs the detectors of a group of balancers over a simulated network, in
// virtual time.
type fleet struct {
	now     time.Time
	ids     []tracker.MemberID
	index   map[tracker.MemberID]int
	members []*detector.Detector
	// linkDown reports whether a message from one member to another is lost.
	linkDown func(from, to int) bool
	// frozen holds the members that neither send nor receive.
	frozen map[int]bool
}

const incarnation = 1_790_000_000

func newFleet(n int) *fleet {
	f := &fleet{
		now:      time.Unix(1000, 0),
		index:    make(map[tracker.MemberID]int),
		linkDown: func(int, int) bool { return false },
		frozen:   make(map[int]bool),
	}
	for i := range n {
		id := tracker.NewMemberID(fmt.Sprintf("lb-%d", i))
		f.ids = append(f.ids, id)
		f.index[id] = i
	}
	for i := range n {
		f.members = append(f.members, f.start(i, incarnation, detector.Ready))
	}
	return f
}

func (f *fleet) start(i int, incarnation uint32, s detector.State) *detector.Detector {
	d := detector.New(f.ids[i], incarnation)
	d.SetState(s)
	d.SetContacts(f.ids)
	d.SetRevisions(70000, 70001)
	return d
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(detector.HeartbeatInterval)
		for i, m := range f.members {
			if f.frozen[i] {
				continue
			}
			f.deliver(i, m.Heartbeat(f.now))
		}
	}
}

func (f *fleet) deliver(from int, deliveries []detector.Delivery) {
	for _, d := range deliveries {
		to := f.index[d.To()]
		if !f.linkDown(from, to) && !f.frozen[to] {
			f.members[to].Receive(f.now, d.Message())
		}
	}
}

// stateOf returns the state of member i that member 1 knows, or Leaving if member 1
// does not list it as live.
func (f *fleet) stateOf(i int) detector.State {
	for _, m := range f.members[1].Members(f.now) {
		if m.ID() == f.ids[i] {
			return m.State()
		}
	}
	return detector.Leaving
}

// liveMembers returns how many other members are alive according to member i.
func (f *fleet) liveMembers(i int) int { return len(f.members[i].Members(f.now)) }

func TestAllStayAliveAndPermitted(t *testing.T) {
	for _, n := range []int{2, 13, 20, 76} {
		is := is.New(t)
		f := newFleet(n)
		f.run(20 * time.Second)
		for i, m := range f.members {
			is.Equal(f.liveMembers(i), n-1)
			is.True(m.MayDecide(f.now))
		}
	}
}

const (
	// headerBytes is the size of the IP, UDP and QUIC headers of each datagram.
	headerBytes = 60
	// datagramBytes is the largest payload of one datagram on a connection between
	// balancers.
	datagramBytes = 1150
)

// measureTraffic runs the fleet for 20 s, during which a message is lost with the
// probability loss. It returns the mean number of bytes that a member sends per
// second, the size of the largest message in bytes, and the fraction of the other live
// members that a member suspects, over all intervals.
func (f *fleet) measureTraffic(t *testing.T, loss float64, seed uint64) (rate, largest int, suspected float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	f.linkDown = func(int, int) bool { return random.Float64() < loss }
	bytes, suspicions, checks := 0, 0, 0
	const seconds = 20
	for range seconds * int(time.Second/detector.HeartbeatInterval) {
		f.now = f.now.Add(detector.HeartbeatInterval)
		for i, m := range f.members {
			deliveries := m.Heartbeat(f.now)
			for _, d := range deliveries {
				size := sizeOf(t, d.Message())
				largest = max(largest, size)
				bytes += size + headerBytes
			}
			f.deliver(i, deliveries)
		}
		for _, m := range f.members {
			for _, other := range m.Members(f.now) {
				checks++
				if other.Suspect() {
					suspicions++
				}
			}
		}
	}
	return bytes / len(f.members) / seconds, largest, float64(suspicions) / float64(checks)
}

func sizeOf(t *testing.T, m detector.Message) int {
	t.Helper()
	encoded, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

func TestHeartbeatsStayWithinBudgetAndSuspectNobody(t *testing.T) {
	cases := []struct{ balancers, maxBytesPerSecond int }{{13, 5_000}, {20, 7_500}, {40, 20_000}, {76, 20_000}}
	const seed = 1
	for _, c := range cases {
		is := is.New(t)
		f := newFleet(c.balancers)
		f.run(10 * time.Second)
		rate, largest, suspected := f.measureTraffic(t, 0.02, seed)
		t.Logf("seed %d, 2%% loss, %d balancers: %d B/s, largest %d B, suspected %.6f", seed, c.balancers, rate, largest, suspected)
		is.True(rate <= c.maxBytesPerSecond)
		is.True(largest <= datagramBytes)
		is.True(suspected <= 0.0001)
	}
}

func TestOneBrokenPathRemovesNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(13)
	f.run(5 * time.Second)
	f.linkDown = func(from, to int) bool { return from == 0 && to == 1 }
	f.run(20 * time.Second)
	is.Equal(f.liveMembers(1), 12)
	is.True(f.members[0].MayDecide(f.now))
}

func TestUnheardBalancerStopsBeforeItIsRemoved(t *testing.T) {
	is := is.New(t)
	f := newFleet(13)
	f.run(5 * time.Second)
	f.linkDown = func(from, _ int) bool { return from == 0 }
	stopped := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += detector.HeartbeatInterval {
		f.run(detector.HeartbeatInterval)
		if stopped == 0 && !f.members[0].MayDecide(f.now) {
			stopped = elapsed
		}
		if f.liveMembers(1) < 12 {
			is.True(stopped > 0) // The balancer lost its permission before it was removed.
			return
		}
	}
	is.Fail() // The balancer was never removed.
}

func TestFrozenBalancerWakesWithoutPermission(t *testing.T) {
	is := is.New(t)
	f := newFleet(13)
	f.run(5 * time.Second)
	f.frozen[0] = true
	f.run(30 * time.Second)
	is.Equal(f.liveMembers(1), 11)
	is.True(!f.members[0].MayDecide(f.now)) // The balancer has sent no heartbeat since the pause.
	f.frozen[0] = false
	f.members[0].Heartbeat(f.now)
	is.True(!f.members[0].MayDecide(f.now)) // No other balancer has echoed its new heartbeat yet.
	f.run(3 * time.Second)
	is.True(f.members[0].MayDecide(f.now))
	is.Equal(f.liveMembers(1), 12)
}

func TestBalancerThatSuspectsAllOthersIsNotPermitted(t *testing.T) {
	is := is.New(t)
	f := newFleet(13)
	f.run(5 * time.Second)
	f.linkDown = func(from, to int) bool { return from == 0 || to == 0 }
	suspectedAll := false
	for end := f.now.Add(detector.RemoveTimeout); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		all := true
		for _, m := range f.members[0].Members(f.now) {
			all = all && m.Suspect()
		}
		if all && f.liveMembers(0) > 0 {
			suspectedAll = true
			is.True(!f.members[0].MayDecide(f.now))
		}
		if f.now.UnixMilli()%400 == 0 {
			f.members[0].Heartbeat(f.now)
		}
	}
	is.True(suspectedAll)
}

func TestGoneBalancerIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(76)
	f.run(5 * time.Second)
	f.members[0].SetState(detector.Gone)
	for range f.members[0].HeartbeatsPerRound() {
		f.deliver(0, f.members[0].Heartbeat(f.now))
	}
	f.frozen[0] = true
	is.Equal(f.liveMembers(1), 74)
	is.Equal(f.liveMembers(75), 74)
	f.run(5 * time.Second)
	is.Equal(f.liveMembers(1), 74) // Relayed tables don't bring the stopped balancer back.
	f.frozen[0] = false
	f.members[0] = f.start(0, incarnation+1, detector.Joining)
	f.run(time.Second)
	is.Equal(f.liveMembers(1), 75)
}

func TestRestartUnderTheSameNameIsAccepted(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(5 * time.Second)
	f.members[0] = f.start(0, incarnation+1, detector.Joining)
	f.run(3 * time.Second)
	is.Equal(f.liveMembers(1), 2)
	is.Equal(f.stateOf(0), detector.Joining)
}

func TestRestartWithAnEarlierOrEqualClockIsAccepted(t *testing.T) {
	for _, restarted := range []uint32{1, incarnation} {
		is := is.New(t)
		f := newFleet(3)
		f.run(5 * time.Second)
		f.members[0] = f.start(0, restarted, detector.Joining)
		f.run(3 * time.Second)
		is.True(f.members[0].MayDecide(f.now))
		is.Equal(f.stateOf(0), detector.Joining)
	}
}

func TestSoleBalancerIsPermittedAfterListening(t *testing.T) {
	is := is.New(t)
	d := detector.New(1, 1)
	now := time.Unix(1000, 0)
	d.Heartbeat(now)
	is.True(!d.MayDecide(now))
	for range 20 {
		now = now.Add(detector.HeartbeatInterval)
		d.Heartbeat(now)
	}
	is.True(d.MayDecide(now))
}

func TestPermissionIsCheckedWithoutAllocation(t *testing.T) {
	is := is.New(t)
	f := newFleet(13)
	f.run(4 * time.Second)
	is.Equal(testing.AllocsPerRun(100, func() { f.members[0].MayDecide(f.now) }), 0.0)
}
