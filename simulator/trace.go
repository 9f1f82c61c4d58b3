package simulator

import (
	"math/rand/v2"
	"time"
)

// StepKind names a kind of step in a trace.
type StepKind string

// The planned changes, which operators make.
const (
	Drain        StepKind = "target-drains"
	Undrain      StepKind = "target-returns-to-service"
	AddTarget    StepKind = "target-joins"
	ChangeWeight StepKind = "weight-changes"
	ZoneOut      StepKind = "zone-out"
	ZoneIn       StepKind = "zone-in"
	// DrainAndUndrain drains a target and returns it to service after 2 s.
	DrainAndUndrain StepKind = "there-and-back"
	// RemoveDeadTarget removes a target that died from the document.
	RemoveDeadTarget StepKind = "target-dies"
	// ReturnTarget adds a removed target again with the same name and address.
	ReturnTarget StepKind = "target-returns"
)

// The faults, which happen unplanned.
const (
	Die       StepKind = "balancer-dies"
	Restart   StepKind = "balancer-restarts-empty"
	Join      StepKind = "balancer-joins"
	Freeze    StepKind = "balancer-freezes"
	CutOneWay StepKind = "one-way-cut"
	CutHalf   StepKind = "group-cut-in-two"
	// DelayDocuments holds documents back from half of the balancers for
	// Step.Duration.
	DelayDocuments StepKind = "documents-lag"
	// PlatformDown holds documents back from all balancers but one for
	// Step.Duration.
	PlatformDown StepKind = "platform-down"
)

// PlannedChanges lists the planned changes that flows must survive.
func PlannedChanges() []StepKind {
	return []StepKind{Drain, Undrain, AddTarget, ChangeWeight, ZoneOut, ZoneIn, DrainAndUndrain, RemoveDeadTarget, ReturnTarget}
}

// Faults lists the faults that flows must survive, one at a time, also during a
// planned change.
func Faults() []StepKind {
	return []StepKind{Die, Restart, Join, Freeze, CutOneWay, DelayDocuments, PlatformDown}
}

// Step is one change or fault in a trace.
type Step struct {
	// At is the time from the start of the trace, when the long flows are open.
	At   time.Duration `json:"at_ns"`
	Kind StepKind      `json:"kind"`
	// Balancer is the index of the affected balancer, Peer that of the other end of
	// a cut path.
	Balancer int `json:"balancer,omitempty"`
	Peer     int `json:"other,omitempty"`
	// Target is the index of the changed target.
	Target int `json:"target,omitempty"`
	// Duration is how long a fault lasts or, for Restart, how long the balancer is
	// down.
	Duration time.Duration `json:"for_ns,omitempty"`
}

// Trace is a named sequence of steps in the order of time.
type Trace struct {
	Name  string `json:"name"`
	Steps []Step `json:"steps"`
}

// LongTrace returns the trace on which strategies are compared. It has all changes
// and faults, one fault at a time, on targets and balancers picked by the seed.
func LongTrace(size Size) Trace {
	random := rand.New(rand.NewPCG(size.Seed, 2))
	balancer := func() int { return random.IntN(size.Balancers) }
	targets := random.Perm(size.Targets)
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	dead, frozen, cut := balancer(), balancer(), balancer()
	return Trace{Name: "all changes and faults", Steps: []Step{
		{At: seconds(2), Kind: Drain, Target: targets[0]},
		{At: seconds(9), Kind: ChangeWeight, Target: targets[1]},
		{At: seconds(16), Kind: Die, Balancer: dead},
		{At: seconds(17), Kind: Undrain, Target: targets[0]},
		{At: seconds(24), Kind: DrainAndUndrain, Target: targets[2]},
		{At: seconds(33), Kind: Restart, Balancer: dead, Duration: 0},
		{At: seconds(33.5), Kind: AddTarget},
		{At: seconds(41), Kind: Freeze, Balancer: frozen, Duration: seconds(30)},
		{At: seconds(42), Kind: Drain, Target: targets[3]},
		{At: seconds(51), Kind: RemoveDeadTarget, Target: targets[4]},
		{At: seconds(60), Kind: ReturnTarget, Target: targets[4]},
		{At: seconds(76), Kind: CutOneWay, Balancer: cut, Peer: (cut + 1) % size.Balancers, Duration: seconds(10)},
		{At: seconds(77), Kind: ZoneOut},
		{At: seconds(84), Kind: ZoneIn},
		{At: seconds(90), Kind: DelayDocuments, Duration: seconds(10)},
		{At: seconds(91), Kind: Drain, Target: targets[5]},
		{At: seconds(102), Kind: PlatformDown, Duration: seconds(12)},
		{At: seconds(103), Kind: Join},
		{At: seconds(104), Kind: Undrain, Target: targets[3]},
	}}
}

// Single returns a trace with one planned change and, unless fault is empty, one
// fault near it. The seed picks the time of the fault and the affected target and
// balancers.
func Single(size Size, change, fault StepKind) Trace {
	random := rand.New(rand.NewPCG(size.Seed, 3))
	at := 4 * time.Second
	target := random.IntN(size.Targets)
	t := Trace{Name: string(change) + "+" + string(fault)}
	if before := undoneChange(change); before != "" {
		t.Steps = append(t.Steps, Step{At: time.Second, Kind: before, Target: target})
		at = 12 * time.Second
	}
	if fault != "" {
		faultAt := at + time.Duration(random.IntN(10000)-3000)*time.Millisecond
		t.Steps = append(t.Steps, faultStep(size, random, fault, faultAt))
	}
	t.Steps = append(t.Steps, Step{At: at, Kind: change, Target: target})
	return t
}

// undoneChange returns the change that a change undoes, or an empty kind if there
// is none.
func undoneChange(change StepKind) StepKind {
	switch change {
	case Undrain:
		return Drain
	case ZoneIn:
		return ZoneOut
	case ReturnTarget:
		return RemoveDeadTarget
	default:
		return ""
	}
}

// faultStep returns a step with a fault on balancers picked at random.
func faultStep(size Size, random *rand.Rand, fault StepKind, at time.Duration) Step {
	s := Step{At: at, Kind: fault, Balancer: random.IntN(size.Balancers)}
	s.Peer = (s.Balancer + 1 + random.IntN(size.Balancers-1)) % size.Balancers
	s.Duration = 10 * time.Second
	if fault == Freeze {
		s.Duration = []time.Duration{2500 * time.Millisecond, 5 * time.Second, 30 * time.Second}[random.IntN(3)]
	}
	if fault == Restart {
		s.Duration = time.Duration(random.IntN(5000)) * time.Millisecond
	}
	return s
}

// TwoDeaths returns a trace in which two balancers die at the same time while the
// flows of a draining target are recorded.
func TwoDeaths(size Size) Trace {
	t := Single(size, Drain, "")
	for i := range 2 {
		t.Steps = append(t.Steps, Step{At: 15 * time.Second, Kind: Die, Balancer: i})
	}
	t.Name = string(Drain) + "+two-deaths"
	return t
}
