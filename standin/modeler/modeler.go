// Package modeler plays callers' requests on targets with few slots, in virtual
// time, to compare ways of choosing the target of a flow.
//
// # Usage
//
//	for _, load := range modeler.Loads(modeler.Grown(), seed) {
//		for _, way := range modeler.Ways() {
//			fmt.Println(load.Name, way.Name, modeler.Play(load, way).InGoal)
//		}
//	}
//
// A target works on a few requests at a time, queues some more and turns away what
// comes beyond. Callers with a long flow send a request, wait for its answer, pause
// and send the next; others open a flow for each request. A request that is turned
// away is sent again on a new flow. It opens no socket and reads no clock.
package modeler

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Size is a deployment.
type Size struct {
	Name string
	// Balancers and Targets are spread evenly over Zones.
	Balancers, Zones, Targets int
	// Slots is how many requests a target works on at a time, Queue how many wait.
	Slots, Queue int
	// Users have a long flow each and pause for Pause on average between requests.
	Users int
	Pause time.Duration
	// Single is how many requests a second open a flow of their own.
	Single float64
	// Goal is the time within which an answer is worth most.
	Goal time.Duration
}

// Small is the size of the users' first sites: 20 balancers, 14 targets, 38% of the
// slots in use.
func Small() Size {
	return Size{
		Name: "small", Balancers: 20, Zones: 3, Targets: 14, Slots: 3, Queue: 8,
		Users: 594, Pause: 2 * time.Second, Single: 83, Goal: 200 * time.Millisecond,
	}
}

// Grown is the size that the sites have grown to: 136 balancers, 120 targets, 26%
// of the slots in use.
func Grown() Size {
	return Size{
		Name: "grown", Balancers: 136, Zones: 4, Targets: 120, Slots: 2, Queue: 8,
		Users: 2322, Pause: 2 * time.Second, Single: 325, Goal: 500 * time.Millisecond,
	}
}

// The trouble of a load begins after start and lasts for trouble.
const (
	start   = 5 * time.Second
	trouble = 6 * time.Second
	length  = 20 * time.Second
)

const (
	// longWork and singleWork are how long a target works on a request, give or take
	// half of it.
	longWork   = 40 * time.Millisecond
	singleWork = 52 * time.Millisecond
	// retryPause is how long a caller waits before it sends a request again that was
	// turned away, and tries how often it sends it.
	retryPause = 100 * time.Millisecond
	tries      = 3
	// shareInterval is how often balancers of a zone tell each other what is
	// pending, in the ways that do.
	shareInterval = 250 * time.Millisecond
)

// Load is what callers and targets do.
type Load struct {
	Size
	// Pattern names the load.
	Pattern string
	// Burst is by how much traffic grows in the trouble, SlowShare of the targets
	// work Slow times as long, and LostZones of the zones are taken out.
	Burst     float64
	SlowShare float64
	Slow      float64
	LostZones int
	// FirstZone is the part of the callers in the first zone; 0 has them in all zones
	// evenly.
	FirstZone float64
	Seed      uint64
}

// Loads returns the patterns that are compared.
func Loads(s Size, seed uint64) []Load {
	return []Load{
		{Size: s, Pattern: "calm", Burst: 1, Seed: seed},
		{Size: s, Pattern: "burst of 1.7", Burst: 1.7, Seed: seed},
		{Size: s, Pattern: "one target of six 5 times as slow", Burst: 1, SlowShare: 0.16, Slow: 5, Seed: seed},
		{Size: s, Pattern: "a zone out", Burst: 1, LostZones: 1, Seed: seed},
		{Size: s, Pattern: "a zone out in a burst of 1.7", Burst: 1.7, LostZones: 1, Seed: seed},
		{Size: s, Pattern: "all zones but one out", Burst: 1, LostZones: s.Zones - 1, Seed: seed},
		{Size: s, Pattern: "nine tenths of the callers in one zone", Burst: 1, FirstZone: 0.9, Seed: seed},
	}
}

// Result is what came of the requests that were first sent in the trouble.
type Result struct {
	Requests int
	// InGoal is the part answered within the goal, Late the part answered later and
	// TurnedAway the part that found its targets full at each try.
	InGoal, Late, TurnedAway float64
	// P50 and P99 are of the time to the answer.
	P50, P99 time.Duration
	// Across is the part sent to another zone's targets, which a cut between zones
	// would lose.
	Across float64
	// BusiestOverMean is the most requests of a target over the mean.
	BusiestOverMean float64
}

// request is one request of a caller.
type request struct {
	first time.Duration
	tries int
	flow
	number int
	user   *user
}

// flow is where a flow comes from and goes to; its key tells it apart.
type flow struct {
	balancer, target int
	key              uint64
}

// user is a caller with a long flow.
type user struct {
	flow
}

// server is a target.
type server struct {
	busy    int
	waiting []*request
	served  int
}

// Run is one way under one load.
type Run struct {
	load    Load
	way     Way
	random  *rand.Rand
	now     time.Duration
	events  events
	turns   int
	servers []server
	// pending is what each target has, own what of it came by each balancer, and
	// shared what came by each zone's balancers at the last exchange.
	pending []int
	own     [][]int
	shared  [][]int
	state   any
	times   []time.Duration
	result  Result
	away    int
	across  int
	sent    int
}

