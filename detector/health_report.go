package detector

import (
	"trefoilspring.example/trefoilspring/planner"
	"trefoilspring.example/trefoilspring/tracker"
)

// maxHealthReports bounds the health reports in one message, so that the message fits
// into one datagram.
const maxHealthReports = 16

// goldenRatio is 2^32 divided by the golden ratio. Multiplying by it spreads
// consecutive numbers evenly over 32 bits (Fibonacci hashing).
const goldenRatio = 0x9e3779b1

// Condition is the health of a target.
type Condition uint8

// The conditions of a target.
const (
	// Serving means that the target is healthy. A report with this condition cancels
	// an earlier report of the same target.
	Serving Condition = iota
	// Down means that the target fails its health probes.
	Down
	// Cold means that the target has restarted recently, or may have restarted.
	Cold
)

func (c Condition) String() string {
	switch c {
	case Down:
		return "down"
	case Cold:
		return "cold"
	default:
		return "serving"
	}
}

// HealthReport says that a target's condition differs from Serving, which is assumed
// without a report, or cancels an earlier report.
type HealthReport struct {
	_      struct{} `cbor:",toarray"`
	Target planner.TargetID
	// StartedUnixMs is the target's start time in Unix milliseconds. It tells apart
	// the target's restarts, and is 0 if unknown.
	StartedUnixMs int64
	// Version grows by 1 with each report of the target.
	Version   uint32
	Condition Condition
	// AgeMilliseconds is the age of the report at the time when it was sent.
	AgeMilliseconds uint32
}

// Newer reports whether r replaces the other health report of the same target. The
// order is total, so that all balancers converge on the same report.
func (r HealthReport) Newer(other HealthReport) bool {
	if r.StartedUnixMs != other.StartedUnixMs {
		return r.StartedUnixMs > other.StartedUnixMs
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.Condition > other.Condition
}

// SetDigest sets the digest that this balancer reports. It covers the state that all
// balancers have to agree on.
func (d *Detector) SetDigest(digest uint32) { d.self.Digest = digest }

// SetHealthReports sets the health reports to send to balancers whose digest differs from
// this balancer's.
func (d *Detector) SetHealthReports(reports []HealthReport) { d.healthReports = reports }

// Digest returns the digest that the balancer reports. See Entry.Digest.
func (m Member) Digest() uint32 { return m.entry.Digest }

// healthReportsFor returns up to limit health reports for a receiver, or none if the
// receiver's digest shows that it has them all.
func (d *Detector) healthReportsFor(to tracker.MemberID, limit int) []HealthReport {
	p := d.peers[to]
	if len(d.healthReports) == 0 || (p != nil && p.entry.Digest == d.self.Digest) {
		return nil
	}
	count := min(len(d.healthReports), limit)
	selected := make([]HealthReport, 0, count)
	// The start differs between receivers and does not advance in step with the
	// heartbeats, so that each receiver gets different reports each time.
	start := int((d.self.Sequence*goldenRatio ^ uint32(to)) % uint32(len(d.healthReports)))
	for i := range count {
		selected = append(selected, d.healthReports[(start+i)%len(d.healthReports)])
	}
	return selected
}
