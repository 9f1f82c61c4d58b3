package balancer

import "trefoilspring.example/trefoilspring/director"

// maxNamedTargets is how many targets a log line about their speeds names.
const maxNamedTargets = 10

// logSpeeds logs changes of targets' speeds: one line for the targets that became slow, and one
// for those that are no longer slow.
func (b *Balancer) logSpeeds(changes []director.SpeedChange) {
	var slow, steady []string
	lowest := 1.0
	for _, c := range changes {
		if c.Slow {
			slow, lowest = append(slow, c.Target), min(lowest, c.Speed)
		} else {
			steady = append(steady, c.Target)
		}
	}
	if len(slow) > 0 {
		b.log.Info("targets are slow", "count", len(slow), "targets", firstNames(slow), "lowest-speed", lowest)
	}
	if len(steady) > 0 {
		b.log.Info("targets are no longer slow", "count", len(steady), "targets", firstNames(steady))
	}
}

// speedIfSlow returns a speed, or 0 if it is 1.
func speedIfSlow(speed float64) float64 {
	if speed >= 1 {
		return 0
	}
	return speed
}

func firstNames(names []string) []string { return names[:min(len(names), maxNamedTargets)] }