// Play plays a load with a way of choosing targets.
func Play(l Load, w Way) Result {
	r := &Run{
		load: l, way: w, random: rand.New(rand.NewPCG(l.Seed, 11)),
		servers: make([]server, l.Targets), pending: make([]int, l.Targets),
	}
	for range l.Balancers {
		r.own = append(r.own, make([]int, l.Targets))
	}
	for range l.Zones {
		r.shared = append(r.shared, make([]int, l.Targets))
	}
	if w.prepare != nil {
		r.state = w.prepare(l)
	}
	for range l.Users {
		u := &user{}
		u.flow = r.open()
		r.after(time.Duration(r.random.Float64()*float64(l.Pause)), func() { r.ask(u) })
	}
	r.after(0, r.single)
	r.after(shareInterval, r.share)
	r.after(start, r.change)
	r.after(start+trouble, r.change)
	for len(r.events) > 0 && r.now < length {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.sum()
}

func (r *Run) inTrouble() bool { return r.now >= start && r.now < start+trouble }

// lost reports whether a target's zone is out now.
func (r *Run) lost(target int) bool {
	return target != refused && r.inTrouble() && target%r.load.Zones < r.load.LostZones
}

// change tells the way that the trouble begins or ends.
func (r *Run) change() {
	if r.way.changed != nil {
		r.way.changed(r)
	}
}

// open opens a flow.
func (r *Run) open() flow {
	f := flow{balancer: r.random.IntN(r.load.Balancers)}
	if r.load.FirstZone > 0 {
		zone := 0
		if r.random.Float64() >= r.load.FirstZone {
			zone = 1 + r.random.IntN(r.load.Zones-1)
		}
		f.balancer += zone - f.balancer%r.load.Zones
		if f.balancer >= r.load.Balancers {
			f.balancer = zone
		}
	}
	f.key = r.random.Uint64()
	f.target = r.way.choose(r, f.balancer, f.key)
	return f
}

// rate is by how much more requests come now.
func (r *Run) rate() float64 {
	if r.inTrouble() {
		return r.load.Burst
	}
	return 1
}

// ask sends a request of a user.
func (r *Run) ask(u *user) {
	if u.target == refused || r.lost(u.target) {
		u.flow = r.open()
	}
	r.send(&request{first: r.now, flow: u.flow, user: u})
}

// single sends a request with a flow of its own, and so on.
func (r *Run) single() {
	r.send(&request{first: r.now, flow: r.open()})
	r.after(time.Duration(r.random.ExpFloat64()/(r.load.Single*r.rate())*float64(time.Second)), r.single)
}

// send lets a request reach its target.
func (r *Run) send(q *request) {
	if q.target == refused {
		r.turnAway(q)
		return
	}
	s := &r.servers[q.target]
	if s.busy >= r.load.Slots && len(s.waiting) >= r.load.Queue {
		r.turnAway(q)
		return
	}
	r.pending[q.target]++
	r.own[q.balancer][q.target]++
	r.sent++
	q.number = r.sent
	if r.way.began != nil {
		r.way.began(r, q)
	}
	if s.busy >= r.load.Slots {
		s.waiting = append(s.waiting, q)
		return
	}
	r.work(q)
}

// turnAway has the caller send the request again on a new flow.
func (r *Run) turnAway(q *request) {
	q.tries++
	if q.tries >= tries {
		r.finish(q, false)
		return
	}
	r.after(retryPause, func() {
		q.flow = r.open()
		if q.user != nil {
			q.user.flow = q.flow
		}
		r.send(q)
	})
}

func (r *Run) work(q *request) {
	s := &r.servers[q.target]
	s.busy++
	s.served++
	took := singleWork
	if q.user != nil {
		took = longWork
	}
	took = time.Duration((0.5 + r.random.Float64()) * float64(took))
	if r.inTrouble() && float64(q.target) < r.load.SlowShare*float64(r.load.Targets) {
		took = time.Duration(float64(took) * r.load.Slow)
	}
	r.after(took, func() {
		s.busy--
		r.pending[q.target]--
		r.own[q.balancer][q.target]--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			r.work(next)
		}
		if r.way.answered != nil {
			r.way.answered(r, q)
		}
		r.finish(q, true)
	})
}

// finish notes what came of a request, and has its user pause.
func (r *Run) finish(q *request, answered bool) {
	if q.first >= start && q.first < start+trouble {
		r.result.Requests++
		if answered && q.target%r.load.Zones != q.balancer%r.load.Zones {
			r.across++
		}
		if answered {
			r.times = append(r.times, r.now-q.first)
		} else {
			r.away++
		}
	}
	if q.user != nil {
		r.after(time.Duration(r.random.ExpFloat64()*float64(r.load.Pause)/r.rate()), func() { r.ask(q.user) })
	}
}

// share tells the balancers of each zone what is pending by all of them.
func (r *Run) share() {
	for zone := range r.shared {
		clear(r.shared[zone])
	}
	for balancer, own := range r.own {
		for target, n := range own {
			r.shared[balancer%r.load.Zones][target] += n
		}
	}
	r.after(shareInterval, r.share)
}

func (r *Run) sum() Result {
	slices.Sort(r.times)
	res := r.result
	inGoal, _ := slices.BinarySearch(r.times, r.load.Goal)
	all := float64(max(res.Requests, 1))
	res.InGoal = float64(inGoal) / all
	res.Late = float64(len(r.times)-inGoal) / all
	res.TurnedAway = float64(r.away) / all
	res.Across = float64(r.across) / all
	if len(r.times) > 0 {
		res.P50 = r.times[len(r.times)/2]
		res.P99 = r.times[(len(r.times)-1)*99/100]
	}
	sum, most := 0, 0
	for _, s := range r.servers {
		sum += s.served
		most = max(most, s.served)
	}
	res.BusiestOverMean = float64(most*len(r.servers)) / float64(max(sum, 1))
	return res
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	// turn keeps events of one time in order.
	turn int
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *Run) after(d time.Duration, do func()) {
	r.turns++
	heap.Push(&r.events, event{at: r.now + d, turn: r.turns, do: do})
}
