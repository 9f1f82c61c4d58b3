// Package modeler simulates requests of callers to targets of limited capacity, in virtual
// time, to compare strategies of choosing the target of a flow.
//
// # Usage
//
//	for _, load := range modeler.Loads(modeler.Grown(), seed) {
//		for _, strategy := range modeler.Strategies() {
//			fmt.Println(load.Pattern, strategy.Name, modeler.Simulate(load, strategy).InGoal)
//		}
//	}
//
// A target works on a few requests at a time, queues some more and rejects the rest. A
// caller with a long flow sends a request, waits for the answer, pauses and sends the next
// one; each other request opens a flow of its own. A rejected request is sent again on a new
// flow. The simulation uses no network, and its result depends only on the load, its seed
// and the strategy.
package modeler

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Size describes a deployment and its traffic.
type Size struct {
	Name string
	// Balancers and Targets are the numbers of machines, spread evenly over Zones zones.
	Balancers, Zones, Targets int
	// Slots is how many requests a target works on at a time, Queue how many can wait.
	Slots, Queue int
	// LongFlowCallers is the number of callers with a long flow. They pause for ThinkTime on
	// average between an answer and the next request.
	LongFlowCallers int
	ThinkTime       time.Duration
	// SingleRate is the number of requests per second that each open a flow of their own.
	SingleRate float64
	// LatencyGoal is the time within which an answer counts as in the goal.
	LatencyGoal time.Duration
}

// Small is the size of the users' first sites. 38% of the slots are in use.
func Small() Size {
	return Size{
		Name: "small", Balancers: 20, Zones: 3, Targets: 14, Slots: 3, Queue: 8,
		LongFlowCallers: 594, ThinkTime: 2 * time.Second, SingleRate: 83, LatencyGoal: 200 * time.Millisecond,
	}
}

// Grown is the size that the users' sites have grown to. 26% of the slots are in use.
func Grown() Size {
	return Size{
		Name: "grown", Balancers: 136, Zones: 4, Targets: 120, Slots: 2, Queue: 8,
		LongFlowCallers: 2322, ThinkTime: 2 * time.Second, SingleRate: 325, LatencyGoal: 500 * time.Millisecond,
	}
}

// The disturbance of a load begins at disturbanceStart and lasts for disturbanceLength.
const (
	disturbanceStart  = 5 * time.Second
	disturbanceLength = 6 * time.Second
	simulatedTime     = 20 * time.Second
)

const (
	// longFlowWork and singleWork are the mean times that a target works on a request of a long
	// flow and on a single one. Actual times are uniformly distributed between 0.5 and 1.5 times
	// the mean.
	longFlowWork = 40 * time.Millisecond
	singleWork   = 52 * time.Millisecond
	// retryDelay is how long a caller waits before it sends a rejected request again.
	// maxAttempts is how often it sends a request in all.
	retryDelay  = 100 * time.Millisecond
	maxAttempts = 3
	// exchangeInterval is how often the balancers of a zone exchange their numbers of
	// pending requests, for the strategies that use them.
	exchangeInterval = 250 * time.Millisecond
)

// Load is the traffic of a deployment and a disturbance.
type Load struct {
	Size
	// Pattern is the load's name.
	Pattern string
	// In the disturbance, traffic grows by the factor Burst, the share SlowShare of the
	// targets takes SlowFactor times as long, and ZonesOut of the zones are taken out.
	Burst      float64
	SlowShare  float64
	SlowFactor float64
	ZonesOut   int
	// FirstZoneShare is the share of the callers that are in the first zone; with 0 they are
	// spread evenly over all zones.
	FirstZoneShare float64
	Seed           uint64
}

// Loads returns the load patterns for which strategies are compared.
func Loads(s Size, seed uint64) []Load {
	return []Load{
		{Size: s, Pattern: "calm", Burst: 1, Seed: seed},
		{Size: s, Pattern: "burst of 1.7", Burst: 1.7, Seed: seed},
		{Size: s, Pattern: "one target of six 5 times as slow", Burst: 1, SlowShare: 0.16, SlowFactor: 5, Seed: seed},
		{Size: s, Pattern: "a zone out", Burst: 1, ZonesOut: 1, Seed: seed},
		{Size: s, Pattern: "a zone out in a burst of 1.7", Burst: 1.7, ZonesOut: 1, Seed: seed},
		{Size: s, Pattern: "all zones but one out", Burst: 1, ZonesOut: s.Zones - 1, Seed: seed},
		{Size: s, Pattern: "nine tenths of the callers in one zone", Burst: 1, FirstZoneShare: 0.9, Seed: seed},
	}
}

