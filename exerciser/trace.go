package exerciser

import (
	"math/rand/v2"
	"time"
)

// Kind names a step of a trace.
type Kind string

// The planned changes, which operators make.
const (
	Drain   Kind = "target-drains"
	Undrain Kind = "target-returns-to-service"
	Add     Kind = "target-joins"
	Weigh   Kind = "weight-changes"
	ZoneOut Kind = "zone-out"
	ZoneIn  Kind = "zone-in"
	// ThereAndBack drains a target and takes that back after 2 s.
	ThereAndBack Kind = "there-and-back"
	// Remove takes a target that died out of the document.
	Remove Kind = "target-dies"
	// Return brings it back with the same name and address.
	Return Kind = "target-returns"
)

// The faults, which nobody plans.
const (
	Die     Kind = "balancer-dies"
	Restart Kind = "balancer-restarts-empty"
	Join    Kind = "balancer-joins"
	Freeze  Kind = "balancer-freezes"
	CutPath Kind = "one-way-cut"
	CutHalf Kind = "group-cut-in-two"
	// Lag keeps documents from half of the balancers for the time For.
	Lag Kind = "documents-lag"
	// PlatformDown gives documents to one balancer only.
	PlatformDown Kind = "platform-down"
)

// Planned lists the planned changes after which flows must survive.
func Planned() []Kind {
	return []Kind{Drain, Undrain, Add, Weigh, ZoneOut, ZoneIn, ThereAndBack, Remove, Return}
}

// Unplanned lists the single faults beside which flows must survive.
func Unplanned() []Kind {
	return []Kind{Die, Restart, Join, Freeze, CutPath, Lag, PlatformDown}
}

// Step is something that happens in a run.
type Step struct {
	At   time.Duration `json:"at_ns"`
	Kind Kind          `json:"kind"`
	// Balancer and Other are indexes of balancers.
	Balancer int `json:"balancer,omitempty"`
	Other    int `json:"other,omitempty"`
	// Target is the index of a target.
	Target int `json:"target,omitempty"`
	// For is how long a fault lasts.
	For time.Duration `json:"for_ns,omitempty"`
}

// Trace is what happens in a run, in the order of time.
type Trace struct {
	Name  string `json:"name"`
	Steps []Step `json:"steps"`
}

// LongTrace returns the trace of the comparison: all changes and faults, one
// fault at a time, with targets and balancers picked by the seed.
func LongTrace(size Size) Trace {
	random := rand.New(rand.NewPCG(size.Seed, 2))
	b := func() int { return random.IntN(size.Balancers) }
	targets := random.Perm(size.Targets)
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	dead, frozen, cut := b(), b(), b()
	return Trace{Name: "all changes and faults", Steps: []Step{
		{At: second(2), Kind: Drain, Target: targets[0]},
		{At: second(9), Kind: Weigh, Target: targets[1]},
		{At: second(16), Kind: Die, Balancer: dead},
		{At: second(17), Kind: Undrain, Target: targets[0]},
		{At: second(24), Kind: ThereAndBack, Target: targets[2]},
		{At: second(33), Kind: Restart, Balancer: dead, For: 0},
		{At: second(33.5), Kind: Add},
		{At: second(41), Kind: Freeze, Balancer: frozen, For: second(30)},
		{At: second(42), Kind: Drain, Target: targets[3]},
		{At: second(51), Kind: Remove, Target: targets[4]},
		{At: second(60), Kind: Return, Target: targets[4]},
		{At: second(76), Kind: CutPath, Balancer: cut, Other: (cut + 1) % size.Balancers, For: second(10)},
		{At: second(77), Kind: ZoneOut},
		{At: second(84), Kind: ZoneIn},
		{At: second(90), Kind: Lag, For: second(10)},
		{At: second(91), Kind: Drain, Target: targets[5]},
		{At: second(102), Kind: PlatformDown, For: second(12)},
		{At: second(103), Kind: Join},
		{At: second(104), Kind: Undrain, Target: targets[3]},
	}}
}

// Single returns a trace of one planned change, and of one fault beside it
// unless that is empty, with their times and places picked by the seed.
func Single(size Size, change, fault Kind) Trace {
	random := rand.New(rand.NewPCG(size.Seed, 3))
	at := 4 * time.Second
	target := random.IntN(size.Targets)
	t := Trace{Name: string(change) + "+" + string(fault)}
	if before := undoes(change); before != "" {
		t.Steps = append(t.Steps, Step{At: time.Second, Kind: before, Target: target})
		at = 12 * time.Second
	}
	if fault != "" {
		around := at + time.Duration(random.IntN(10000)-3000)*time.Millisecond
		t.Steps = append(t.Steps, faultStep(size, random, fault, around))
	}
	t.Steps = append(t.Steps, Step{At: at, Kind: change, Target: target})
	return t
}

// undoes returns the change that a change takes back, or nothing.
func undoes(change Kind) Kind {
	switch change {
	case Undrain:
		return Drain
	case ZoneIn:
		return ZoneOut
	case Return:
		return Remove
	default:
		return ""
	}
}

func faultStep(size Size, random *rand.Rand, fault Kind, at time.Duration) Step {
	s := Step{At: at, Kind: fault, Balancer: random.IntN(size.Balancers)}
	s.Other = (s.Balancer + 1 + random.IntN(size.Balancers-1)) % size.Balancers
	s.For = 10 * time.Second
	if fault == Freeze {
		s.For = []time.Duration{2500 * time.Millisecond, 5 * time.Second, 30 * time.Second}[random.IntN(3)]
	}
	if fault == Restart {
		s.For = time.Duration(random.IntN(5000)) * time.Millisecond
	}
	return s
}

// TwoDeaths returns a trace in which two balancers die at the same time while
// one target's flows are recorded.
func TwoDeaths(size Size) Trace {
	t := Single(size, Drain, "")
	for i := range 2 {
		t.Steps = append(t.Steps, Step{At: 15 * time.Second, Kind: Die, Balancer: i})
	}
	t.Name = string(Drain) + "+two-deaths"
	return t
}
