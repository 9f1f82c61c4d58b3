package balancer

import (
	"math"

	"trefoilspring.example/trefoilspring/admitter"
)

// maxAdmissionLines limits the log lines about services that begin or end to turn flows away,
// for each call of Director.Tick. The counters have all flows.
const maxAdmissionLines = 10

// logAdmission logs the services that began or ended to turn new flows away. b.mu must be
// held.
func (b *Balancer) logAdmission() {
	changes := b.director.TakeAdmissionChanges()
	for _, c := range changes[:min(len(changes), maxAdmissionLines)] {
		message := "service admits all new flows again"
		if c.Began {
			message = "service turns new flows away"
		}
		b.log.Warn(message, admissionFields(c)...)
	}
	b.metrics.linesLeftOut.Add(max(len(changes)-maxAdmissionLines, 0))
}

// admissionFields returns the attributes of a log line, all but the service in requests at a
// time.
func admissionFields(c admitter.Change) []any {
	return []any{
		"service", c.Service, "waiting", math.Round(c.Waiting), "bound", math.Round(c.Bound),
		"wanted", math.Round(c.Wanted), "room", math.Round(c.Room),
	}
}