// Result describes the outcome of the requests that were first sent in the disturbance.
type Result struct {
	Requests int
	// InGoal is the share answered within the latency goal, Late the share answered later
	// and Rejected the share rejected at each attempt.
	InGoal, Late, Rejected float64
	// P50 and P99 are percentiles of the time from the first attempt to the answer.
	P50, P99 time.Duration
	// CrossZone is the share answered by a target outside of the balancer's zone. A cut
	// between zones would lose these requests.
	CrossZone float64
	// BusiestOverMean is the number of requests of the busiest target, divided by the mean
	// over all targets. It covers the whole simulation, not only the disturbance.
	BusiestOverMean float64
}

// request is one request of a caller, through all of its attempts.
type request struct {
	// firstSent is when the first attempt was sent.
	firstSent time.Duration
	attempts  int
	flow
	// number is the request's position among those that targets accepted, from 1. The
	// sequence numbers of its packets follow from it.
	number int
	// caller is nil for a request with a flow of its own.
	caller *longFlowCaller
}

// flow is a flow from a balancer to a target. Its key identifies it and is hashed.
type flow struct {
	balancer, target int
	key              uint64
}

// longFlowCaller is a caller with a long flow, which it replaces if its target rejects a
// request or is taken out.
type longFlowCaller struct {
	flow
}

// server simulates one target.
type server struct {
	inProgress int
	queue      []*request
	served     int
}

// Simulation is the state of one load with one strategy.
type Simulation struct {
	load      Load
	strategy  Strategy
	random    *rand.Rand
	now       time.Duration
	events    events
	scheduled int
	servers   []server
	// pending counts the requests at each target, pendingByBalancer those that came through
	// each balancer, and pendingByZone those that came through each zone's balancers as of
	// the last exchange.
	pending           []int
	pendingByBalancer [][]int
	pendingByZone     [][]int
	strategyState     any
	latencies         []time.Duration
	result            Result
	rejected          int
	crossZone         int
	sent              int
}

// Simulate runs a load with a strategy of choosing targets, and returns the outcome.
func Simulate(l Load, s Strategy) Result {
	r := &Simulation{
		load: l, strategy: s, random: rand.New(rand.NewPCG(l.Seed, 11)),
		servers: make([]server, l.Targets), pending: make([]int, l.Targets),
	}
	for range l.Balancers {
		r.pendingByBalancer = append(r.pendingByBalancer, make([]int, l.Targets))
	}
	for range l.Zones {
		r.pendingByZone = append(r.pendingByZone, make([]int, l.Targets))
	}
	if s.newState != nil {
		r.strategyState = s.newState(l)
	}
	for range l.LongFlowCallers {
		c := &longFlowCaller{}
		c.flow = r.openFlow()
		r.schedule(time.Duration(r.random.Float64()*float64(l.ThinkTime)), func() { r.sendNext(c) })
	}
	r.schedule(0, r.sendSingle)
	r.schedule(exchangeInterval, r.exchangePending)
	r.schedule(disturbanceStart, r.notifyZoneChange)
	r.schedule(disturbanceStart+disturbanceLength, r.notifyZoneChange)
	for len(r.events) > 0 && r.now < simulatedTime {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.summarize()
}

// disturbed reports whether the disturbance is under way.
func (r *Simulation) disturbed() bool {
	return r.now >= disturbanceStart && r.now < disturbanceStart+disturbanceLength
}

// zoneOut reports whether a target's zone is out now.
func (r *Simulation) zoneOut(target int) bool {
	return target != noTarget && r.disturbed() && target%r.load.Zones < r.load.ZonesOut
}

// notifyZoneChange tells the strategy that the disturbance begins or ends.
func (r *Simulation) notifyZoneChange() {
	if r.strategy.onZoneChange != nil {
		r.strategy.onZoneChange(r)
	}
}

// openFlow opens a flow through a random balancer.
func (r *Simulation) openFlow() flow {
	f := flow{balancer: r.random.IntN(r.load.Balancers)}
	if r.load.FirstZoneShare > 0 {
		zone := 0
		if r.random.Float64() >= r.load.FirstZoneShare {
			zone = 1 + r.random.IntN(r.load.Zones-1)
		}
		f.balancer += zone - f.balancer%r.load.Zones
		if f.balancer >= r.load.Balancers {
			f.balancer = zone
		}
	}
	f.key = r.random.Uint64()
	f.target = r.strategy.choose(r, f.balancer, f.key)
	return f
}

// trafficFactor returns the factor by which traffic is increased now.
func (r *Simulation) trafficFactor() float64 {
	if r.disturbed() {
		return r.load.Burst
	}
	return 1
}

// sendNext sends the next request on a long flow, which is first opened anew if it has no
// target or its target's zone is out.
func (r *Simulation) sendNext(c *longFlowCaller) {
	if c.target == noTarget || r.zoneOut(c.target) {
		c.flow = r.openFlow()
	}
	r.send(&request{firstSent: r.now, flow: c.flow, caller: c})
}

// sendSingle sends a request with a flow of its own and schedules the next one.
func (r *Simulation) sendSingle() {
	r.send(&request{firstSent: r.now, flow: r.openFlow()})
	r.schedule(time.Duration(r.random.ExpFloat64()/(r.load.SingleRate*r.trafficFactor())*float64(time.Second)), r.sendSingle)
}

// send delivers a request to its target, which starts work, queues it or rejects it.
func (r *Simulation) send(q *request) {
	if q.target == noTarget {
		r.reject(q)
		return
	}
	s := &r.servers[q.target]
	if s.inProgress >= r.load.Slots && len(s.queue) >= r.load.Queue {
		r.reject(q)
		return
	}
	r.pending[q.target]++
	r.pendingByBalancer[q.balancer][q.target]++
	r.sent++
	q.number = r.sent
	if r.strategy.onAccepted != nil {
		r.strategy.onAccepted(r, q)
	}
	if s.inProgress >= r.load.Slots {
		s.queue = append(s.queue, q)
		return
	}
	r.startWork(q)
}

// reject schedules the next attempt on a new flow, or gives up after maxAttempts.
func (r *Simulation) reject(q *request) {
	q.attempts++
	if q.attempts >= maxAttempts {
		r.recordOutcome(q, false)
		return
	}
	r.schedule(retryDelay, func() {
		q.flow = r.openFlow()
		if q.caller != nil {
			q.caller.flow = q.flow
		}
		r.send(q)
	})
}

// startWork has the request's target work on it, and then answer it.
func (r *Simulation) startWork(q *request) {
	s := &r.servers[q.target]
	s.inProgress++
	s.served++
	duration := singleWork
	if q.caller != nil {
		duration = longFlowWork
	}
	duration = time.Duration((0.5 + r.random.Float64()) * float64(duration))
	if r.disturbed() && float64(q.target) < r.load.SlowShare*float64(r.load.Targets) {
		duration = time.Duration(float64(duration) * r.load.SlowFactor)
	}
	r.schedule(duration, func() {
		s.inProgress--
		r.pending[q.target]--
		r.pendingByBalancer[q.balancer][q.target]--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.startWork(next)
		}
		if r.strategy.onAnswered != nil {
			r.strategy.onAnswered(r, q)
		}
		r.recordOutcome(q, true)
	})
}

// recordOutcome counts the outcome of a request that was first sent in the disturbance. For a
// long flow it schedules the next request.
func (r *Simulation) recordOutcome(q *request, answered bool) {
	if q.firstSent >= disturbanceStart && q.firstSent < disturbanceStart+disturbanceLength {
		r.result.Requests++
		if answered && q.target%r.load.Zones != q.balancer%r.load.Zones {
			r.crossZone++
		}
		if answered {
			r.latencies = append(r.latencies, r.now-q.firstSent)
		} else {
			r.rejected++
		}
	}
	if q.caller != nil {
		r.schedule(time.Duration(r.random.ExpFloat64()*float64(r.load.ThinkTime)/r.trafficFactor()), func() { r.sendNext(q.caller) })
	}
}

// exchangePending updates pendingByZone.
func (r *Simulation) exchangePending() {
	for zone := range r.pendingByZone {
		clear(r.pendingByZone[zone])
	}
	for balancer, own := range r.pendingByBalancer {
		for target, n := range own {
			r.pendingByZone[balancer%r.load.Zones][target] += n
		}
	}
	r.schedule(exchangeInterval, r.exchangePending)
}

// summarize returns the result.
func (r *Simulation) summarize() Result {
	slices.Sort(r.latencies)
	res := r.result
	inGoal, _ := slices.BinarySearch(r.latencies, r.load.LatencyGoal)
	all := float64(max(res.Requests, 1))
	res.InGoal = float64(inGoal) / all
	res.Late = float64(len(r.latencies)-inGoal) / all
	res.Rejected = float64(r.rejected) / all
	res.CrossZone = float64(r.crossZone) / all
	if len(r.latencies) > 0 {
		res.P50 = r.latencies[len(r.latencies)/2]
		res.P99 = r.latencies[(len(r.latencies)-1)*99/100]
	}
	total, busiest := 0, 0
	for _, s := range r.servers {
		total += s.served
		busiest = max(busiest, s.served)
	}
	res.BusiestOverMean = float64(busiest*len(r.servers)) / float64(max(total, 1))
	return res
}

// event is a function to call at a point of virtual time.
type event struct {
	at time.Duration
	// order keeps events with the same time in the order in which they were scheduled.
	order int
	do    func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule has do called after d of virtual time.
func (r *Simulation) schedule(d time.Duration, do func()) {
	r.scheduled++
	heap.Push(&r.events, event{at: r.now + d, order: r.scheduled, do: do})
}
